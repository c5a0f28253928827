package gateway

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/forward"
	"github.com/rillreach/rillreach/platform"
)

const (
	// maxHeld is the largest answer, in bytes, that is held until it is whole.
	maxHeld = 256 << 10
	// relayBuffer is what one read of a stream takes at the most, in bytes.
	relayBuffer = 8 << 10
	// failureStatus is the least status that says that a runner failed.
	failureStatus = 500
)

// relay passes a runner's answer on; it reports whether the request is done with.
func (g *Gateway) relay(ctx context.Context, x *exchange, t *target, answer *forward.Answer, head platform.Answer, heard func()) bool {
	if head.Weights != 0 && x.wire.Prompt != nil {
		t.runner.SetWeights(x.wire.Prompt.Model, head.Weights)
	}
	status := answer.Response.StatusCode
	if status >= failureStatus {
		share := t.runner.Failed(time.Now())
		g.Log.Info("runner failed the request", "decision", "judge", "request", x.wire.ID, "runner", t.view.ID, "status", status, "failures", share)
	}
	if x.began && status != http.StatusOK {
		x.reason = "resumed-elsewhere-refused"
		return false
	}
	if x.route.Kind == deployment.EventStream && status < failureStatus && !x.buffered {
		return g.relayStream(ctx, x, t, answer, heard)
	}
	return g.relayWhole(ctx, x, t, answer, head, heard)
}

// relayWhole holds an answer until it is whole, so that a broken one can still be replaced.
func (g *Gateway) relayWhole(ctx context.Context, x *exchange, t *target, answer *forward.Answer, head platform.Answer, heard func()) bool {
	body, err := io.ReadAll(io.LimitReader(&heardReader{from: answer, heard: heard}, maxHeld+1))
	if err == nil && len(body) > maxHeld {
		return g.relayLarge(ctx, x, t, answer, body)
	}
	if err != nil {
		return g.failed(ctx, x, t, errors.Wrap(err, "answer broke off"))
	}
	status := answer.Response.StatusCode
	if status >= failureStatus && g.replaceFailure(ctx, x) {
		return false
	}
	if status < failureStatus {
		t.runner.Well(time.Now())
	}
	if !head.Sealed && status == http.StatusServiceUnavailable {
		x.maybeRan, x.reason = true, "runner-unavailable"
		return false // it promises nothing, while the same status from us would
	}
	h := g.beginAnswer(x, answer)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(status)
	if _, err := x.writer.Write(body); err != nil {
		g.Log.Info("answer not taken", "decision", "drop", "request", x.wire.ID, "cause", err.Error())
		return true
	}
	g.answered(x, t, status)
	return true
}

// replaceFailure decides whether a runner's failure is answered by another runner instead.
func (g *Gateway) replaceFailure(ctx context.Context, x *exchange) bool {
	if x.route.Once() || !x.mayMove() || ctx.Err() != nil || !g.budgets.Allows(time.Now(), x.service.Name) {
		return false
	}
	x.maybeRan, x.reason = true, "runner-failed"
	return true
}

// relayLarge passes on an answer that is too large to be held.
func (g *Gateway) relayLarge(ctx context.Context, x *exchange, t *target, answer *forward.Answer, begun []byte) bool {
	if !x.keepPastEnd() {
		return g.failed(ctx, x, t, errStopping)
	}
	h := g.beginAnswer(x, answer)
	if length := answer.Response.ContentLength; length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.writer.WriteHeader(answer.Response.StatusCode)
	_, err := x.writer.Write(begun)
	if err == nil {
		_, err = io.Copy(x.writer, answer)
	}
	if err != nil {
		g.cut(x, t, err)
	}
	g.answered(x, t, answer.Response.StatusCode)
	return true
}

// beginAnswer sets the runner's header on the answer to the caller, which from now on can be finished but not be replaced.
func (g *Gateway) beginAnswer(x *exchange, answer *forward.Answer) http.Header {
	h := x.writer.Header()
	maps.Copy(h, platform.PassedHeader(answer.Response.Header))
	g.sayLeaving(h)
	x.began = true
	return h
}

// sayLeaving tells the caller to close its connection while the entry stops.
func (g *Gateway) sayLeaving(h http.Header) {
	if g.leaving.Load() {
		h.Set("Connection", "close")
	}
}

// heardReader tells of each part of an answer that comes.
type heardReader struct {
	from  io.Reader
	heard func()
}

// Read reads the next part.
func (r *heardReader) Read(buf []byte) (int, error) {
	n, err := r.from.Read(buf)
	if n > 0 {
		r.heard()
	}
	return n, err
}

// relayStream passes events on as they come, whole ones only where the stream may go on elsewhere.
func (g *Gateway) relayStream(ctx context.Context, x *exchange, t *target, answer *forward.Answer, heard func()) bool {
	if !x.began {
		if !x.keepPastEnd() {
			return g.failed(ctx, x, t, errStopping) // the entry is just giving it its last answer
		}
		g.beginAnswer(x, answer)
		x.writer.WriteHeader(answer.Response.StatusCode)
	}
	events := eventReader{from: answer, whole: x.route.Resumable}
	for {
		part, err := events.next()
		if len(part) > 0 {
			heard()
			t.runner.Well(time.Now())
			if x.first.IsZero() {
				x.first = time.Now()
				g.Metrics.FirstToken(x.first.Sub(x.arrived))
			}
			if werr := x.write(part); werr != nil {
				g.cut(x, t, errors.Wrap(werr, "caller takes no more"))
			}
			if events.last != "" {
				x.lastEvent = events.last
			}
		}
		if err == nil && g.movesOn(x, t) {
			return false
		}
		if errors.Is(err, io.EOF) {
			g.answered(x, t, answer.Response.StatusCode)
			return true
		}
		if err != nil {
			return g.failed(ctx, x, t, errors.Wrap(err, "stream broke off"))
		}
	}
}

// movesOn decides whether a stream that may go on elsewhere leaves its runner, which is about to load weights and waits for
// its requests to end.
func (g *Gateway) movesOn(x *exchange, t *target) bool {
	now := time.Now()
	if !x.route.Resumable || x.lastEvent == "" || !x.mayMove() || x.ends.Sub(now) < x.route.Target {
		return false
	}
	v := t.runner.View(now)
	if !v.Reported || !v.Load.Busy || !g.budgets.Allows(now, x.service.Name) || !g.hasOther(x, t, now) || !g.hasRoomElsewhere(x, now) {
		return false
	}
	x.maybeRan, x.reason = true, "runner-empties"
	g.Log.Info("stream moves on", "decision", "move", "request", x.wire.ID, "runner", t.view.ID, "lastEvent", x.lastEvent, "reportAge", v.ReportAge.String())
	return true
}

// hasRoomElsewhere reports that an engine that nothing speaks against would begin on the request now. A stream that leaves for one that
// refuses it has no runner left, and its answer is cut.
func (g *Gateway) hasRoomElsewhere(x *exchange, now time.Time) bool {
	if !x.needsEngine() {
		return true
	}
	o := g.options(x, now)
	choice, _ := g.chooseWithRoom(o, nil, g.budgets.Entries())
	return choice.Index >= 0 && o.candidates[choice.Index].Suits()
}

// hasOther reports that another runner than the target may well take the request now.
func (g *Gateway) hasOther(x *exchange, t *target, now time.Time) bool {
	for _, r := range g.state.Roster.Group(x.service.Name) {
		v := r.View(now)
		if v.ID != t.view.ID && g.fits(x, &v, now) && !avoided(&v) {
			return true
		}
	}
	return false
}

func (x *exchange) write(part []byte) error {
	if _, err := x.writer.Write(part); err != nil {
		return err
	}
	return http.NewResponseController(x.writer).Flush()
}

// cut ends an answer that cannot be finished by cutting the connection, so that it cannot be taken for a whole one.
func (g *Gateway) cut(x *exchange, t *target, cause error) {
	g.Log.Error(cause, "answer cut", "decision", "cut", "request", x.wire.ID, "runner", t.view.ID, "after", time.Since(x.arrived).String())
	g.Metrics.Request("unknown", "cut")
	panic(http.ErrAbortHandler)
}

// answered records a request that has its whole answer.
func (g *Gateway) answered(x *exchange, t *target, status int) {
	took := time.Since(x.arrived)
	g.Log.Info("answered", "decision", "done", "request", x.wire.ID, "route", x.route.Name, "runner", t.view.ID, "status", status, "sends", x.sends,
		"first", x.firstAfter().String(), "waited", x.waited.String(), "weights", t.weights, "took", took.String(), "buffered", x.buffered, "config", x.config.Version)
	if status < failureStatus {
		g.usual.add(x.route.Name, took)
	}
	g.Metrics.Request("answered", strings.ToLower(x.route.Kind.String()))
	g.Metrics.Step(x.route.Kind.String(), took)
}

func (x *exchange) firstAfter() time.Duration {
	if x.first.IsZero() {
		return 0
	}
	return x.first.Sub(x.arrived)
}
