package drain

import "time"

// Action says what becomes of a request that comes while the process stops.
type Action int

// The verdicts.
const (
	// Refuse turns the request away at once: it would not be done before the end.
	Refuse Action = iota
	// Buffer takes the request, but nothing of its answer goes out before that is whole, so that the end can still replace it by a
	// final answer where it would otherwise have to cut it.
	Buffer
	// Stream takes the request and passes its answer on as it comes.
	Stream
)

// Shutdown is the plan of one planned stop.
type Shutdown struct {
	// SignalTime is when the process was told to stop.
	SignalTime time.Time
	// NoticePeriod is how long after that callers may still come without a chance to know of it.
	NoticePeriod time.Duration
	// Deadline is when every request must have its final answer.
	Deadline time.Time
}

// Request is what is known of a request that has come whole.
type Request struct {
	// Deadline is when it gets its final answer whatever happens.
	Deadline time.Time
	// TypicalDuration is enough time for most requests of its kind, Surely for nearly all; zero says that it is not known.
	TypicalDuration      time.Duration
	ConservativeDuration time.Duration
	// CallerIdleTimeout is how long its caller stays while nothing comes; zero says until it is due.
	CallerIdleTimeout time.Duration
}

// Decide judges a request.
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
