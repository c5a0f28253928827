package completeness

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/eventstream"
)

// Process is what is known of the process that has sent a response, once the response has ended.
type Process int

const (
	// ProcessUnresponsive means that it does not respond.
	ProcessUnresponsive Process = iota
	// ProcessRunning means that it accepts connections.
	ProcessRunning
	// ProcessEnded means that it has crashed or stopped.
	ProcessEnded
)

// String returns the name of the state for logs.
func (p Process) String() string {
	switch p {
	case ProcessRunning:
		return "running"
	case ProcessEnded:
		return "ended"
	default:
		return "unresponsive"
	}
}

// The reasons why a body is truncated. All of them are io.ErrUnexpectedEOF, too.
var (
	ErrInsideEvent         = truncated("stream ended inside an event")
	ErrNoEvent             = truncated("stream without a length or chunks ended before its first event")
	ErrProcessEnded        = truncated("process has ended with its response, which has neither a length nor chunks")
	ErrProcessUnresponsive = truncated("process does not respond after a response with neither a length nor chunks")
	ErrRequestNotWritten   = truncated("connection ended before the whole request was written, with a response that has neither a length nor chunks")
)

func truncated(reason string) error { return errors.Wrap(io.ErrUnexpectedEOF, reason) }

// Body is the body of a response that is being read. Exported fields are set before use.
type Body struct {
	// EventStream is set if the body is a stream of server-sent events.
	EventStream bool
	// Continues is set if the body continues an earlier stream, of which nothing may be left.
	Continues bool
	// Framed is set if a length or chunks mark the end of the body. Otherwise the connection ends with it.
	Framed bool

	events eventstream.Parser
}

// Feed follows the next data of the body.
func (b *Body) Feed(data []byte) {
	if b.EventStream {
		b.events.Feed(data)
	}
}

// Events returns the number of complete events so far.
func (b *Body) Events() int { return b.events.Events() }

// Check returns nil if the body, which has ended without an error, is complete, and the reason why it is truncated
// otherwise. It calls process only if the result depends on it.
func (b *Body) Check(process func() Process) error {
	switch {
	case b.EventStream && b.events.Inside():
		return ErrInsideEvent
	case b.Framed:
		return nil
	case b.EventStream && !b.Continues && b.Events() == 0:
		return ErrNoEvent
	}
	switch process() {
	case ProcessRunning:
		return nil
	case ProcessEnded:
		return ErrProcessEnded // also if it has announced its stop, which may cut responses
	default:
		return ErrProcessUnresponsive // nothing else tells whether the body is complete
	}
}
