package node

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// LateRequestWindow is how long after the listener is closed the last accepted connections may still deliver their
// request. It is several one-way delays over a loopback or between zones, and much less than a process needs to exit
// and be restarted.
const LateRequestWindow = 20 * time.Millisecond

// ReadinessLag is how long after the signal a stopping process still expects new connections: a load balancer checks
// readiness every second and removes a process after two failed checks.
const ReadinessLag = 3200 * time.Millisecond

// Listener is a listener that a planned stop can close while the accepted connections stay open. http.Server.Shutdown
// is not suitable, since it still reads requests on open connections and drops them without a response.
type Listener struct {
	net.Listener

	stopped atomic.Bool
}

// Accept waits for the next connection. It returns http.ErrServerClosed after StopAccepting.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil && l.stopped.Load() {
		return nil, http.ErrServerClosed
	}
	return c, err
}

// StopAccepting closes the listener.
func (l *Listener) StopAccepting() error {
	l.stopped.Store(true)
	return errors.Wrap(l.Close(), "close listener")
}
