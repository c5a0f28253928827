package gateway

import (
	"bytes"
	"io"
	"slices"
	"strconv"

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
	// had is the id of the last event that the caller has from another run of the same request, empty where the stream begins after it.
	had string
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
	if isEnd(err) { // the stream is whole, and so its rest goes out
		part := r.unseen(r.held)
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
	part := r.unseen(slices.Clone(r.held[:end+len(eventEnd)]))
	r.held = append(r.held[:0], r.held[end+len(eventEnd):]...)
	r.note(part)
	return part, err
}

// unseen leaves out the events that the caller has from another run.
func (r *eventReader) unseen(part []byte) []byte {
	for r.had != "" && len(part) > 0 {
		event, rest, _ := bytes.Cut(part, eventEnd)
		if id := eventID(event); id != "" && follows(id, r.had) {
			r.had = ""
			break
		}
		part = rest
	}
	return part
}

// note keeps the id of the last event in the part.
func (r *eventReader) note(part []byte) {
	if id := eventID(part); id != "" {
		r.last = id
	}
}

// eventID is the last id in the events, empty where there is none.
func eventID(events []byte) string {
	last := ""
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			last = string(bytes.TrimSpace(id))
		}
	}
	return last
}

// follows reports that an event comes after another, by their ids, which rise.
func follows(id, other string) bool {
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(other, 10, 64)
	return errA != nil || errB != nil || a > b
}

// isNumber reports that ids like this one tell which of two events comes first.
func isNumber(id string) bool {
	_, err := strconv.ParseUint(id, 10, 64)
	return err == nil
}

// isEnd reports that an answer is whole.
func isEnd(err error) bool { return errors.Is(err, io.EOF) }
