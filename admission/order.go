package admission

import (
	"cmp"
	"time"
)

// Request is what is known of a request that waits.
type Request struct {
	// Arrived is when it came.
	Arrived time.Time
	// Due is when its first token is still in time.
	Due time.Time
	// End is when its caller takes no first token any more.
	End time.Time
	// Need is the time from the send to the first token that most requests like this one take.
	Need time.Duration
	// Tokens is the memory that it takes.
	Tokens int
	// Begun says that its caller has a part of the answer already.
	Begun bool
}

// Lost reports that the first token can't come before the caller has gone.
func (r Request) Lost(now time.Time) bool {
	return now.Add(r.Need).After(r.End)
}

// Late reports that the first token won't be in time.
func (r Request) Late(now time.Time) bool {
	return now.Add(r.Need).After(r.Due)
}

// GivesWay reports that others go before the request wherever they can, since it is late and its caller has nothing of the answer yet.
func (r Request) GivesWay(now time.Time) bool {
	return !r.Begun && r.Late(now)
}

// Compare orders requests by which goes first, negative where that is a: answers that have begun, then those that can be in time
// by when they are due, then the late ones by when they came. A late one before others would make these late, too.
func Compare(a, b Request, now time.Time) int {
	if a.Begun != b.Begun {
		return first(a.Begun)
	}
	aLate, bLate := a.Late(now), b.Late(now)
	if aLate != bLate {
		return first(bLate)
	}
	if aLate {
		return a.Arrived.Compare(b.Arrived)
	}
	return cmp.Or(a.Due.Compare(b.Due), a.Arrived.Compare(b.Arrived))
}

// first is the result of a comparison that puts a first where that is so, else last.
func first(a bool) int {
	if a {
		return -1
	}
	return 1
}
