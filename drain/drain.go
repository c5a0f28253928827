package drain

import "time"

// Verdict says what becomes of a request that comes while the process stops.
type Verdict int

// The verdicts.
const (
	// Refuse turns the request away at once: it would not be done before the end.
	Refuse Verdict = iota
	// Buffer takes the request, but nothing of its answer goes out before that is whole, so that the end can still replace it by a
	// final answer where it would otherwise have to cut it.
	Buffer
	// Pass takes the request and passes its answer on as it comes.
	Pass
)

// Stop is the plan of one planned stop.
type Stop struct {
	// Signalled is when the process was told to stop.
	Signalled time.Time
	// Notice is how long after that callers may still come without a chance to know of it.
	Notice time.Duration
	// End is when every request must have its final answer.
	End time.Time
}

// Request is what is known of a request that has come whole.
type Request struct {
	// Due is when it gets its final answer whatever happens.
	Due time.Time
	// Likely is enough time for most requests of its kind, Surely for nearly all; zero says that it is not known.
	Likely time.Duration
	Surely time.Duration
	// Quiet is how long its caller stays while nothing comes; zero says until it is due.
	Quiet time.Duration
}

// Decide judges a request.
func (s Stop) Decide(now time.Time, r Request) Verdict {
	inTime := func(d time.Duration) bool { return d > 0 && !now.Add(d).After(s.End) }
	switch {
	case !now.Before(s.End):
		return Refuse
	case !r.Due.After(s.End):
		return Pass
	case !inTime(r.Likely):
		return Refuse
	case inTime(r.Surely) && now.Before(s.Signalled.Add(s.Notice)):
		return Pass
	case r.Quiet > 0 && r.Likely > r.Quiet:
		return Refuse
	default:
		return Buffer
	}
}
