package gateway

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/completeness"
	"github.com/rillreach/rillreach/forward"
	"github.com/rillreach/rillreach/internal/bounded"
	"github.com/rillreach/rillreach/internal/operation"
	"github.com/rillreach/rillreach/platform"
	"github.com/rillreach/rillreach/responseclass"
	"github.com/rillreach/rillreach/retry"
)

// attempt is one send of a request to one runner, up to the end of that runner's answer.
type attempt struct {
	gateway  *Gateway
	exchange *exchange
	target   *target
	// requestCtx is shared by all attempts of the request. ctx is that of this attempt, and cancel ends it with a
	// cause.
	requestCtx    context.Context
	ctx           context.Context
	cancel        context.CancelCauseFunc
	watchdog      *watchdog
	startDeadline *startDeadline
	// stopAfterEnd unregisters the callback for the end of the runner's process.
	stopAfterEnd func() bool

	// repeat is the repeat that the send counts as in the retry budget, nil for the first send of the request.
	repeat *retry.Repeat
	// call is what is sent to the runner, at sentAt, and continues is set if it asks for the rest of a stream. sending runs
	// until its answer begins.
	call      forward.Request
	continues bool
	sentAt    time.Time
	sending   operation.Operation[error]
	answer    *forward.Response
	// follower observes the runner's process if its answer ends with its connection, and is nil otherwise.
	follower *forward.Follower
	headers  platform.Response
	class    responseclass.Class
	// accepted is set once the answer is known to be the runner's own, hasAnswered once it can be used, and judged once its
	// status was judged.
	accepted    bool
	hasAnswered bool
	judged      bool
	reader      answerReader
	// prefetched holds the part of the answer that was read before any of it is forwarded, and body the part of an
	// answer that is buffered until it is complete.
	prefetched bytes.Buffer
	body       bytes.Buffer
	// memory is reserved for an answer that is buffered.
	memory bounded.Reservation
	// position is the last event that the caller had when the attempt was sent or interrupted, so that its events follow
	// on from there. resumeAfter is the ID of the last event that the caller has from another attempt; events up to it
	// are skipped. events reads the events of a stream.
	position    string
	resumeAfter string
	events      *eventReader
	// received is the number of bytes of the answer received so far.
	received int64
	// partsCleared is set once the parts of the prompt were found not to crash the runner.
	partsCleared bool
	// firstDataAt is when the first data of the answer's body arrived, nil before.
	firstDataAt atomic.Pointer[time.Time]
	// readErr is the error that ended an incomplete answer.
	readErr error

	// parked is set while the attempt waits for another one that goes on in its place.
	parked bool
	// noEjection is set if the entry itself ended the attempt for a reason that is not a fault of the runner.
	noEjection atomic.Bool
	// mu guards the fields below. hedgingClosed is set once no further hedge may start, and hasHedged once one has.
	mu            sync.Mutex
	hedge         *hedge
	hasHedged     bool
	hedgingClosed bool
	// replaced is the attempt in whose place this one goes on, while that one is kept, and pair decides between the two.
	replaced *attempt
	pair     *pair
	// interrupted is closed once another attempt is to go on, which is replaced if yieldsToReplaced is set and the hedge
	// otherwise. It is nil if there can be none. committed is set once none may go on.
	interrupted      chan struct{}
	isInterrupted    bool
	yieldsToReplaced bool
	committed        bool
	// hedgeMayHaveRun is set if an earlier hedge of this attempt may have run the request.
	hedgeMayHaveRun bool
	// writingToCaller is set while part of the answer is being written to the caller.
	writingToCaller atomic.Bool
}

// runAttempt sends the request to one runner and, if needed, hedges it to another one. It reports whether the request
// is done.
func (g *Gateway) runAttempt(ctx context.Context, x *exchange) bool {
	t, verdict := g.findTarget(ctx, x)
	if t != nil && g.isQuarantined(x) { // runners may have crashed on it while it waited
		t.inflight.end()
		t, verdict = nil, verdictCrashesRunners
	}
	if t == nil {
		x.reason = verdict
		x.noRunnerLeft = true
		return false
	}
	a := g.newAttempt(ctx, x, t)
	defer func() { a.close() }()
	for {
		if a.run() {
			return true
		}
		next := a.successor()
		if next == nil {
			return false
		}
		a = next
	}
}

// newAttempt prepares an attempt on the target.
func (g *Gateway) newAttempt(ctx context.Context, x *exchange, t *target) *attempt {
	a := &attempt{gateway: g, exchange: x, target: t, requestCtx: ctx, position: x.lastEvent, memory: bounded.Reservation{Budget: g.buffers}}
	if !x.route.AtMostOnce() {
		a.interrupted = make(chan struct{})
	}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.reader.onData = a.recordArrival
	a.reader.checkProcess = func() completeness.Process { return a.identifyProcess(x) }
	a.watchdog = g.newWatchdog(a)
	a.startDeadline = g.newStartDeadline(x, t, func() { a.cancel(errStartTooLate) })
	a.stopAfterEnd = t.runner.AfterEnd(a.watchdog.checkNow)
	return a
}

// run sends the request, unless that has been done, and forwards the answer. It reports whether the request is done.
func (a *attempt) run() bool {
	if a.sentAt.IsZero() {
		a.startWatchdog()
	}
	return a.send() && a.relay()
}

// startWatchdog bounds the wait for the start of the answer if the request can be hedged to another runner.
func (a *attempt) startWatchdog() {
	x := a.exchange
	if !x.route.AtMostOnce() && x.runnersLeft() > 1 {
		a.watchdog.start(firstByteTimeout(x.route))
	}
}

// Read reads the body of the answer, starting with the part that was prefetched.
func (a *attempt) Read(buf []byte) (int, error) {
	if a.prefetched.Len() > 0 {
		return a.prefetched.Read(buf)
	}
	return a.readAnswer(buf)
}

// readAnswer reads the body of the answer from the runner and records the progress. It returns errInterrupted if another
// attempt is to go on with the request.
func (a *attempt) readAnswer(buf []byte) (int, error) {
	n, err := a.reader.read(a.interrupted, buf)
	if n > 0 {
		a.target.inflight.recordFirstToken(a.reader.unread.at)
		a.received += int64(n)
		a.gateway.recordProgress(a.exchange, a.received)
		a.clearPartsOnce()
		a.recordRead()
	}
	if err != nil && !isCompleteAnswer(err) && !errors.Is(err, errInterrupted) {
		a.readErr = err
	}
	return n, err
}

// recordArrival records that the runner has sent part of its answer, whether or not this attempt goes on with it.
func (a *attempt) recordArrival() {
	now := time.Now()
	if a.firstDataAt.Load() == nil {
		a.firstDataAt.Store(&now)
	}
	a.recordHeard(now)
	a.startDeadline.stop()
	a.watchdog.reset()
}

// close ends the attempt and its hedge.
func (a *attempt) close() {
	if h := a.takeHedge(); h != nil {
		h.discard()
	}
	a.endReplaced()
	a.stopAfterEnd()
	a.watchdog.stop()
	a.startDeadline.stop()
	a.endOperations()
	if a.follower != nil {
		a.follower.Close()
	}
	if a.answer != nil {
		a.answer.Close() // before the context is cancelled, which would close a reusable connection
	}
	a.cancel(nil)
	a.memory.Release()
	a.target.inflight.end()
}

// endOperations waits until nothing is being sent to the runner or read from it, which the end of the context makes
// return.
func (a *attempt) endOperations() {
	if a.sending.Pending() || a.reader.reading.Pending() {
		a.cancel(nil)
	}
	a.sending.Wait()
	a.reader.reading.Wait()
}

// findTarget chooses the runner for the next attempt, or returns the reason why there is none.
func (g *Gateway) findTarget(ctx context.Context, x *exchange) (*target, string) {
	if x.needsEngine() {
		return g.queue.admit(ctx, x)
	}
	return g.choose(x, time.Now())
}
