package route

import (
	"time"

	"github.com/rillreach/rillreach"
)

// Reason says why a runner was chosen.
type Reason string

// The reasons for a choice.
const (
	ReasonHome      Reason = "home"
	ReasonCached    Reason = "cached"
	ReasonImport    Reason = "import"
	ReasonRecompute Reason = "recompute"
	ReasonNone      Reason = "no-candidate"
)

// Request describes the request to route.
type Request struct {
	// Tokens is the length of the prompt.
	Tokens int
	// Objective is the row's objective.
	Objective rillreach.Objective
}

// Candidate is a runner that could serve the request, with its known and estimated properties.
type Candidate struct {
	// QueueWait is the estimated time until the runner would start the request.
	QueueWait time.Duration
	// PrefillRate is the runner's prefill speed in tokens per second. Zero means that it is not known.
	PrefillRate float64
	// CachedTokens is the number of leading tokens whose KV cache is expected in the runner's accelerator memory.
	CachedTokens int
	// StoredTokens is the number of leading tokens whose KV cache could be imported from a store.
	StoredTokens int
	// ImportTime is the estimated time to import the stored tokens, including the wait for the link.
	ImportTime time.Duration
	// Home is set if the runner is the first in the conversation's rendezvous ranking.
	Home bool
	// Continuation is set if the prompt continues an earlier one.
	Continuation bool
	// HitRate is the recent fraction of continuations whose KV cache was still in the runner's memory.
	HitRate float64
	// Avoid is set if the runner is suspected to have failed, is leaving, or has already refused the request.
	Avoid bool
}

// Choice is the decision on a request, or the estimate for one candidate.
type Choice struct {
	// Index is the index of the chosen candidate, or -1 if there is none.
	Index  int
	Reason Reason
	// Import is set if importing the stored tokens costs less than computing them.
	Import           bool
	TimeToFirstToken time.Duration
	// RecomputedTokens is the estimated number of tokens to compute again.
	RecomputedTokens int
}

const (
	// defaultPrefillRate applies to runners whose rate is not known, in tokens per second.
	defaultPrefillRate = 4000
	// The penalties are the seconds of delay that are acceptable to avoid recomputing a whole prompt, by objective.
	recomputePenaltyFirstToken = 0.05
	recomputePenaltyRecompute  = 8
	// homeBonus, in seconds, makes the home runner win among equals, because the conversation's next prompt is tried
	// there first.
	homeBonus = 0.01
)

// Choose returns the candidate with the lowest expected cost under the objective.
func Choose(req Request, candidates []Candidate) Choice {
	best := Choice{Index: -1, Reason: ReasonNone}
	bestCost := 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.Avoid {
			continue
		}
		choice := Estimate(req, c)
		choice.Index = i
		cost := expectedCost(req, c, choice)
		if best.Index < 0 || cost < bestCost {
			best, bestCost = choice, cost
		}
	}
	return best
}

// Estimate estimates the start of a request on one candidate, with or without import, whichever costs less.
func Estimate(req Request, c *Candidate) Choice {
	withoutImport := estimateStart(req, c, c.CachedTokens, 0)
	if c.StoredTokens <= c.CachedTokens {
		withoutImport.Reason = reasonWithoutImport(c)
		return withoutImport
	}
	withImport := estimateStart(req, c, c.StoredTokens, c.ImportTime)
	withImport.Import = true
	withImport.Reason = ReasonImport
	if startCost(req, withImport) < startCost(req, withoutImport) {
		return withImport
	}
	withoutImport.Reason = reasonWithoutImport(c)
	return withoutImport
}

func estimateStart(req Request, c *Candidate, reused int, delay time.Duration) Choice {
	rate := c.PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	computed := max(req.Tokens-reused, 0)
	prefill := time.Duration(float64(computed) / rate * float64(time.Second))
	return Choice{TimeToFirstToken: max(c.QueueWait, delay) + prefill, RecomputedTokens: computed}
}

func reasonWithoutImport(c *Candidate) Reason {
	switch {
	case c.CachedTokens > 0:
		return ReasonCached
	case c.Home:
		return ReasonHome
	default:
		return ReasonRecompute
	}
}

// startCost returns the cost of a choice in seconds: the time to first token, plus the objective's penalty in
// proportion to the recomputed tokens.
func startCost(req Request, choice Choice) float64 {
	if req.Tokens == 0 {
		return choice.TimeToFirstToken.Seconds()
	}
	penalty := recomputePenaltyFirstToken
	if req.Objective == rillreach.ObjectiveRecompute {
		penalty = recomputePenaltyRecompute
	}
	fraction := float64(choice.RecomputedTokens) / float64(req.Tokens)
	return choice.TimeToFirstToken.Seconds() + penalty*fraction
}

// expectedCost returns the expected cost of a candidate. For the home runner of a continuation, it weights the cost
// with and without the KV cache in memory by the runner's hit rate.
func expectedCost(req Request, c *Candidate, choice Choice) float64 {
	cost := startCost(req, choice)
	if !c.Home {
		return cost
	}
	if c.Continuation && c.CachedTokens < c.StoredTokens {
		cached := *c
		cached.CachedTokens, cached.StoredTokens = c.StoredTokens, 0
		cost += c.HitRate * (startCost(req, Estimate(req, &cached)) - cost)
	}
	return cost - homeBonus
}

// Better reports whether choice a costs less than choice b under the objective.
func Better(req Request, a, b Choice) bool {
	return startCost(req, a) < startCost(req, b)
}
