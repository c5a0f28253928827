package drain

import "time"

// Verdict says what becomes of a request that comes while the process stops.
type Verdict int

// The verdicts.
const (
	// Refuse turns the request away at once: it would not be done before the end.
	Refuse Verdict = iota
	// Hold takes the request, but nothing of its answer goes out before that is whole, so that the end can still replace it by a
	// final answer where it would otherwise have to cut it.
	Hold
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

// Times are how long requests of one kind take; zero says that it is not known.
type Times struct {
	// Likely is enough for most of them, Surely for nearly all.
	Likely time.Duration
	Surely time.Duration
}

// Decide judges a request that has come whole: due is when it gets its final answer whatever happens.
func (s Stop) Decide(now, due time.Time, takes Times) Verdict {
	inTime := func(d time.Duration) bool { return d > 0 && !now.Add(d).After(s.End) }
	switch {
	case !now.Before(s.End):
		return Refuse
	case !due.After(s.End):
		return Pass
	case !inTime(takes.Likely):
		return Refuse
	case inTime(takes.Surely) && now.Before(s.Signalled.Add(s.Notice)):
		return Pass
	default:
		return Hold
	}
}
