package gateway

import (
	"bytes"
	"io"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
)

var errEventTooLarge = errors.New("event is too large")

// maxEventSize bounds one event, in bytes.
const maxEventSize = 256 << 10

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// eventReader reads a stream of events; with whole set it gives only events that are complete, and the last one's id.
type eventReader struct {
	from        io.Reader
	wholeEvents bool
	// resumeAfter is the id of the last event that the caller has from another run of the same request, empty where the stream begins after it.
	resumeAfter string
	// lastID is the id of the lastID event given.
	lastID string

	pending []byte
	buf     [relayBufferSize]byte
}

// next returns what may be passed on; io.EOF with it says that the stream is whole.
func (r *eventReader) next() ([]byte, error) {
	n, err := r.from.Read(r.buf[:])
	if !r.wholeEvents {
		return r.buf[:n], err
	}
	r.pending = append(r.pending, r.buf[:n]...)
	end := bytes.LastIndex(r.pending, eventEnd)
	if isCompleteAnswer(err) { // the stream is whole, and so its rest goes out
		part := r.dropSeen(r.pending)
		r.pending = nil
		r.recordLastID(part)
		return part, err
	}
	if end < 0 {
		if len(r.pending) > maxEventSize {
			return nil, errEventTooLarge
		}
		return nil, err
	}
	part := r.dropSeen(slices.Clone(r.pending[:end+len(eventEnd)]))
	r.pending = append(r.pending[:0], r.pending[end+len(eventEnd):]...)
	r.recordLastID(part)
	return part, err
}

// dropSeen leaves out the events that the caller has from another run.
func (r *eventReader) dropSeen(part []byte) []byte {
	for r.resumeAfter != "" && len(part) > 0 {
		event, rest, _ := bytes.Cut(part, eventEnd)
		if id := lastEventID(event); id != "" && isAfter(id, r.resumeAfter) {
			r.resumeAfter = ""
			break
		}
		part = rest
	}
	return part
}

// recordLastID keeps the id of the last event in the part.
func (r *eventReader) recordLastID(part []byte) {
	if id := lastEventID(part); id != "" {
		r.lastID = id
	}
}

// lastEventID is the last id in the events, empty where there is none.
func lastEventID(events []byte) string {
	last := ""
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			last = string(bytes.TrimSpace(id))
		}
	}
	return last
}

// isAfter reports that an event comes after another, by their ids, which rise.
func isAfter(id, other string) bool {
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(other, 10, 64)
	return errA != nil || errB != nil || a > b
}

// isNumericID reports that ids like this one tell which of two events comes first.
func isNumericID(id string) bool {
	_, err := strconv.ParseUint(id, 10, 64)
	return err == nil
}

// isCompleteAnswer reports that an answer is whole.
func isCompleteAnswer(err error) bool { return errors.Is(err, io.EOF) }
