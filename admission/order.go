package admission

import (
	"cmp"
	"time"
)

// Request describes a waiting request.
type Request struct {
	// Arrived is when the request reached the entry.
	Arrived time.Time
	// TargetTime is the latest time at which the first token meets the latency target.
	TargetTime time.Time
	// Deadline is when the caller stops waiting for the first token.
	Deadline time.Time
	// ExpectedTTFT is the time from send to first token that suffices for most similar requests.
	ExpectedTTFT time.Duration
	// Tokens is the engine memory that the request takes, in tokens.
	Tokens int
	// AnswerStarted reports whether the caller has already received part of the answer.
	AnswerStarted bool
}

// MissesDeadline reports whether the first token of a request sent now is expected after the caller's deadline.
func (r Request) MissesDeadline(now time.Time) bool {
	return now.Add(r.ExpectedTTFT).After(r.Deadline)
}

// MissesTarget reports whether the first token of a request sent now is expected after the target time.
func (r Request) MissesTarget(now time.Time) bool {
	return now.Add(r.ExpectedTTFT).After(r.TargetTime)
}

// Deprioritized reports whether other requests go first because this one misses its target and its answer has not
// started.
func (r Request) Deprioritized(now time.Time) bool {
	return !r.AnswerStarted && r.MissesTarget(now)
}

// Compare orders requests for admission and returns a negative number if a goes before b. Requests whose answer has
// started go first, then requests that can meet their target by target time, then the rest by arrival. A request that
// misses its target goes last because it would delay others past theirs.
func Compare(a, b Request, now time.Time) int {
	if a.AnswerStarted != b.AnswerStarted {
		return trueFirst(a.AnswerStarted)
	}
	aMisses, bMisses := a.MissesTarget(now), b.MissesTarget(now)
	if aMisses != bMisses {
		return trueFirst(bMisses)
	}
	if aMisses {
		return a.Arrived.Compare(b.Arrived)
	}
	return cmp.Or(a.TargetTime.Compare(b.TargetTime), a.Arrived.Compare(b.Arrived))
}

// trueFirst returns -1 if the condition is true and 1 otherwise, to order the element that meets it first.
func trueFirst(condition bool) int {
	if condition {
		return -1
	}
	return 1
}
