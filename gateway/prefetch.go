package gateway

import (
	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/eventstream"
	"github.com/rillreach/rillreach/responseclass"
)

// awaitAnswer waits until the attempt's answer can replace another one, and reports whether it can.
func (a *attempt) awaitAnswer() bool { return a.send() && a.prefetch() }

// prefetch reads enough of the answer to know that it can replace another one: the first complete event of a stream, or
// any other answer up to its end or up to maxBufferedAnswer. It reports whether the answer can be used.
func (a *attempt) prefetch() bool {
	if a.hasAnswered {
		return true
	}
	x := a.exchange
	if a.class == responseclass.Failed || a.isEventStream() && !a.canContinue() {
		x.maybeRan, x.reason = true, "runner-failed"
		return false
	}
	buf := make([]byte, relayBufferSize)
	for !a.prefetchedEnough() {
		n, err := a.readAnswer(buf)
		a.prefetched.Write(buf[:n])
		if isCompleteAnswer(err) {
			break
		}
		if err == nil && a.prefetched.Len() > maxEventSize && !a.prefetchedEnough() {
			err = errEventTooLarge
		}
		if errors.Is(err, errInterrupted) {
			return a.park()
		}
		if err != nil {
			a.handleFailure(err)
			return false
		}
	}
	a.hasAnswered = true
	return true
}

// prefetchedEnough reports whether the prefetched part shows that the answer can be used. The first event of a stream
// is enough even if the stream is buffered until it is complete, since two runners must not work on it for long.
func (a *attempt) prefetchedEnough() bool {
	if a.isEventStream() {
		return eventstream.HasEvent(a.prefetched.Bytes())
	}
	return a.prefetched.Len() > maxBufferedAnswer
}
