package node

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// LastRequests is how long after the door is shut the connections that came in last may bring their request: several ways over
// a loopback or between zones, and much less than a process takes to end and be started again.
const LastRequests = 20 * time.Millisecond

// Door is a listener that a planned stop shuts, while the connections that it has let in go on. http.Server.Shutdown does not
// serve for that: it still reads requests on open connections, and drops them without a word.
type Door struct {
	net.Listener

	isShut atomic.Bool
}

// Accept waits for the next connection; http.ErrServerClosed says that the door was shut on purpose.
func (d *Door) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	if err != nil && d.isShut.Load() {
		return nil, http.ErrServerClosed
	}
	return c, err
}

// Shut lets nobody in any more.
func (d *Door) Shut() error {
	d.isShut.Store(true)
	return errors.Wrap(d.Close(), "close listener")
}
