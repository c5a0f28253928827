package gateway

import (
	"net"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach/forward"
	"github.com/rillreach/rillreach/node"
)

// callerListener takes callers' connections, whose rests it has watched.
type callerListener struct {
	node.Listener

	idleConns *idleCloser
	log       logr.Logger
}

// Accept waits for the next connection.
func (d *callerListener) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if err := forward.SetUserTimeout(c, callerUserTimeout); err != nil {
		d.log.Error(err, "caller's connection has no user time-out")
	}
	return &callerConn{Conn: c, idleConns: d.idleConns}, nil
}

// callerConn is a caller's connection that tells when something comes.
type callerConn struct {
	net.Conn
	idleConns *idleCloser
}

// Read reads and ends the connection's rest.
func (c *callerConn) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	if n > 0 {
		c.idleConns.recordRead(c)
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
