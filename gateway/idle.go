package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleKeeper closes callers' connections that rest, or take for the head of a request, longer than the configuration in force
// allows. The server's own time-outs are fixed when it starts, before any configuration is known. Exported fields are set before
// use.
type idleKeeper struct {
	// Allowed is how long a connection may rest now, AllowedHead how long a head may take from its first byte on.
	Allowed     func() time.Duration
	AllowedHead func() time.Duration

	mu    sync.Mutex
	idles map[net.Conn]*idle
}

// idle is the time of one connection without a request that has been read.
type idle struct {
	since time.Time
	timer *time.Timer
	// head says that a request has begun to come.
	head bool
}

// connState is told of each change of a caller's connection.
func (k *idleKeeper) connState(c net.Conn, state http.ConnState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.forget(c)
	if state != http.StateNew && state != http.StateIdle {
		return
	}
	if k.idles == nil {
		k.idles = map[net.Conn]*idle{}
	}
	r := &idle{since: time.Now()}
	r.timer = time.AfterFunc(k.Allowed(), func() { k.end(c, r) })
	k.idles[c] = r
}

// forget ends the connection's rest; the lock is held.
func (k *idleKeeper) forget(c net.Conn) {
	if r := k.idles[c]; r != nil {
		r.timer.Stop()
		delete(k.idles, c)
	}
}

// sawByte records that a byte has come on the connection, which may be the first of a request: the server itself tells of a
// request only once it has read the whole head.
func (k *idleKeeper) sawByte(c net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r := k.idles[c]; r != nil && !r.head {
		r.head, r.since = true, time.Now()
		r.timer.Reset(k.AllowedHead())
	}
}

// left is how much longer the connection may stay as it is.
func (k *idleKeeper) left(r *idle) time.Duration {
	allowed := k.Allowed
	if r.head {
		allowed = k.AllowedHead
	}
	return allowed() - time.Since(r.since)
}

// end closes a connection whose time is over by the configuration in force now, unless a request has come meanwhile.
func (k *idleKeeper) end(c net.Conn, mine *idle) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.idles[c] != mine {
		return
	}
	if left := k.left(mine); left > 0 {
		mine.timer.Reset(left)
		return
	}
	delete(k.idles, c)
	_ = c.Close() // the caller has gone or stays silent: no whole request is lost with it
}

// closeResting closes the connections on which no request has begun to come, and reports how many are in the middle of one's head.
func (k *idleKeeper) closeResting() (heads int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c, r := range k.idles {
		if r.head {
			heads++
			continue
		}
		r.timer.Stop()
		delete(k.idles, c)
		_ = c.Close() // nothing was read on it
	}
	return heads
}

// idleAllowed is how long a caller's connection may rest: what the configuration promises, and a little more, since the
// caller may just be sending its next request.
func (g *Gateway) idleAllowed() time.Duration {
	if c := g.state.Config(); c != nil && c.Limits.IdleTimeout > 0 {
		return c.Limits.IdleTimeout + idleSlack
	}
	return defaultIdle + idleSlack
}

// headAllowed is how long the head of a request may take: what the configuration allows, and a little more.
func (g *Gateway) headAllowed() time.Duration {
	if c := g.state.Config(); c != nil && c.Limits.HeaderTimeout > 0 {
		return min(c.Limits.HeaderTimeout+idleSlack, mostHeaderTimeout)
	}
	return mostHeaderTimeout
}
