package admission

import (
	"cmp"
	"time"
)

// Request is what is known of a request that waits.
type Request struct {
	// Arrived is when it came.
	Arrived time.Time
	// TargetTime is when its first token is still in time.
	TargetTime time.Time
	// Deadline is when its caller takes no first token any more.
	Deadline time.Time
	// ExpectedTTFT is the time from the send to the first token that most requests like this one take.
	ExpectedTTFT time.Duration
	// Tokens is the memory that it takes.
	Tokens int
	// AnswerStarted says that its caller has a part of the answer already.
	AnswerStarted bool
}

// MissesDeadline reports that the first token can't come before the caller has gone.
func (r Request) MissesDeadline(now time.Time) bool {
	return now.Add(r.ExpectedTTFT).After(r.Deadline)
}

// MissesTarget reports that the first token won't be in time.
func (r Request) MissesTarget(now time.Time) bool {
	return now.Add(r.ExpectedTTFT).After(r.TargetTime)
}

// Deprioritized reports that others go before the request wherever they can, since it is late and its caller has nothing of the answer yet.
func (r Request) Deprioritized(now time.Time) bool {
	return !r.AnswerStarted && r.MissesTarget(now)
}

// Compare orders requests by which goes first, negative where that is a: answers that have begun, then those that can be in time
// by when they are due, then the late ones by when they came. A late one before others would make these late, too.
func Compare(a, b Request, now time.Time) int {
	if a.AnswerStarted != b.AnswerStarted {
		return first(a.AnswerStarted)
	}
	aLate, bLate := a.MissesTarget(now), b.MissesTarget(now)
	if aLate != bLate {
		return first(bLate)
	}
	if aLate {
		return a.Arrived.Compare(b.Arrived)
	}
	return cmp.Or(a.TargetTime.Compare(b.TargetTime), a.Arrived.Compare(b.Arrived))
}

// first is the result of a comparison that puts a first where that is so, else last.
func first(a bool) int {
	if a {
		return -1
	}
	return 1
}
