package callerconn

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach/internal/socket"
	"github.com/rillreach/rillreach/node"
)

// UserTimeout is how long data sent to a caller may remain unacknowledged (TCP user timeout).
const UserTimeout = 5 * time.Second

// Listener accepts callers' connections and has the idle ones closed. Exported fields are set before use.
type Listener struct {
	node.Listener
	// IdleConns closes the idle connections.
	IdleConns *IdleCloser
	// Log receives failures to set or read the properties of sockets.
	Log logr.Logger
}

// Accept waits for the next connection and returns it.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if err := socket.SetUserTimeout(c, UserTimeout); err != nil {
		l.Log.Error(err, "cannot set user timeout of caller connection")
	}
	return &trackedConn{Conn: c, idleConns: l.IdleConns}, nil
}

// HasPending reports whether connections wait to be accepted.
func (l *Listener) HasPending() bool {
	pending, err := socket.HasPendingConn(l.Listener.Listener)
	if err != nil {
		l.Log.Error(err, "cannot tell whether connections wait to be accepted")
	}
	return pending
}

// trackedConn is a caller's connection that reports received data to an IdleCloser.
type trackedConn struct {
	net.Conn
	idleConns *IdleCloser
}

// Read reads from the connection, and records that data has arrived. The data is taken and recorded in one step, so that the
// connection is not closed as idle in between.
func (c *trackedConn) Read(buf []byte) (int, error) {
	if !c.idleConns.tracks(c) || socket.AwaitReadable(c.Conn) != nil {
		return c.Conn.Read(buf) // returns the reason why the wait has failed
	}
	return c.idleConns.read(c, buf)
}

// hasUnread reports whether data has arrived that was not read yet.
func (c *trackedConn) hasUnread() bool {
	unread, err := socket.UnreadBytes(c.Conn)
	return err == nil && unread > 0 // a connection that has just been closed has nothing to read
}

// CloseWrite closes the write side of the connection. The HTTP server calls it before it closes a connection that has
// unread data.
func (c *trackedConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.New("connection does not support CloseWrite")
	}
	return half.CloseWrite()
}
