package place

import (
	"time"

	"github.com/rillreach/rillreach/predict"
)

// Candidate is a runner that may take a request.
type Candidate struct {
	// Running is how many requests run there, Slots how many may.
	Running int
	Slots   int
	// QueuedPrefillTokens is how many tokens the requests there still read before their first event.
	QueuedPrefillTokens int
	// UsedTokens is how many tokens of memory they take, of Capacity; a capacity of zero means that memory doesn't count.
	UsedTokens int
	Capacity   int
	// PrefillTokens is how many tokens of the request's prompt the runner would have to read.
	PrefillTokens int
	// RecomputedTokens is how many of the missing tokens are of shared parts, which may have been read before.
	RecomputedTokens int
	// FetchTime is how long it takes to have the rest from elsewhere.
	FetchTime   time.Duration
	OtherZone   bool
	OldWeights  bool
	Avoided     bool
	Tried       bool
	FailureRate float64
	// HashDistance is where a hash puts the runner for this conversation, from 0 (near) to 1 (far).
	HashDistance float64
}

// Preferred reports that nothing speaks against the candidate.
func (c *Candidate) Preferred() bool { return !c.Avoided && !c.Tried }

// Request is what a request needs.
type Request struct {
	// Tokens is the length of the prompt and of the longest answer; zero where the service is no engine.
	Tokens int
	// Target is the time to the first event that callers expect, also for a request that is late already: engines that come to it
	// soon are as much better for it.
	Target time.Duration
	// Latency is how fast engines have been of late.
	Latency predict.LatencyModel
}

// Weights of the costs, against that of a late answer. What takes an engine's time is measured by the time that callers expect
// for the first event, so that none of them depends on what an operator's machines cost.
const (
	// costAgain is for reading, for the whole of the expected time, what some runner has read already: that work is all in vain.
	costAgain = 3.0
	// costOtherZone is for the bytes and the delay between zones where nothing else tells runners apart.
	costOtherZone = 0.02
	// costLate is for an answer that is late for sure, costOld for one on replaced weights, which callers have less of.
	costLate = 0.8
	costOld  = 0.2
	// costFull is for a runner whose whole memory has to be given back before the request begins.
	costFull = 1.0
	// costFailure is for a runner that fails every request.
	costFailure = 1.0
	// costTie keeps the runner that does the least ahead where nothing else tells runners apart.
	costTie = 1e-3
	// costDistance keeps entries that see the same loads, all some ten milliseconds old, from sending everything to the same runner.
	costDistance = 0.2
	// costAvoid is more than anything else, so that a runner under suspicion is chosen only where there is no other.
	costAvoid = 100
)

// Estimate is the expected time to the first event at a candidate.
func Estimate(q Request, c Candidate) time.Duration {
	return c.FetchTime + q.Latency.Predict(c.QueuedPrefillTokens+c.PrefillTokens)
}

// Cost is what a candidate costs; the least is chosen.
func Cost(q Request, c Candidate) float64 {
	cost := costTie * float64(c.Running)
	if q.Tokens > 0 {
		cost += costAgain * share(time.Duration(c.RecomputedTokens)*q.Latency.PerToken, q.Target)
		cost += costLate*lateness(Estimate(q, c), q.Target) + costFull*overfull(q, c) + costDistance*c.HashDistance
	} else if c.Slots > 0 {
		full := float64(c.Running+1) / float64(c.Slots)
		cost += costLate * full * full / 2
	}
	if c.OtherZone {
		cost += costOtherZone
	}
	if c.OldWeights {
		cost += costOld
	}
	cost += costFailure * c.FailureRate
	if c.Avoided {
		cost += costAvoid
	}
	if c.Tried {
		cost += 2 * costAvoid
	}
	return cost
}

// overfull is the part of a candidate's memory that the request lacks there.
func overfull(q Request, c Candidate) float64 {
	if c.Capacity <= 0 {
		return 0
	}
	return max(0, float64(c.UsedTokens+q.Tokens-c.Capacity)/float64(c.Capacity))
}

// lateness is how likely an answer is late: nothing up to a third of the target, certain at half more than the target.
func lateness(estimate, target time.Duration) float64 {
	return max(0, (share(estimate, target)-lateFrom)/(lateSure-lateFrom))
}

// share is a time as a part of the target; nothing where there is no target.
func share(d, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	return float64(d) / float64(target)
}

const (
	lateFrom = 0.2
	lateSure = 1.5
)

// Choice is a decision: the index of the runner, its cost and its estimate.
type Choice struct {
	Index    int
	Cost     float64
	Estimate time.Duration
}

// Choose returns the candidate of the least cost, an index of -1 where there is none. Ties go to the one that comes first
// from the given offset, so that several entries do not all take the same.
func Choose(q Request, candidates []Candidate, offset int) Choice {
	best := Choice{Index: -1}
	for k := range candidates {
		i := (k + offset) % len(candidates)
		if cost := Cost(q, candidates[i]); best.Index < 0 || cost < best.Cost {
			best = Choice{Index: i, Cost: cost, Estimate: Estimate(q, candidates[i])}
		}
	}
	return best
}
