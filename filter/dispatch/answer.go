package dispatch

import (
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/peer"
)

// maxBufferedBytes limits the body of a response that is not streamed. It is buffered until it is complete.
const maxBufferedBytes = 32 << 20

// responseWriter assembles the parts of a response that an agent sends, and writes it to the caller.
type responseWriter struct {
	x            *rillreach.Exchange
	head         fleet.Head
	headReceived bool
	// buffered is the body of a response that is not streamed.
	buffered []byte
	now      func() time.Time
}

// writePart processes the next part of the response.
func (w *responseWriter) writePart(part []byte) error {
	kind, data, err := fleet.SplitPart(part)
	if err != nil {
		return err
	}
	switch {
	case kind == fleet.PartHead && !w.headReceived:
		w.headReceived = true
		w.head, err = peer.Decode[fleet.Head](data)
		return err
	case kind == fleet.PartBody && w.headReceived:
		return w.writeBody(data)
	default:
		return errors.Newf("part of kind %q of the answer is out of order", kind)
	}
}

func (w *responseWriter) writeBody(data []byte) error {
	if w.x.Request.Stream {
		w.writeHead()
		return w.write(data)
	}
	if len(w.buffered)+len(data) > maxBufferedBytes {
		return rillreach.MayHaveRun(rillreach.ReasonTooLarge, "answer is too large to be held until it is whole")
	}
	w.buffered = append(w.buffered, data...)
	return nil
}

// finish completes the response after its last part.
func (w *responseWriter) finish() error {
	if !w.headReceived {
		return errors.New("answer has no head")
	}
	if w.x.Request.Stream && w.x.ResponseStarted {
		return nil
	}
	w.x.Writer.Header().Set("Content-Length", strconv.Itoa(len(w.buffered)))
	w.writeHead()
	return w.write(w.buffered)
}

func (w *responseWriter) writeHead() {
	if w.x.ResponseStarted {
		return
	}
	w.x.ResponseStarted, w.x.ResponseStartedAt = true, w.now()
	header := w.x.Writer.Header()
	maps.Copy(header, w.head.Header)
	w.x.Writer.WriteHeader(w.head.Status)
}

func (w *responseWriter) write(data []byte) error {
	if _, err := w.x.Writer.Write(data); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	if w.x.Request.Stream {
		return errors.Wrap(http.NewResponseController(w.x.Writer).Flush(), "flush to caller")
	}
	return nil
}
