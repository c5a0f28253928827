package gateway

import (
	"bytes"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
)

var errEventTooLarge = errors.New("event is too large")

// maxEvent bounds one event, in bytes.
const maxEvent = 256 << 10

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// eventReader reads a stream of events; with whole set it gives only events that are complete, and the last one's id.
type eventReader struct {
	from  io.Reader
	whole bool
	// last is the id of the last event given.
	last string

	held []byte
	buf  [relayBuffer]byte
}

// next returns what may be passed on; io.EOF with it says that the stream is whole.
func (r *eventReader) next() ([]byte, error) {
	n, err := r.from.Read(r.buf[:])
	if !r.whole {
		return r.buf[:n], err
	}
	r.held = append(r.held, r.buf[:n]...)
	end := bytes.LastIndex(r.held, eventEnd)
	if errors.Is(err, io.EOF) { // the stream is whole, and so its rest goes out
		part := r.held
		r.held = nil
		r.note(part)
		return part, err
	}
	if end < 0 {
		if len(r.held) > maxEvent {
			return nil, errEventTooLarge
		}
		return nil, err
	}
	part := slices.Clone(r.held[:end+len(eventEnd)])
	r.held = append(r.held[:0], r.held[end+len(eventEnd):]...)
	r.note(part)
	return part, err
}

// note keeps the id of the last event in the part.
func (r *eventReader) note(part []byte) {
	for line := range bytes.SplitSeq(part, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			r.last = string(bytes.TrimSpace(id))
		}
	}
}
