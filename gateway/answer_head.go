package gateway

import (
	"maps"
	"net/http"

	"github.com/rillreach/rillreach/callerconn"
	"github.com/rillreach/rillreach/forward"
	"github.com/rillreach/rillreach/platform"
)

// beginAnswer copies the runner's headers to the answer to the caller. From then on the answer can be continued but not
// replaced. If the runner does not mark the end of its answer, the entry doesn't either, since it cannot be sure of it.
func (g *Gateway) beginAnswer(x *exchange, answer *forward.Response) http.Header {
	h := x.writer.Header()
	maps.Copy(h, platform.EndToEndHeader(answer.Head.Header))
	g.setConnectionClose(h)
	if !answer.Framed() {
		callerconn.EndWithConnection(h)
	}
	x.recordHead()
	return h
}

// writeHead sends the head of a runner's answer to the caller. If only the end of the connection can end the answer, it
// is a reset until the answer is complete.
func (g *Gateway) writeHead(x *exchange, status int) {
	if callerconn.EndsWithConnection(x.request, x.writer.Header()) {
		x.resetUnlessComplete = true
		if err := callerconn.ResetUnlessComplete(x.request.Context()); err != nil {
			g.Log.Error(err, "cannot make an incomplete answer end with a reset", "request", x.wire.ID)
		}
	}
	x.writer.WriteHeader(status)
}

// allowClose makes the caller's connection end normally, since the answer is complete.
func (g *Gateway) allowClose(x *exchange) {
	if !x.resetUnlessComplete {
		return
	}
	if err := callerconn.CloseNormally(x.request.Context()); err != nil {
		g.Log.Error(err, "cannot make a complete answer end normally", "request", x.wire.ID)
	}
}

// setConnectionClose tells the caller to close its connection if the entry is shutting down.
func (g *Gateway) setConnectionClose(h http.Header) {
	if g.shuttingDown.Load() {
		h.Set("Connection", "close")
	}
}
