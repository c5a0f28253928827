package forward

import (
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/completeness"
	"github.com/rillreach/rillreach/responsehead"
)

// Response is a runner's response. Its body has not been read yet.
type Response struct {
	// Head contains the status and the headers. The body must be read with Response.Read.
	Head *http.Response
	// KeepAliveTimeout is how long the runner keeps the idle connection open, zero if it is not known. The caller of
	// Pool.Do sets it before it closes the response.
	KeepAliveTimeout time.Duration

	pool      *Pool
	conn      *conn
	address   netip.AddrPort
	stopWatch func() bool
	sentAt    time.Time
	// bodyWrite is nil if the request was written before the response was read.
	bodyWrite *bodyWrite
	hadStrays bool
	sawEOF    bool
	closed    bool
}

// Read reads the body. It returns io.EOF at the end that the framing marks, and completeness.ErrConnectionEnded at the end
// of a body that is not framed, if the runner has received the whole request. Any other error means that the body is
// incomplete.
func (r *Response) Read(buf []byte) (int, error) {
	n, err := r.Head.Body.Read(buf)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if !r.Framed() {
		return n, completeness.EndOfConnection(r.checkRequest())
	}
	if err := responsehead.CheckHeader(r.Head.Trailer); err != nil {
		return n, errors.Wrap(err, "read trailer")
	}
	r.sawEOF = true
	return n, err
}

// Close returns the connection to the pool if it can be reused, otherwise it closes it.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	notCancelled := r.stopWatch()
	if r.sawEOF && notCancelled && r.requestWritten() && !r.hadStrays && !r.Head.Close && !r.conn.hasSurplus() {
		r.pool.putIdle(r.address, r.conn, r.KeepAliveTimeout)
		return
	}
	r.pool.discard(r.address, r.conn)
}

// ConnOpenedAt returns when the connection to the runner was opened.
func (r *Response) ConnOpenedAt() time.Time { return r.conn.openedAt }

// Framing is how a response marks the end of its body.
type Framing string

// The framings of a response.
const (
	FramedByLength  Framing = "length"
	FramedByChunks  Framing = "chunks"
	FramedByNothing Framing = "connection"
)

// Framing returns how the end of the body is marked. With FramedByNothing the end of the connection ends the body, and a
// truncated body can't be told from a complete one.
func (r *Response) Framing() Framing {
	switch {
	case len(r.Head.TransferEncoding) > 0:
		return FramedByChunks
	case r.Head.ContentLength >= 0 || r.Head.Body == http.NoBody:
		return FramedByLength
	default:
		return FramedByNothing
	}
}

// Framed reports whether the end of the body is marked.
func (r *Response) Framed() bool { return r.Framing() != FramedByNothing }

// IsOpen reports whether the runner has not closed the connection, as far as that is known without reading what has
// arrived. It may be called during Read.
func (r *Response) IsOpen() bool {
	return r.conn.IsQuiet() || r.HasUnreadData()
}

// HasUnreadData reports whether data of the response has arrived and was not read yet. It may be called during Read.
func (r *Response) HasUnreadData() bool {
	unread, err := r.conn.UnreadBytes()
	return err == nil && unread > 0
}

// isEstablished reports whether the runner has not closed the connection, as far as that has arrived. Data may be unread.
func (r *Response) isEstablished() bool {
	established, err := r.conn.IsEstablished()
	return err == nil && established
}

// arrivedBytes returns the number of bytes that have arrived on the connection. Those that are being read may count twice.
func (r *Response) arrivedBytes() int64 {
	unread, err := r.conn.UnreadBytes()
	if err != nil {
		unread = 0
	}
	return int64(unread) + r.conn.BytesRead()
}

// requestWritten reports whether the whole request has been written.
func (r *Response) requestWritten() bool { return r.bodyWrite == nil || r.bodyWrite.isWritten() }

// checkRequest returns why the runner, which has ended its side of the connection, has not received the whole request, nil
// if it has. It waits for a runner that goes on reading the request.
func (r *Response) checkRequest() error {
	if r.bodyWrite != nil {
		<-r.bodyWrite.done
		if r.bodyWrite.err != nil {
			return r.bodyWrite.err
		}
	}
	return r.conn.AwaitAcknowledged()
}
