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

// Question is what has to be placed.
type Question struct {
	// Tokens is the length of the prompt.
	Tokens int
	// Objective is the row's.
	Objective rillreach.Objective
}

// Candidate is a runner that could take the request, with what is known or estimated of it.
type Candidate struct {
	// Wait is the estimated time until the runner would begin.
	Wait time.Duration
	// PrefillRate is the tokens a second that the runner computes.
	PrefillRate float64
	// Cached is how many leading tokens its accelerator memory is expected to hold.
	Cached int
	// Kept is how many leading tokens could be imported from a store.
	Kept int
	// ImportTime is how long the import of the kept tokens would take, the link's queue included.
	ImportTime time.Duration
	// Home says that the runner is the conversation's first by rank.
	Home bool
	// Returning says that the prompt goes on from an earlier one, HitRate how often the runner's memory has lately held
	// the state of such a prompt when it came home.
	Returning bool
	HitRate   float64
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
	// Start is the estimated time to first token.
	Start time.Duration
	// Recomputed is the estimated number of tokens computed although they were computed before.
	Recomputed int
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
func Choose(q Question, candidates []Candidate) Choice {
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
func Estimate(q Question, c *Candidate) Choice {
	plain := estimate(q, c, c.Cached, 0)
	if c.Kept <= c.Cached {
		plain.Reason = reasonWithoutImport(c)
		return plain
	}
	imported := estimate(q, c, c.Kept, c.ImportTime)
	imported.Import = true
	imported.Reason = ReasonImport
	if score(q, imported) < score(q, plain) {
		return imported
	}
	plain.Reason = reasonWithoutImport(c)
	return plain
}

func estimate(q Question, c *Candidate, reused int, delay time.Duration) Choice {
	rate := c.PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	computed := max(q.Tokens-reused, 0)
	prefill := time.Duration(float64(computed) / rate * float64(time.Second))
	return Choice{Start: max(c.Wait, delay) + prefill, Recomputed: computed}
}

func reasonWithoutImport(c *Candidate) Reason {
	switch {
	case c.Cached > 0:
		return ReasonCached
	case c.Home:
		return ReasonHome
	default:
		return ReasonRecompute
	}
}

// score is the cost of a start in seconds: its delay, and what recomputing is worth under the objective.
func score(q Question, choice Choice) float64 {
	if q.Tokens == 0 {
		return choice.Start.Seconds()
	}
	worth := recomputeSecondsFirst
	if q.Objective == rillreach.ObjectiveRecompute {
		worth = recomputeSecondsRecompute
	}
	share := float64(choice.Recomputed) / float64(q.Tokens)
	return choice.Start.Seconds() + worth*share
}

// costOf is the expected cost of a candidate: at the home of a returning prompt, that of finding its state in memory or
// not, by the runner's hit rate.
func costOf(q Question, c *Candidate, choice Choice) float64 {
	cost := score(q, choice)
	if !c.Home {
		return cost
	}
	if c.Returning && c.Cached < c.Kept {
		held := *c
		held.Cached, held.Kept = c.Kept, 0
		cost += c.HitRate * (score(q, Estimate(q, &held)) - cost)
	}
	return cost - homeBonus
}

// Better reports whether the first of two choices is the better one under the objective.
func Better(q Question, a, b Choice) bool {
	return score(q, a) < score(q, b)
}
