package node

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// LateRequestWindow is how long after the listener is closed the connections that came in last may bring their request: several ways over
// a loopback or between zones, and much less than a process takes to end and be started again.
const LateRequestWindow = 20 * time.Millisecond

// ReadinessLag is how long after its signal a stopping process still counts with new connections: a balancer asks for readiness every second
// and takes a process out after two misses.
const ReadinessLag = 3200 * time.Millisecond

// Listener is a listener that a planned stop shuts, while the connections that it has let in go on. http.Server.Shutdown does not
// serve for that: it still reads requests on open connections, and drops them without a word.
type Listener struct {
	net.Listener

	stopped atomic.Bool
}

// Accept waits for the next connection; http.ErrServerClosed says that the listener was closed on purpose.
func (d *Listener) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	if err != nil && d.stopped.Load() {
		return nil, http.ErrServerClosed
	}
	return c, err
}

// StopAccepting lets nobody in any more.
func (d *Listener) StopAccepting() error {
	d.stopped.Store(true)
	return errors.Wrap(d.Close(), "close listener")
}
