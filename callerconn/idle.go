package callerconn

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// IdleCloser closes callers' connections that are idle, or take to send the head of a request, for longer than the
// current configuration allows. The timeouts of the HTTP server cannot do this: they are fixed when it starts, before
// any configuration is known. Exported fields are set before use.
type IdleCloser struct {
	// IdleTimeout returns how long a connection may be idle, HeadTimeout how long a head may take from its first byte
	// on.
	IdleTimeout func() time.Duration
	HeadTimeout func() time.Duration

	mu    sync.Mutex
	conns map[net.Conn]*idleConn
}

// idleConn is a connection on which no complete request head has been read since it was opened or last answered.
type idleConn struct {
	since time.Time
	timer *time.Timer
	// readingHead reports whether the head of a request has begun to arrive, and since is when it did.
	readingHead bool
}

// ConnState is the server's hook for state changes of callers' connections.
func (k *IdleCloser) ConnState(conn net.Conn, state http.ConnState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.remove(conn)
	if state != http.StateNew && state != http.StateIdle {
		return
	}
	if k.conns == nil {
		k.conns = map[net.Conn]*idleConn{}
	}
	tracked := &idleConn{since: time.Now()}
	tracked.timer = time.AfterFunc(k.IdleTimeout(), func() { k.expire(conn, tracked) })
	k.conns[conn] = tracked
}

// remove stops tracking a connection. The lock must be held.
func (k *IdleCloser) remove(conn net.Conn) {
	if tracked := k.conns[conn]; tracked != nil {
		tracked.timer.Stop()
		delete(k.conns, conn)
	}
}

// tracks reports whether the connection may be closed as idle, or because the head of a request takes too long.
func (k *IdleCloser) tracks(conn net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.conns[conn] != nil
}

// read reads the data that has arrived on a connection, and records that a request may have begun. The server itself
// reports a request only once it has read the complete head. The connection must be readable.
func (k *IdleCloser) read(conn *trackedConn, buf []byte) (int, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	n, err := conn.Conn.Read(buf)
	if tracked := k.conns[conn]; n > 0 && tracked != nil && !tracked.readingHead {
		tracked.readingHead, tracked.since = true, time.Now()
		tracked.timer.Reset(k.HeadTimeout())
	}
	return n, err
}

// remaining returns how much longer the connection may stay in its present state.
func (k *IdleCloser) remaining(tracked *idleConn) time.Duration {
	timeout := k.IdleTimeout
	if tracked.readingHead {
		timeout = k.HeadTimeout
	}
	return timeout() - time.Since(tracked.since)
}

// expire closes a connection whose timeout by the current configuration has passed, unless a request has arrived
// meanwhile.
func (k *IdleCloser) expire(conn net.Conn, tracked *idleConn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conns[conn] != tracked {
		return
	}
	if remaining := k.remaining(tracked); remaining > 0 {
		tracked.timer.Reset(remaining)
		return
	}
	delete(k.conns, conn)
	_ = conn.Close() // no complete request is lost
}

// HasUnread reports whether data has arrived on any tracked connection that was not read yet.
func (k *IdleCloser) HasUnread() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for conn := range k.conns {
		if hasUnread(conn) {
			return true
		}
	}
	return false
}

// hasUnread reports whether data has arrived on a caller's connection that was not read yet.
func hasUnread(conn net.Conn) bool {
	c, ok := conn.(*trackedConn)
	return ok && c.hasUnread()
}

// CloseIdle closes the connections on which no request has begun to arrive, and returns the number of those with an
// incomplete or unread head.
func (k *IdleCloser) CloseIdle() (incomplete int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for conn, tracked := range k.conns {
		if tracked.readingHead || hasUnread(conn) {
			incomplete++
			continue
		}
		tracked.timer.Stop()
		delete(k.conns, conn)
		_ = conn.Close() // nothing has been read from it
	}
	return incomplete
}
