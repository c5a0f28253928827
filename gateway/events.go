package gateway

import (
	"bytes"
	"io"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/eventstream"
	"github.com/rillreach/rillreach/forward"
)

var errEventTooLarge = errors.Wrap(forward.ErrResponseTooLarge, "read event")

// maxEventSize is the maximum size of an event, in bytes.
const maxEventSize = 256 << 10

var idField = []byte("id:")

// eventReader reads an event stream. If wholeEvents is set, it returns only complete events and the ID of the last
// one.
type eventReader struct {
	from        io.Reader
	wholeEvents bool
	// resumeAfter is the ID of the last event that the caller has from another run of the request. It is empty if the
	// stream begins after that event.
	resumeAfter string
	// lastID is the ID of the last event that was returned.
	lastID string

	parser  eventstream.Parser
	pending []byte
	buf     [relayBufferSize]byte
}

// next returns data that may be sent to the caller. It returns io.EOF with the last data of a complete stream.
func (r *eventReader) next() ([]byte, error) {
	n, err := r.from.Read(r.buf[:])
	if !r.wholeEvents {
		return r.buf[:n], err
	}
	end := r.parser.Feed(r.buf[:n])
	if end >= 0 {
		end += len(r.pending)
	}
	r.pending = append(r.pending, r.buf[:n]...)
	if isCompleteAnswer(err) { // the stream is complete, so the rest can be returned
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
	part := r.dropSeen(slices.Clone(r.pending[:end]))
	r.pending = append(r.pending[:0], r.pending[end:]...)
	r.recordLastID(part)
	return part, err
}

// dropSeen removes the events that the caller already has from another run.
func (r *eventReader) dropSeen(part []byte) []byte {
	for r.resumeAfter != "" && len(part) > 0 {
		event, rest := eventstream.Cut(part)
		if id := lastEventID(event); id != "" && isAfter(id, r.resumeAfter) {
			r.resumeAfter = ""
			break
		}
		part = rest
	}
	return part
}

// recordLastID records the ID of the last event in the part.
func (r *eventReader) recordLastID(part []byte) {
	if id := lastEventID(part); id != "" {
		r.lastID = id
	}
}

// lastEventID returns the last ID in the events, or an empty string if there is none.
func lastEventID(events []byte) string {
	last := ""
	for line := range bytes.FieldsFuncSeq(events, func(c rune) bool { return c == '\n' || c == '\r' }) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			last = string(bytes.TrimSpace(id))
		}
	}
	return last
}

// isAfter reports whether an event comes after another. Event IDs are ascending numbers; if one of the IDs is not a
// number, the event counts as later.
func isAfter(id, other string) bool {
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(other, 10, 64)
	return errA != nil || errB != nil || a > b
}

// isNumericID reports whether an event ID is a number, so that IDs show which of two events comes first.
func isNumericID(id string) bool {
	_, err := strconv.ParseUint(id, 10, 64)
	return err == nil
}

// isCompleteAnswer reports whether a read error means that the answer is complete.
func isCompleteAnswer(err error) bool { return errors.Is(err, io.EOF) }
