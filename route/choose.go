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

// Request is what has to be placed.
type Request struct {
	// Tokens is the length of the prompt.
	Tokens int
	// Objective is the row's.
	Objective rillreach.Objective
}

// Candidate is a runner that could take the request, with what is known or estimated of it.
type Candidate struct {
	// QueueWait is the estimated time until the runner would begin.
	QueueWait time.Duration
	// PrefillRate is the tokens a second that the runner computes.
	PrefillRate float64
	// CachedTokens is how many leading tokens its accelerator memory is expected to hold.
	CachedTokens int
	// StoredTokens is how many leading tokens could be imported from a store.
	StoredTokens int
	// ImportTime is how long the import of the kept tokens would take, the link's queue included.
	ImportTime time.Duration
	// Home says that the runner is the conversation's first by rank.
	Home bool
	// Continuation says that the prompt goes on from an earlier one, HitRate how often the runner's memory has lately held
	// the state of such a prompt when it came home.
	Continuation bool
	HitRate      float64
	// Avoid says that the runner is suspected, leaving or has refused already.
	Avoid bool
}

// Choice is the decision.
type Choice struct {
	// Index is the chosen candidate, or -1.
	Index int
	// Reason says why.
	Reason Reason
	// Import says that the kept state is worth importing.
	Import bool
	// TimeToFirstToken is the estimated time to first token.
	TimeToFirstToken time.Duration
	// RecomputedTokens is the estimated number of tokens computed although they were computed before.
	RecomputedTokens int
}

const (
	defaultPrefillRate = 4000
	// recomputeSeconds is how many seconds of delay one whole recomputation of a prompt is worth avoiding, by objective.
	recomputeSecondsFirst     = 0.05
	recomputeSecondsRecompute = 8
	// homeBonus keeps equals at home, where the next return looks first.
	homeBonus = 0.01
)

// Choose picks the candidate with the least cost under the objective.
func Choose(q Request, candidates []Candidate) Choice {
	best := Choice{Index: -1, Reason: ReasonNone}
	bestCost := 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.Avoid {
			continue
		}
		choice := Estimate(q, c)
		choice.Index = i
		cost := costOf(q, c, choice)
		if best.Index < 0 || cost < bestCost {
			best, bestCost = choice, cost
		}
	}
	return best
}

// Estimate says how a request would start on one candidate, and whether it would import.
func Estimate(q Request, c *Candidate) Choice {
	plain := estimate(q, c, c.CachedTokens, 0)
	if c.StoredTokens <= c.CachedTokens {
		plain.Reason = reasonWithoutImport(c)
		return plain
	}
	imported := estimate(q, c, c.StoredTokens, c.ImportTime)
	imported.Import = true
	imported.Reason = ReasonImport
	if score(q, imported) < score(q, plain) {
		return imported
	}
	plain.Reason = reasonWithoutImport(c)
	return plain
}

func estimate(q Request, c *Candidate, reused int, delay time.Duration) Choice {
	rate := c.PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	computed := max(q.Tokens-reused, 0)
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

// score is the cost of a start in seconds: its delay, and what recomputing is worth under the objective.
func score(q Request, choice Choice) float64 {
	if q.Tokens == 0 {
		return choice.TimeToFirstToken.Seconds()
	}
	worth := recomputeSecondsFirst
	if q.Objective == rillreach.ObjectiveRecompute {
		worth = recomputeSecondsRecompute
	}
	share := float64(choice.RecomputedTokens) / float64(q.Tokens)
	return choice.TimeToFirstToken.Seconds() + worth*share
}

// costOf is the expected cost of a candidate: at the home of a returning prompt, that of finding its state in memory or
// not, by the runner's hit rate.
func costOf(q Request, c *Candidate, choice Choice) float64 {
	cost := score(q, choice)
	if !c.Home {
		return cost
	}
	if c.Continuation && c.CachedTokens < c.StoredTokens {
		held := *c
		held.CachedTokens, held.StoredTokens = c.StoredTokens, 0
		cost += c.HitRate * (score(q, Estimate(q, &held)) - cost)
	}
	return cost - homeBonus
}

// Better reports whether the first of two choices is the better one under the objective.
func Better(q Request, a, b Choice) bool {
	return score(q, a) < score(q, b)
}
