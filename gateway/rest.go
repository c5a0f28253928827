package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// restKeeper closes callers' connections that rest for longer than the configuration in force allows. The server's own
// time-out is fixed when it starts, before any configuration is known. Exported fields are set before use.
type restKeeper struct {
	// Allowed is how long a connection may rest now.
	Allowed func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// connState is told of each change of a caller's connection.
func (k *restKeeper) connState(c net.Conn, state http.ConnState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if timer := k.timers[c]; timer != nil {
		timer.Stop()
		delete(k.timers, c)
	}
	if state != http.StateNew && state != http.StateIdle {
		return
	}
	if k.timers == nil {
		k.timers = map[net.Conn]*time.Timer{}
	}
	var timer *time.Timer
	timer = time.AfterFunc(k.Allowed(), func() { k.end(c, &timer) })
	k.timers[c] = timer
}

// end closes a connection whose rest is over, unless a request has come meanwhile.
func (k *restKeeper) end(c net.Conn, mine **time.Timer) {
	k.mu.Lock()
	resting := k.timers[c] != nil && k.timers[c] == *mine
	if resting {
		delete(k.timers, c)
	}
	k.mu.Unlock()
	if resting {
		_ = c.Close() // the caller has gone or stays silent: nothing is lost with it
	}
}

// restAllowed is how long a caller's connection may rest: what the configuration promises, and a little more, since the
// caller may just be sending its next request.
func (g *Gateway) restAllowed() time.Duration {
	if c := g.state.Config(); c != nil && c.Limits.IdleTimeout > 0 {
		return c.Limits.IdleTimeout + idleSlack
	}
	return defaultIdle + idleSlack
}
