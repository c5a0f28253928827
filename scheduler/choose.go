package scheduler

import (
	"time"

	"github.com/rillreach/rillreach/predict"
)

// Candidate describes a runner that may take a request.
type Candidate struct {
	// Running is the number of requests at the runner, and Slots the number that it can run at the same time.
	Running int
	Slots   int
	// QueuedPrefillTokens is the number of prompt tokens that the runner still has to process for those requests.
	QueuedPrefillTokens int
	// UsedTokens is the memory that those requests take, out of Capacity, both in tokens. A zero Capacity means that
	// memory is not limited.
	UsedTokens int
	Capacity   int
	// PrefillTokens is the number of tokens of the request's prompt that the runner would have to process.
	PrefillTokens int
	// RecomputedTokens is the number of PrefillTokens in shared parts, which some runner may have processed before.
	RecomputedTokens int
	// FetchTime is the time to fetch the other parts of the prompt's KV cache.
	FetchTime time.Duration
	// OtherZone reports whether the runner is in another zone than this entry.
	OtherZone bool
	// OldWeights reports whether the runner has model weights that were replaced some time ago.
	OldWeights bool
	// Avoided reports whether the runner is ejected, unresponsive, or loading weights now or soon, and is chosen only if
	// there is no other.
	Avoided bool
	// Tried reports whether the request was already sent to the runner.
	Tried bool
	// Begun reports whether the runner may have begun the request and then failed.
	Begun bool
	// FailureRate is the share of requests that fail at the runner, from 0 to 1.
	FailureRate float64
	// HashDistance is the distance of the runner from the conversation by a hash of both, from 0 (near) to 1 (far).
	HashDistance float64
}

// Preferred reports whether the candidate is neither avoided nor already tried.
func (c *Candidate) Preferred() bool { return !c.Avoided && !c.Tried }

// Request describes the request to place.
type Request struct {
	// Tokens is the length of the prompt plus the longest possible answer. It is zero if the service is not a model
	// engine.
	Tokens int
	// Target is the target time to the first event of the answer, which at a model engine is the first token. It also
	// holds for a request that is already late, since the differences between engines matter as much for it.
	Target time.Duration
	// Latency predicts the time to first token from recent requests.
	Latency predict.LatencyModel
}

// Weights of the cost terms relative to each other. Engine time is expressed as a share of the target time to first
// event, so that the weights do not depend on the operator's hardware costs.
const (
	// recomputeCost is the cost of spending the whole target time on prompt tokens that some runner has already
	// processed. It is high because all of that work is redundant.
	recomputeCost = 3.0
	// otherZoneCost covers traffic and delay between zones. It is low, to decide only between otherwise equal runners.
	otherZoneCost = 0.02
	// lateCost is the cost of an answer that is certain to be late, and oldWeightsCost that of an answer on replaced
	// weights, which is worth less to callers.
	lateCost       = 0.8
	oldWeightsCost = 0.2
	// fullMemoryCost is the cost of a runner that has to free all of its memory before the request can start.
	fullMemoryCost = 1.0
	// failureCost is the cost of a runner that fails every request.
	failureCost = 1.0
	// runningCost is the cost of each running request, to prefer the least loaded of otherwise equal runners.
	runningCost = 1e-3
	// hashDistanceCost is the cost of the largest hash distance. All entries see the same load reports, which are about
	// ten milliseconds old; without this term they would all send to the same runner.
	hashDistanceCost = 0.2
	// avoidedCost far exceeds the other costs, so that an avoided runner is chosen only if there is no other.
	avoidedCost = 100
	// triedCost makes a runner that was tried the last choice, after those that are avoided. begunCost makes one that
	// broke off in the middle come after those that only refused, unless these are avoided and it is not.
	triedCost = 2 * avoidedCost
	begunCost = avoidedCost / 2
)

// Estimate returns the expected time to the first event at a candidate.
func Estimate(r Request, c Candidate) time.Duration {
	return c.FetchTime + r.Latency.Predict(c.QueuedPrefillTokens+c.PrefillTokens)
}

// Cost returns the cost of sending the request to a candidate. Choose prefers a lower cost.
func Cost(r Request, c Candidate) float64 {
	cost := runningCost * float64(c.Running)
	if r.Tokens > 0 {
		cost += recomputeCost * shareOfTarget(time.Duration(c.RecomputedTokens)*r.Latency.PerToken, r.Target)
		cost += lateCost*lateness(Estimate(r, c), r.Target) + fullMemoryCost*memoryShortage(r, c) + hashDistanceCost*c.HashDistance
	} else if c.Slots > 0 {
		utilization := float64(c.Running+1) / float64(c.Slots)
		cost += lateCost * utilization * utilization / 2
	}
	if c.OtherZone {
		cost += otherZoneCost
	}
	if c.OldWeights {
		cost += oldWeightsCost
	}
	cost += failureCost * c.FailureRate
	if c.Avoided {
		cost += avoidedCost
	}
	if c.Tried {
		cost += triedCost
	}
	if c.Begun {
		cost += begunCost
	}
	return cost
}

// memoryShortage returns the memory that the request lacks at a candidate, as a share of the candidate's capacity.
func memoryShortage(r Request, c Candidate) float64 {
	if c.Capacity <= 0 {
		return 0
	}
	return max(0, float64(c.UsedTokens+r.Tokens-c.Capacity)/float64(c.Capacity))
}

// lateness estimates the risk of a late answer. It is 0 for an estimate up to lateMinShare of the target, rises
// linearly to 1 at lateCertainShare and continues to rise beyond that.
func lateness(estimate, target time.Duration) float64 {
	return max(0, (shareOfTarget(estimate, target)-lateMinShare)/(lateCertainShare-lateMinShare))
}

// shareOfTarget returns a duration as a share of the target, or zero without a target.
func shareOfTarget(d, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	return float64(d) / float64(target)
}

// Shares of the target time between which lateness rises from 0 to 1.
const (
	lateMinShare     = 0.2
	lateCertainShare = 1.5
)

// Choice is the chosen candidate: its index, its cost and the expected time to the first event.
type Choice struct {
	Index    int
	Cost     float64
	Estimate time.Duration
}

// Choose returns the candidate with the lowest cost, or an index of -1 if there are no candidates. The search starts at
// the given offset and the first of equal candidates wins, so that different offsets spread ties over the runners.
func Choose(r Request, candidates []Candidate, offset int) Choice {
	best := Choice{Index: -1}
	for k := range candidates {
		i := (k + offset) % len(candidates)
		if cost := Cost(r, candidates[i]); best.Index < 0 || cost < best.Cost {
			best = Choice{Index: i, Cost: cost, Estimate: Estimate(r, candidates[i])}
		}
	}
	return best
}
