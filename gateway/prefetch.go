package gateway

import (
	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/eventstream"
	"github.com/rillreach/rillreach/responseclass"
)

// awaitAnswer waits until the attempt's answer can replace another one, and reports whether it can.
func (a *attempt) awaitAnswer() bool { return a.send() && a.prefetch() }

// prefetch reads enough of the answer to know that it can replace another one: the first complete event of a stream, or
// any other answer up to its end, up to maxBufferedAnswer or as far as there is memory. It reports whether the answer can be
// used.
func (a *attempt) prefetch() bool {
	if a.hasAnswered {
		return true
	}
	x := a.exchange
	if a.class == responseclass.Failed || a.isEventStream() && !a.canContinue() {
		x.maybeRan, x.reason = true, "runner-failed"
		return false
	}
	err := a.readAhead()
	switch {
	case errors.Is(err, errInterrupted):
		return a.park()
	case err != nil:
		a.handleFailure(err)
		return false
	}
	a.hasAnswered = true
	return true
}

// readAhead reads until enough is prefetched.
func (a *attempt) readAhead() error {
	buf := make([]byte, relayBufferSize)
	for !a.prefetchedEnough() {
		n, err := a.readAnswer(buf)
		a.prefetched.Write(buf[:n])
		switch {
		case isCompleteAnswer(err) || !a.reservePrefetched(n):
			return nil
		case err != nil:
			return err
		case a.prefetched.Len() > maxEventSize && !a.prefetchedEnough():
			return errEventTooLarge
		}
	}
	return nil
}

// reservePrefetched reserves memory for n more prefetched bytes, and reports whether there is any. The first event of a
// stream is kept in any case: it is small, and nothing can be sent before it is complete.
func (a *attempt) reservePrefetched(n int) bool {
	return a.isEventStream() || a.memory.Grow(int64(n))
}

// prefetchedEnough reports whether the prefetched part shows that the answer can be used. The first event of a stream
// is enough even if the stream is buffered until it is complete, since two runners must not work on it for long.
func (a *attempt) prefetchedEnough() bool {
	if a.isEventStream() {
		return eventstream.HasEvent(a.prefetched.Bytes())
	}
	return a.prefetched.Len() > maxBufferedAnswer
}
