package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// bodyInline is the largest body, in bytes, that is written before the answer is awaited: it fits the least of socket
	// buffers. A longer one is written beside the reading, since a runner may answer before it has read it.
	bodyInline = 4 << 10
)

// conn is one connection to a runner; it carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// parked is when the connection was last put aside, rest how long the runner keeps it so.
	parked time.Time
	rest   time.Duration
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer)}
}

// clean reports that the connection is open and holds no byte that nobody asked for.
func (c *conn) clean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, got := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(got, unix.EAGAIN)
		return true
	})
	return err == nil && open
}

// send writes the request; a long body goes on being written while the answer is read, and the channel tells its end.
func (c *conn) send(call *Request) (<-chan error, error) {
	w := bufio.NewWriterSize(c.Conn, writeBuffer)
	if err := call.writeHead(w); err != nil {
		return nil, err
	}
	if len(call.Body) <= bodyInline {
		if _, err := w.Write(call.Body); err != nil {
			return nil, err
		}
		return nil, w.Flush()
	}
	if err := w.Flush(); err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.Write(call.Body)
		done <- err
	}()
	return done, nil
}

// watchUntil closes the connection once the context ends, so that the runner hears of it though nobody reads or writes just then.
func (c *conn) watchUntil(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = c.Close() })
}

// maxStray is how many answers of earlier requests are read over before a connection is given up.
const maxStray = 3

var errStray = errors.New("answers on the connection belong to other requests")

// readAnswer reads answers until the one that is mine; strays says how many came before it.
func (c *conn) readAnswer(method string, mine func(*http.Response) bool) (resp *http.Response, strays int, err error) {
	for strays <= maxStray {
		resp, err = http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, strays, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if mine(resp) {
			return resp, strays, nil
		}
		strays++
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil || resp.Close {
			return nil, strays, errors.CombineErrors(errStray, err)
		}
	}
	return nil, strays, errStray
}

// SetTCPUserTimeout bounds how long sent bytes may stay without acknowledgement before the connection breaks.
func SetTCPUserTimeout(c net.Conn, timeout time.Duration) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "reach socket")
	}
	var set error
	if err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	}); err != nil {
		return errors.Wrap(err, "reach socket")
	}
	return errors.Wrap(set, "set user time-out")
}
