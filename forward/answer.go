package forward

import (
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// Response is a runner's answer, with its body still to be read.
type Response struct {
	// Head is the head; its body is read by Read.
	Head *http.Response
	// KeepAliveTimeout is how long the runner keeps the connection, zero where it does not say; it is set before the body is read.
	KeepAliveTimeout time.Duration

	pool    *Pool
	conn    *conn
	to      netip.AddrPort
	stop    func() bool
	writing <-chan error
	tainted bool
	ended   bool
	closed  bool
}

// Read reads the body; io.EOF says that it is whole, any other error that it is not.
func (a *Response) Read(buf []byte) (int, error) {
	n, err := a.Head.Body.Read(buf)
	if errors.Is(err, io.EOF) {
		a.ended = true
	}
	return n, err
}

// Close gives the connection back where it is certainly clean, and closes it otherwise.
func (a *Response) Close() {
	if a.closed {
		return
	}
	a.closed = true
	undisturbed := a.stop()
	if a.ended && undisturbed && a.written() && !a.tainted && !a.Head.Close && a.Framed() && a.conn.reader.Buffered() == 0 {
		a.pool.park(a.to, a.conn, a.KeepAliveTimeout)
		return
	}
	a.pool.drop(a.to, a.conn)
}

// Framed reports that the answer tells its own end, so that one that breaks off isn't taken for a whole one.
func (a *Response) Framed() bool {
	return a.Head.ContentLength >= 0 || len(a.Head.TransferEncoding) > 0
}

// written reports that the whole request has been written.
func (a *Response) written() bool {
	if a.writing == nil {
		return true
	}
	select {
	case err := <-a.writing:
		return err == nil
	default:
		return false
	}
}
