package admission

import "time"

// maxMemoryShare is the share of an engine's memory that admitted requests may take. The rest is left for answers,
// which grow, and for requests that other entries send between two load reports, about one prompt per engine.
const maxMemoryShare = 0.75

// maxQueuedPrefill is the most prefill work an engine may have queued when it is sent another prompt. It is two
// intervals between load reports: enough to keep the engine busy until the next one, while the requests that wait can
// still go elsewhere.
const maxQueuedPrefill = 250 * time.Millisecond

// maxIdlePrefill is the most prefill work an idle engine may have queued. It allows for small errors of the estimate
// and is less than a short prompt takes.
const maxIdlePrefill = 20 * time.Millisecond

// EngineState describes the KV cache memory of an engine, in tokens, and its queued prefill work.
type EngineState struct {
	// Capacity is the size of the engine's memory. Zero means unknown, which disables the memory limit.
	Capacity int
	// UsedTokens is the memory that running requests take, and QueuedTokens the memory that requests in the engine's own
	// queue will take, both according to its last report.
	UsedTokens   int
	QueuedTokens int
	// UnreportedUsedTokens is the memory that requests sent by this entry since that report take.
	UnreportedUsedTokens int
	// Senders is the number of entries assumed to have sent as much as this one since the report. It is all entries
	// while requests wait, because each sees the same memory become free and fills it.
	Senders int
	// QueuedPrefill is the time that the engine needs for the prompt tokens it has not processed yet.
	QueuedPrefill time.Duration
}

// Admits reports whether a request that takes the given number of tokens fits now. An engine without any requests
// admits a request of any size, since waiting would not free more memory.
func (s EngineState) Admits(tokens int) bool {
	committed := s.committedTokens()
	if s.Capacity <= 0 || committed <= 0 {
		return true
	}
	return s.QueuedPrefill <= maxQueuedPrefill && float64(committed+tokens) <= s.memoryLimit(tokens)
}

// Idle reports whether the engine is known to have no prefill work. A request that misses its target is sent only to an
// idle engine, since elsewhere it would delay later requests past their targets.
func (s EngineState) Idle() bool { return s.QueuedPrefill <= maxIdlePrefill }

// memoryLimit returns how much memory may be in use after a prompt of the given size is admitted. A large prompt may
// fill all of it: otherwise it would have to wait for an engine without requests, and could wait forever while other
// entries send smaller prompts.
func (s EngineState) memoryLimit(tokens int) float64 {
	limit := maxMemoryShare * float64(s.Capacity)
	if float64(tokens) > limit/2 {
		return float64(s.Capacity)
	}
	return limit
}

// FreeTokens returns how many more tokens the engine admits. It may be negative.
func (s EngineState) FreeTokens() int {
	return int(maxMemoryShare*float64(s.Capacity)) - s.committedTokens()
}

// committedTokens returns the memory that all requests known or assumed to be at the engine take.
func (s EngineState) committedTokens() int {
	return s.UsedTokens + s.QueuedTokens + s.UnreportedUsedTokens*max(s.Senders, 1)
}
