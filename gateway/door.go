package gateway

import (
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach/forward"
)

// door takes callers' connections, whose rests it has watched.
type door struct {
	net.Listener
	rests  *restKeeper
	log    logr.Logger
	isShut atomic.Bool
}

// Accept waits for the next connection; http.ErrServerClosed says that the door was shut on purpose.
func (d *door) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	if err != nil {
		if d.isShut.Load() {
			return nil, http.ErrServerClosed
		}
		return nil, err
	}
	if err := forward.SetUserTimeout(c, callerTimeout); err != nil {
		d.log.Error(err, "caller's connection has no user time-out")
	}
	return &callerConn{Conn: c, rests: d.rests}, nil
}

// shut takes no more connections; those that are open go on.
func (d *door) shut() error {
	d.isShut.Store(true)
	return errors.Wrap(d.Close(), "close listener")
}

// callerConn is a caller's connection that tells when something comes.
type callerConn struct {
	net.Conn
	rests *restKeeper
}

// Read reads and ends the connection's rest.
func (c *callerConn) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	if n > 0 {
		c.rests.wake(c)
	}
	return n, err
}

// CloseWrite tells the caller that nothing more comes, as the server does before it closes a connection with unread bytes.
func (c *callerConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.New("connection cannot be closed for writing alone")
	}
	return half.CloseWrite()
}

// SyscallConn gives the socket itself.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("connection has no socket")
	}
	return raw.SyscallConn()
}
