package drain

import "time"

// Action is what to do with a request that arrives during shutdown.
type Action int

// The possible actions.
const (
	// Refuse rejects the request at once because it would not complete before the shutdown deadline.
	Refuse Action = iota
	// Buffer accepts the request and holds back its answer until that is complete. At the shutdown deadline a buffered
	// answer can still be replaced by an error response, while one that has started would have to be cut off.
	Buffer
	// Stream accepts the request and forwards its answer as it arrives.
	Stream
)

// Shutdown is the schedule of a shutdown.
type Shutdown struct {
	// SignalTime is when the process received the signal to stop.
	SignalTime time.Time
	// NoticePeriod is the time after the signal in which callers cannot yet know of the shutdown.
	NoticePeriod time.Duration
	// Deadline is when every request must have its final answer.
	Deadline time.Time
}

// Request describes a request that was received completely.
type Request struct {
	// Deadline is when the request gets a final answer in any case.
	Deadline time.Time
	// TypicalDuration is enough for most requests of this kind, and ConservativeDuration for nearly all of them. Zero
	// means unknown.
	TypicalDuration      time.Duration
	ConservativeDuration time.Duration
	// CallerIdleTimeout is how long the caller waits without receiving any data. Zero means until Deadline.
	CallerIdleTimeout time.Duration
}

// Decide returns what to do with a request that arrives now. A request that ends before the shutdown by its own
// deadline is streamed, and one that is unlikely to complete in time is refused. Of the others, those that almost
// certainly complete in time are streamed as long as callers cannot know of the shutdown, and the rest are buffered
// unless their caller would give up before the answer is complete.
func (s Shutdown) Decide(now time.Time, r Request) Action {
	inTime := func(d time.Duration) bool { return d > 0 && !now.Add(d).After(s.Deadline) }
	switch {
	case !now.Before(s.Deadline):
		return Refuse
	case !r.Deadline.After(s.Deadline):
		return Stream
	case !inTime(r.TypicalDuration):
		return Refuse
	case inTime(r.ConservativeDuration) && now.Before(s.SignalTime.Add(s.NoticePeriod)):
		return Stream
	case r.CallerIdleTimeout > 0 && r.TypicalDuration > r.CallerIdleTimeout:
		return Refuse
	default:
		return Buffer
	}
}
