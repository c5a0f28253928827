package admission

import "time"

// fillShare is the part of an engine's memory that admitted requests may take. The rest is for answers, which grow, and for what
// other entries send between two reports: about one prompt for each engine.
const fillShare = 0.75

// mostAhead is how long an engine may already have to read before it is sent another prompt: for two of the times after which an
// entry hears of it again, so that it has work until then, and waiting requests can still go elsewhere.
const mostAhead = 250 * time.Millisecond

// idleAhead is how long an engine may have to read and still count as idle: less than a short prompt takes, for estimates that are a little off.
const idleAhead = 20 * time.Millisecond

// EngineState is what is known of an engine's memory, in tokens, and of its work.
type EngineState struct {
	// Capacity is the engine's memory; zero means that it isn't known, and doesn't count.
	Capacity int
	// Used is what running requests take, Queued what those take that wait at the engine, by its report.
	Used   int
	Queued int
	// SentSinceReport is what this entry's requests take that were sent since the report was made.
	SentSinceReport int
	// Senders is how many entries are taken to send as much meanwhile: all of them while requests wait, since each sees the same
	// room come back, and each would fill it.
	Senders int
	// PendingPrefill is how long the engine reads what it has.
	PendingPrefill time.Duration
}

// Admits reports that a request that takes the tokens fits now. An engine that does nothing admits any request, since waiting
// brings no more room.
func (r EngineState) Admits(tokens int) bool {
	taken := r.taken()
	if r.Capacity <= 0 || taken <= 0 {
		return true
	}
	return r.PendingPrefill <= mostAhead && float64(taken+tokens) <= r.limit(tokens)
}

// Idle reports that the engine has nothing to read, as far as is known. A request that is late already is sent to such an engine alone: at
// one that reads, it would keep those that come next from being in time.
func (r EngineState) Idle() bool { return r.PendingPrefill <= idleAhead }

// limit is how much of the memory may be taken with a prompt of the tokens. A large one may fill it: else it would wait for an
// engine that does nothing, which smaller prompts of other entries keep from it for as long as they come.
func (r EngineState) limit(tokens int) float64 {
	most := fillShare * float64(r.Capacity)
	if float64(tokens) > most/2 {
		return float64(r.Capacity)
	}
	return most
}

// FreeTokens is how many tokens an engine admits beside what it has; it may be negative.
func (r EngineState) FreeTokens() int {
	return int(fillShare*float64(r.Capacity)) - r.taken()
}

// taken is what all requests are expected to take.
func (r EngineState) taken() int {
	return r.Used + r.Queued + r.SentSinceReport*max(r.Senders, 1)
}
