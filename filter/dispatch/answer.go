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

// maxBuffered bounds an answer that is held until it is whole, in bytes.
const maxBuffered = 32 << 20

// answerWriter puts an answer together for the caller.
type answerWriter struct {
	x      *rillreach.Exchange
	head   fleet.Head
	headed bool
	held   []byte
	now    func() time.Time
}

// take takes the next part of the answer.
func (w *answerWriter) take(part []byte) error {
	kind, data, err := fleet.SplitPart(part)
	if err != nil {
		return err
	}
	switch {
	case kind == fleet.PartHead && !w.headed:
		w.headed = true
		w.head, err = peer.Decode[fleet.Head](data)
		return err
	case kind == fleet.PartBody && w.headed:
		return w.takeBody(data)
	default:
		return errors.Newf("part of kind %q of the answer is out of order", kind)
	}
}

func (w *answerWriter) takeBody(data []byte) error {
	if w.x.Request.Stream {
		w.begin()
		return w.write(data)
	}
	if len(w.held)+len(data) > maxBuffered {
		return rillreach.MayHaveRun(rillreach.ReasonTooLarge, "answer is too large to be held until it is whole")
	}
	w.held = append(w.held, data...)
	return nil
}

// finish ends an answer that is whole.
func (w *answerWriter) finish() error {
	if !w.headed {
		return errors.New("answer has no head")
	}
	if w.x.Request.Stream && w.x.ResponseStarted {
		return nil
	}
	w.x.Writer.Header().Set("Content-Length", strconv.Itoa(len(w.held)))
	w.begin()
	return w.write(w.held)
}

func (w *answerWriter) begin() {
	if w.x.ResponseStarted {
		return
	}
	w.x.ResponseStarted, w.x.ResponseStartedAt = true, w.now()
	header := w.x.Writer.Header()
	maps.Copy(header, w.head.Header)
	w.x.Writer.WriteHeader(w.head.Status)
}

func (w *answerWriter) write(data []byte) error {
	if _, err := w.x.Writer.Write(data); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	if w.x.Request.Stream {
		return errors.Wrap(http.NewResponseController(w.x.Writer).Flush(), "flush to caller")
	}
	return nil
}
