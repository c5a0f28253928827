package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCloser closes callers' connections that rest, or take for the head of a request, longer than the configuration in force
// allows. The server's own time-outs are fixed when it starts, before any configuration is known. Exported fields are set before
// use.
type idleCloser struct {
	// IdleTimeout is how long a connection may rest now, AllowedHead how long a head may take from its first byte on.
	IdleTimeout func() time.Duration
	HeadTimeout func() time.Duration

	mu    sync.Mutex
	conns map[net.Conn]*idleConn
}

// idleConn is the time of one connection without a request that has been read.
type idleConn struct {
	since time.Time
	timer *time.Timer
	// readingHead says that a request has begun to come.
	readingHead bool
}

// connState is told of each change of a caller's connection.
func (k *idleCloser) connState(c net.Conn, state http.ConnState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.remove(c)
	if state != http.StateNew && state != http.StateIdle {
		return
	}
	if k.conns == nil {
		k.conns = map[net.Conn]*idleConn{}
	}
	r := &idleConn{since: time.Now()}
	r.timer = time.AfterFunc(k.IdleTimeout(), func() { k.expire(c, r) })
	k.conns[c] = r
}

// remove ends the connection's rest; the lock is held.
func (k *idleCloser) remove(c net.Conn) {
	if r := k.conns[c]; r != nil {
		r.timer.Stop()
		delete(k.conns, c)
	}
}

// recordRead records that a byte has come on the connection, which may be the first of a request: the server itself tells of a
// request only once it has read the whole head.
func (k *idleCloser) recordRead(c net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r := k.conns[c]; r != nil && !r.readingHead {
		r.readingHead, r.since = true, time.Now()
		r.timer.Reset(k.HeadTimeout())
	}
}

// remaining is how much longer the connection may stay as it is.
func (k *idleCloser) remaining(r *idleConn) time.Duration {
	allowed := k.IdleTimeout
	if r.readingHead {
		allowed = k.HeadTimeout
	}
	return allowed() - time.Since(r.since)
}

// expire closes a connection whose time is over by the configuration in force now, unless a request has come meanwhile.
func (k *idleCloser) expire(c net.Conn, mine *idleConn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conns[c] != mine {
		return
	}
	if left := k.remaining(mine); left > 0 {
		mine.timer.Reset(left)
		return
	}
	delete(k.conns, c)
	_ = c.Close() // the caller has gone or stays silent: no whole request is lost with it
}

// closeIdle closes the connections on which no request has begun to come, and reports how many are in the middle of one's head.
func (k *idleCloser) closeIdle() (heads int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c, r := range k.conns {
		if r.readingHead {
			heads++
			continue
		}
		r.timer.Stop()
		delete(k.conns, c)
		_ = c.Close() // nothing was read on it
	}
	return heads
}

// callerIdleTimeout is how long a caller's connection may rest: what the configuration promises, and a little more, since the
// caller may just be sending its next request.
func (g *Gateway) callerIdleTimeout() time.Duration {
	if c := g.state.Config(); c != nil && c.Limits.IdleTimeout > 0 {
		return c.Limits.IdleTimeout + connTimeoutSlack
	}
	return defaultIdleTimeout + connTimeoutSlack
}

// callerHeadTimeout is how long the head of a request may take: what the configuration allows, and a little more.
func (g *Gateway) callerHeadTimeout() time.Duration {
	if c := g.state.Config(); c != nil && c.Limits.HeaderTimeout > 0 {
		return min(c.Limits.HeaderTimeout+connTimeoutSlack, maxHeaderTimeout)
	}
	return maxHeaderTimeout
}
