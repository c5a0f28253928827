package gateway

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/pinning"
)

// relayStream forwards events as they arrive. If the stream may continue at another runner, it forwards only complete
// events.
func (a *attempt) relayStream() bool {
	g, x, t := a.gateway, a.exchange, a.target
	if !x.headSent {
		if !x.continuePastShutdown() {
			return a.failRelay(errShuttingDown) // the request is already getting an error response
		}
		g.beginAnswer(x, a.answer)
		g.writeHead(x, a.answer.Head.StatusCode)
	}
	if a.events == nil {
		a.events = &eventReader{from: a, wholeEvents: x.route.Resumable, resumeAfter: a.resumeAfter}
	}
	for {
		part, err := a.events.next()
		if len(part) > 0 {
			t.runner.RecordSuccess(time.Now())
			a.writeEvents(part, a.events.lastID)
		}
		if errors.Is(err, errInterrupted) {
			return a.park()
		}
		if isCompleteAnswer(err) {
			a.recordAnswered()
			return true
		}
		if err != nil {
			return a.failRelay(errors.Wrap(err, "stream broke off"))
		}
		if a.shouldMoveStream(time.Now()) {
			a.startHedge(hedgeLoading)
		}
	}
}

// pinStream records that the caller gets events from the attempt's runner, before the first of them is sent.
func (a *attempt) pinStream() {
	x := a.exchange
	if x.pin.IsZero() {
		x.pinTo(pinning.Pin{Service: x.service.Name, Software: a.target.view.Software})
	}
	if !x.pinRecorded {
		x.pinRecorded = true
		a.gateway.recordPin(x)
	}
}

// writeEvents sends events to the caller. The last complete one has the given ID.
func (a *attempt) writeEvents(part []byte, lastID string) {
	g, x := a.gateway, a.exchange
	if x.firstEventAt.IsZero() {
		x.firstEventAt = time.Now()
		g.Metrics.RecordFirstToken(x.firstEventAt.Sub(x.arrived))
	}
	a.pinStream()
	a.writingToCaller.Store(true)
	err := x.write(part)
	a.writingToCaller.Store(false)
	if err != nil {
		g.abortAnswer(x, a.target, errors.Wrap(err, "write to caller"))
	}
	x.failedSends = 0
	x.recordWrite(lastID)
}

// shouldMoveStream reports whether another runner should continue the stream because the current runner waits for its
// requests to end before it loads weights, and accepts no new requests until then.
func (a *attempt) shouldMoveStream(now time.Time) bool {
	x := a.exchange
	if !x.route.Resumable || x.lastEvent == "" || x.deadline.Sub(now) < x.route.TargetLatency {
		return false
	}
	v := a.target.runner.View(now)
	return v.ReportFresh && v.Load.LoadingWeights
}

func (x *exchange) write(part []byte) error {
	if _, err := x.writer.Write(part); err != nil {
		return err
	}
	return http.NewResponseController(x.writer).Flush()
}
