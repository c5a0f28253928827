package policy

import (
	"fmt"

	"github.com/rillreach/rillreach/internal/hash"
	"github.com/rillreach/rillreach/keep"
	"github.com/rillreach/rillreach/route"
)

// entryView is what an entry knows when it places a prompt.
type entryView struct {
	// runners are the usable runners of the side.
	runners []*runner
	// hints are what the entry last heard of each runner's wait.
	hints map[*runner]runnerHint
	// promptCount counts the entry's prompts.
	promptCount int
}

// Policy places prompts and decides on their state.
type Policy interface {
	// Name names the policy in tables.
	Name() string
	// chooseRunner chooses a runner.
	chooseRunner(s *simulation, v entryView, p prompt) *runner
	// shouldImport decides whether to read kept state.
	shouldImport(q keep.ImportInput) bool
	// shouldExport decides whether to write state.
	shouldExport(q keep.ExportInput) bool
	// prioritizesReads says that writing waits for reading.
	prioritizesReads() bool
	// stripeCount is over how many stores a conversation's state is spread.
	stripeCount() int
}

// NaiveStorage is what a baseline does with state: nothing, or it keeps all and reads all, and lets reading and writing share
// a link as they come.
type NaiveStorage struct {
	// UseStores says that the baseline uses the stores.
	UseStores bool
}

func (n NaiveStorage) shouldImport(q keep.ImportInput) bool {
	return n.UseStores && q.Stored > q.Cached
}
func (n NaiveStorage) shouldExport(keep.ExportInput) bool { return n.UseStores }
func (n NaiveStorage) prioritizesReads() bool             { return false }
func (n NaiveStorage) stripeCount() int                   { return 1 }

func (n NaiveStorage) policyName(name string) string {
	if n.UseStores {
		return name + " + stores"
	}
	return name
}

// RoundRobin takes one runner after another.
type RoundRobin struct{ NaiveStorage }

// Name names the policy.
func (b RoundRobin) Name() string { return b.policyName("round robin") }

func (RoundRobin) chooseRunner(_ *simulation, v entryView, _ prompt) *runner {
	return v.runners[v.promptCount%len(v.runners)]
}

// LeastLoaded takes the runner that is said to have the shortest wait.
type LeastLoaded struct{ NaiveStorage }

// Name names the policy.
func (b LeastLoaded) Name() string { return b.policyName("least loaded") }

func (LeastLoaded) chooseRunner(s *simulation, v entryView, _ prompt) *runner {
	best := v.runners[v.promptCount%len(v.runners)]
	for i := range v.runners {
		r := v.runners[(v.promptCount+i)%len(v.runners)]
		if v.estimateWait(s, r) < v.estimateWait(s, best) {
			best = r
		}
	}
	return best
}

// ConsistentHash takes the conversation's runner by hash.
type ConsistentHash struct{ NaiveStorage }

// Name names the policy.
func (b ConsistentHash) Name() string { return b.policyName("consistent hashing") }

func (ConsistentHash) chooseRunner(_ *simulation, v entryView, p prompt) *runner {
	ranked := route.Rank(p.hash, len(v.runners), 1, func(i int) uint64 { return v.runners[i].hash })
	return v.runners[ranked.At(0)]
}

// LongestPrefix takes the runner whose memory holds most of the prompt, which it is told without a lag.
type LongestPrefix struct{ NaiveStorage }

// Name names the policy.
func (b LongestPrefix) Name() string { return b.policyName("longest prefix") }

func (LongestPrefix) chooseRunner(s *simulation, v entryView, p prompt) *runner {
	best, mostCached := v.runners[v.promptCount%len(v.runners)], 0
	for _, r := range v.runners {
		if cached := r.cache.tokens(p.conversation); cached > mostCached {
			best, mostCached = r, cached
		}
	}
	if mostCached > 0 {
		return best
	}
	return LeastLoaded{}.chooseRunner(s, v, p)
}

// Rillreach is this project's policy: the real packages.
type Rillreach struct {
	// Stripes is over how many stores a conversation's state is spread; zero means two, as the agents do.
	Stripes int
}

// Name names the policy.
func (o Rillreach) Name() string {
	if o.Stripes > 0 {
		return fmt.Sprintf("rillreach, %d stripe", o.Stripes)
	}
	return "rillreach"
}

func (o Rillreach) stripeCount() int {
	if o.Stripes == 0 {
		return defaultStripes
	}
	return o.Stripes
}

const (
	candidateCount = 4
	defaultStripes = 2
)

func (Rillreach) chooseRunner(s *simulation, v entryView, p prompt) *runner {
	ranked := route.Rank(p.hash, len(v.runners), candidateCount, func(i int) uint64 { return v.runners[i].hash })
	candidates := make([]route.Candidate, ranked.Len())
	for rank := range candidates {
		r := v.runners[ranked.At(rank)]
		candidates[rank] = route.Candidate{
			QueueWait:    v.estimateWait(s, r),
			PrefillRate:  prefillRate,
			Home:         rank == 0,
			Continuation: p.priorTokens > 0,
			HitRate:      v.hints[r].hitRate,
			StoredTokens: p.priorTokens,
			ImportTime:   seconds(float64(p.priorTokens) * bytesPerToken / linkRate),
		}
	}
	choice := route.Choose(route.Request{Tokens: p.tokens, Objective: s.deployment.Objective}, candidates)
	return v.runners[ranked.At(choice.Index)]
}

func (Rillreach) shouldImport(q keep.ImportInput) bool { return q.Decide() == keep.VerdictImport }
func (Rillreach) shouldExport(q keep.ExportInput) bool { return q.Decide() == keep.VerdictExport }
func (Rillreach) prioritizesReads() bool               { return true }

// PerfectKnowledge knows every runner's queue and memory, every store and every link as they are, and takes what starts this
// prompt best. It is greedy, and so a yardstick and not the optimum over all prompts.
type PerfectKnowledge struct{ Rillreach }

// Name names the policy.
func (PerfectKnowledge) Name() string { return "perfect knowledge" }

func (PerfectKnowledge) chooseRunner(s *simulation, v entryView, p prompt) *runner {
	best, bestChoice := v.runners[0], route.Choice{}
	for i, r := range v.runners {
		st := s.firstStore(r.side, p)
		stored, rate := st.lookup(p.conversation)
		c := route.Candidate{QueueWait: r.queueWait(s.now), PrefillRate: prefillRate, CachedTokens: min(r.cache.tokens(p.conversation), p.tokens), StoredTokens: stored}
		if stored > 0 {
			c.ImportTime = st.link.urgentDelay(s.now) + seconds(float64(stored-c.CachedTokens)*bytesPerToken/rate)
		}
		choice := route.Estimate(route.Request{Tokens: p.tokens, Objective: s.deployment.Objective}, &c)
		if i == 0 || route.Better(route.Request{Tokens: p.tokens, Objective: s.deployment.Objective}, choice, bestChoice) {
			best, bestChoice = r, choice
		}
	}
	return best
}

func nodeHash(i int) uint64 { return hash.Mix(uint64(i), 0xface) }

// Baselines are the policies to compare with.
func Baselines() []Policy {
	var list []Policy
	for _, storage := range []NaiveStorage{{}, {UseStores: true}} {
		list = append(list, RoundRobin{storage}, LeastLoaded{storage}, ConsistentHash{storage}, LongestPrefix{storage})
	}
	return list
}

// UsesStores reports whether a baseline uses the stores.
func UsesStores(p Policy) bool { return p.shouldExport(keep.ExportInput{}) }
