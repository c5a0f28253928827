package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/internal/socket"
)

const (
	readBufferSize  = 4 << 10
	writeBufferSize = 4 << 10
	// maxInlineBody is the size in bytes of the largest body that is written before the response is read. It fits into
	// the smallest socket buffer. A larger body is written while the response is read, because a runner may respond
	// before it has read the whole body.
	maxInlineBody = 4 << 10
)

// conn is a connection to a runner. It carries one request at a time.
type conn struct {
	*socket.Conn
	// source is what reader reads from.
	source   *replayReader
	reader   *bufio.Reader
	openedAt time.Time
	// closeOnce guards received, which reports whether the runner had received all that was written when the connection was
	// closed.
	closeOnce sync.Once
	received  bool
	// idleSince is when the connection became idle, idleTimeout how long it may stay idle and be used again.
	idleSince   time.Time
	idleTimeout time.Duration
}

func newConn(c net.Conn) *conn {
	sc := &socket.Conn{Conn: c}
	source := &replayReader{from: sc}
	return &conn{Conn: sc, source: source, reader: bufio.NewReaderSize(source, readBufferSize), openedAt: time.Now()}
}

// Close closes the connection.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		acknowledged, err := c.IsAcknowledged()
		c.received = err == nil && acknowledged
	})
	return c.Conn.Close()
}

// closeReceived closes the connection, and reports whether the runner had received all that was written.
func (c *conn) closeReceived() bool {
	_ = c.Close()
	return c.received
}

// reusable reports whether the connection is open and has no unexpected data to read.
func (c *conn) reusable() bool {
	return !c.hasSurplus() && c.IsQuiet()
}

// bodyWrite is the writing of a request's body beside the reading of its response.
type bodyWrite struct {
	// done is closed once the body was written or its writing has failed.
	done chan struct{}
	// err is why it has failed. It is set before done is closed.
	err error
}

// isWritten reports whether the whole body has been written.
func (w *bodyWrite) isWritten() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// startBodyWrite writes the body in a goroutine of its own.
func (c *conn) startBodyWrite(body []byte) *bodyWrite {
	w := &bodyWrite{done: make(chan struct{})}
	go func() {
		defer close(w.done)
		_, w.err = c.Write(body)
	}()
	return w
}

// writeRequest writes the request. A large body is still being written when it returns; otherwise the write that it returns
// is nil.
func (c *conn) writeRequest(req *Request) (*bodyWrite, error) {
	w := bufio.NewWriterSize(c.Conn, writeBufferSize)
	if err := req.writeHead(w); err != nil {
		return nil, err
	}
	if len(req.Body) <= maxInlineBody {
		if _, err := w.Write(req.Body); err != nil {
			return nil, err
		}
		return nil, w.Flush()
	}
	if err := w.Flush(); err != nil {
		return nil, err
	}
	return c.startBodyWrite(req.Body), nil
}

// closeOnDone closes the connection once the context ends, so that the runner notices it even if no read or write is
// in progress.
func (c *conn) closeOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = c.Close() })
}

// maxStrayResponses is the number of responses to earlier requests that are skipped before a connection is discarded.
const maxStrayResponses = 3

// readResponse reads responses until one matches the request, and returns it with the number of those skipped.
func (c *conn) readResponse(method string, matches func(*http.Response) bool) (resp *http.Response, strays int, err error) {
	for strays <= maxStrayResponses {
		if resp, err = c.readHead(method); err != nil {
			return nil, strays, err
		}
		if matches(resp) {
			return resp, strays, nil
		}
		strays++
		if err = skipBody(resp); err != nil {
			return nil, strays, err
		}
	}
	return nil, strays, errStrayResponses
}

// skipBody reads the body of a response to another request, after which the next response can be read.
func skipBody(resp *http.Response) error {
	if resp.Close {
		return errStrayResponses // no response follows
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStraySize+1))
	switch {
	case err != nil:
		return errors.CombineErrors(errStrayResponses, err)
	case n > maxStraySize:
		return errStrayTooLarge
	default:
		return resp.Body.Close()
	}
}
