package policy

import (
	"fmt"

	"github.com/rillreach/rillreach/internal/hash"
	"github.com/rillreach/rillreach/keep"
	"github.com/rillreach/rillreach/route"
)

// entryView is what an entry knows when it routes a prompt.
type entryView struct {
	// runners are the usable runners of the side.
	runners []*runner
	// hints are the last reports about the runners' waits.
	hints map[*runner]runnerHint
	// promptCount is the number of prompts that the entry has routed.
	promptCount int
}

// Policy routes prompts and decides which state to import and export.
type Policy interface {
	// Name returns the policy's name for tables.
	Name() string
	// chooseRunner returns the runner for a prompt.
	chooseRunner(s *simulation, v entryView, p prompt) *runner
	// shouldImport decides whether to read stored state.
	shouldImport(q keep.ImportInput) bool
	// shouldExport decides whether to write state to stores.
	shouldExport(q keep.ExportInput) bool
	// prioritizesReads reports whether writes yield to reads on a link.
	prioritizesReads() bool
	// stripeCount returns the number of stores over which a conversation's state is striped.
	stripeCount() int
}

// NaiveStorage is the storage policy of the baselines. It either does not use the stores, or writes all state and
// reads all that the engine has not cached, with equal priority for reads and writes.
type NaiveStorage struct {
	// UseStores enables the stores.
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

// RoundRobin selects the runners in turn.
type RoundRobin struct{ NaiveStorage }

// Name implements Policy.
func (b RoundRobin) Name() string { return b.policyName("round robin") }

func (RoundRobin) chooseRunner(_ *simulation, v entryView, _ prompt) *runner {
	return v.runners[v.promptCount%len(v.runners)]
}

// LeastLoaded selects the runner with the shortest estimated wait.
type LeastLoaded struct{ NaiveStorage }

// Name implements Policy.
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

// ConsistentHash selects the runner by the hash of the conversation.
type ConsistentHash struct{ NaiveStorage }

// Name implements Policy.
func (b ConsistentHash) Name() string { return b.policyName("consistent hashing") }

func (ConsistentHash) chooseRunner(_ *simulation, v entryView, p prompt) *runner {
	ranked := route.Rank(p.hash, len(v.runners), 1, func(i int) uint64 { return v.runners[i].hash })
	return v.runners[ranked.At(0)]
}

// LongestPrefix selects the runner that has cached most of the prompt, with up-to-date knowledge of the caches. If no
// runner has cached any, it selects the least loaded one.
type LongestPrefix struct{ NaiveStorage }

// Name implements Policy.
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

// Rillreach is the policy of this project. It uses the production packages.
type Rillreach struct {
	// Stripes is the number of stores over which a conversation's state is striped. Zero means two, the default of the
	// agents.
	Stripes int
}

// Name implements Policy.
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

// PerfectKnowledge knows the current state of every runner's queue and cache, every store and every link, and selects
// the runner with the lowest cost for the prompt. It is greedy, so it is a reference and not the optimum over all
// prompts.
type PerfectKnowledge struct{ Rillreach }

// Name implements Policy.
func (PerfectKnowledge) Name() string { return "perfect knowledge" }

func (PerfectKnowledge) chooseRunner(s *simulation, v entryView, p prompt) *runner {
	best, bestChoice := v.runners[0], route.Choice{}
	for i, r := range v.runners {
		st := s.firstStore(r.side, p)
		stored, rate := st.lookup(p.conversation)
		candidate := route.Candidate{QueueWait: r.queueWait(s.now), PrefillRate: prefillRate, CachedTokens: min(r.cache.tokens(p.conversation), p.tokens), StoredTokens: stored}
		if stored > 0 {
			candidate.ImportTime = st.link.urgentDelay(s.now) + seconds(float64(stored-candidate.CachedTokens)*bytesPerToken/rate)
		}
		choice := route.Estimate(route.Request{Tokens: p.tokens, Objective: s.deployment.Objective}, &candidate)
		if i == 0 || route.Better(route.Request{Tokens: p.tokens, Objective: s.deployment.Objective}, choice, bestChoice) {
			best, bestChoice = r, choice
		}
	}
	return best
}

func nodeHash(i int) uint64 { return hash.Mix(uint64(i), 0xface) }

// Baselines returns the policies to compare with, each without and with stores.
func Baselines() []Policy {
	var baselines []Policy
	for _, storage := range []NaiveStorage{{}, {UseStores: true}} {
		baselines = append(baselines, RoundRobin{storage}, LeastLoaded{storage}, ConsistentHash{storage}, LongestPrefix{storage})
	}
	return baselines
}

// UsesStores reports whether a baseline uses the stores.
func UsesStores(p Policy) bool { return p.shouldExport(keep.ExportInput{}) }
