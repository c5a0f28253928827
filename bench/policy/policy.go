package policy

import (
	"fmt"

	"github.com/rillreach/rillreach/internal/hash"
	"github.com/rillreach/rillreach/keep"
	"github.com/rillreach/rillreach/route"
)

// view is what an entry knows when it places a prompt.
type view struct {
	// order are the usable runners of the side.
	order []*runner
	// hints are what the entry last heard of each runner's wait.
	hints map[*runner]hint
	// turn counts the entry's prompts.
	turn int
}

// Policy places prompts and decides on their state.
type Policy interface {
	// Name names the policy in tables.
	Name() string
	// place chooses a runner.
	place(s *simulation, v view, p prompt) *runner
	// importing decides whether to read kept state.
	importing(q keep.ImportInput) bool
	// exporting decides whether to write state.
	exporting(q keep.ExportInput) bool
	// patient says that writing waits for reading.
	patient() bool
	// stripes is over how many stores a conversation's state is spread.
	stripes() int
}

// Naive is what a baseline does with state: nothing, or it keeps all and reads all, and lets reading and writing share
// a link as they come.
type Naive struct {
	// Keep says that the baseline uses the stores.
	Keep bool
}

func (n Naive) importing(q keep.ImportInput) bool { return n.Keep && q.Stored > q.Cached }
func (n Naive) exporting(keep.ExportInput) bool   { return n.Keep }
func (n Naive) patient() bool                     { return false }
func (n Naive) stripes() int                      { return 1 }

func (n Naive) named(name string) string {
	if n.Keep {
		return name + " + stores"
	}
	return name
}

// RoundRobin takes one runner after another.
type RoundRobin struct{ Naive }

// Name names the policy.
func (b RoundRobin) Name() string { return b.named("round robin") }

func (RoundRobin) place(_ *simulation, v view, _ prompt) *runner {
	return v.order[v.turn%len(v.order)]
}

// LeastLoaded takes the runner that is said to have the shortest wait.
type LeastLoaded struct{ Naive }

// Name names the policy.
func (b LeastLoaded) Name() string { return b.named("least loaded") }

func (LeastLoaded) place(s *simulation, v view, _ prompt) *runner {
	best := v.order[v.turn%len(v.order)]
	for i := range v.order {
		r := v.order[(v.turn+i)%len(v.order)]
		if v.wait(s, r) < v.wait(s, best) {
			best = r
		}
	}
	return best
}

// ConsistentHash takes the conversation's runner by hash.
type ConsistentHash struct{ Naive }

// Name names the policy.
func (b ConsistentHash) Name() string { return b.named("consistent hashing") }

func (ConsistentHash) place(_ *simulation, v view, p prompt) *runner {
	ranked := route.Rank(p.hash, len(v.order), 1, func(i int) uint64 { return v.order[i].place })
	return v.order[ranked.At(0)]
}

// LongestPrefix takes the runner whose memory holds most of the prompt, which it is told without a lag.
type LongestPrefix struct{ Naive }

// Name names the policy.
func (b LongestPrefix) Name() string { return b.named("longest prefix") }

func (LongestPrefix) place(s *simulation, v view, p prompt) *runner {
	best, most := v.order[v.turn%len(v.order)], 0
	for _, r := range v.order {
		if held := r.cache.tokens(p.conversation); held > most {
			best, most = r, held
		}
	}
	if most > 0 {
		return best
	}
	return LeastLoaded{}.place(s, v, p)
}

// Own is this project's policy: the real packages.
type Own struct {
	// Stripes is over how many stores a conversation's state is spread; zero means two, as the agents do.
	Stripes int
}

// Name names the policy.
func (o Own) Name() string {
	if o.Stripes > 0 {
		return fmt.Sprintf("rillreach, %d stripe", o.Stripes)
	}
	return "rillreach"
}

func (o Own) stripes() int {
	if o.Stripes == 0 {
		return defaultStripes
	}
	return o.Stripes
}

const (
	candidateCount = 4
	defaultStripes = 2
)

func (Own) place(s *simulation, v view, p prompt) *runner {
	ranked := route.Rank(p.hash, len(v.order), candidateCount, func(i int) uint64 { return v.order[i].place })
	candidates := make([]route.Candidate, ranked.Len())
	for rank := range candidates {
		r := v.order[ranked.At(rank)]
		candidates[rank] = route.Candidate{
			QueueWait:    v.wait(s, r),
			PrefillRate:  prefillRate,
			Home:         rank == 0,
			Continuation: p.prior > 0,
			HitRate:      v.hints[r].hitRate,
			StoredTokens: p.prior,
			ImportTime:   seconds(float64(p.prior) * bytesPerToken / linkRate),
		}
	}
	choice := route.Choose(route.Request{Tokens: p.tokens, Objective: s.deployment.Objective}, candidates)
	return v.order[ranked.At(choice.Index)]
}

func (Own) importing(q keep.ImportInput) bool { return q.Decide() == keep.VerdictImport }
func (Own) exporting(q keep.ExportInput) bool { return q.Decide() == keep.VerdictExport }
func (Own) patient() bool                     { return true }

// Perfect knows every runner's queue and memory, every store and every link as they are, and takes what starts this
// prompt best. It is greedy, and so a yardstick and not the optimum over all prompts.
type Perfect struct{ Own }

// Name names the policy.
func (Perfect) Name() string { return "perfect knowledge" }

func (Perfect) place(s *simulation, v view, p prompt) *runner {
	best, bestChoice := v.order[0], route.Choice{}
	for i, r := range v.order {
		st := s.storeOf(r.side, p)
		kept, rate := st.holds(p.conversation)
		c := route.Candidate{QueueWait: r.wait(s.now), PrefillRate: prefillRate, CachedTokens: min(r.cache.tokens(p.conversation), p.tokens), StoredTokens: kept}
		if kept > 0 {
			c.ImportTime = st.link.wait(s.now) + seconds(float64(kept-c.CachedTokens)*bytesPerToken/rate)
		}
		choice := route.Estimate(route.Request{Tokens: p.tokens, Objective: s.deployment.Objective}, &c)
		if i == 0 || route.Better(route.Request{Tokens: p.tokens, Objective: s.deployment.Objective}, choice, bestChoice) {
			best, bestChoice = r, choice
		}
	}
	return best
}

func placeOf(i int) uint64 { return hash.Mix(uint64(i), 0xface) }

// Baselines are the policies to compare with.
func Baselines() []Policy {
	var list []Policy
	for _, keeping := range []Naive{{}, {Keep: true}} {
		list = append(list, RoundRobin{keeping}, LeastLoaded{keeping}, ConsistentHash{keeping}, LongestPrefix{keeping})
	}
	return list
}

// Keeps reports whether a baseline uses the stores.
func Keeps(p Policy) bool { return p.exporting(keep.ExportInput{}) }
