package main

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"time"
)

// entryConn is a caller's connection and the entry at its other end.
type entryConn struct {
	net.Conn
	entry *entry
}

// connectionUse records which connection a request was sent on. Its dial may go on after the request has ended or was sent on
// another connection.
type connectionUse struct {
	mu sync.Mutex
	// dialed is the entry that a connection was opened to for the request, used the one that the request was sent to.
	dialed, used *entry
	reused       bool
	writtenAt    time.Time
}

// connectionUseKey is the context key of the connectionUse of a request.
type connectionUseKey struct{}

// withConnectionUse returns a context for a request that has its connection recorded.
func withConnectionUse(ctx context.Context, use *connectionUse) context.Context {
	return httptrace.WithClientTrace(context.WithValue(ctx, connectionUseKey{}, use), &httptrace.ClientTrace{
		GotConn: use.recordUsed, WroteRequest: use.recordWritten,
	})
}

// recordDialed records that a connection to an entry is being opened, if the context is that of a request.
func recordDialed(ctx context.Context, e *entry) {
	use, ok := ctx.Value(connectionUseKey{}).(*connectionUse)
	if !ok {
		return
	}
	use.mu.Lock()
	defer use.mu.Unlock()
	use.dialed = e
}

func (u *connectionUse) recordUsed(info httptrace.GotConnInfo) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if conn, ok := info.Conn.(*entryConn); ok {
		u.used, u.reused = conn.entry, info.Reused
	}
}

func (u *connectionUse) recordWritten(info httptrace.WroteRequestInfo) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if info.Err == nil {
		u.writtenAt = time.Now()
	}
}

// addTo adds to a call what is known of its connection: of the one that it was sent on, or else of the one that was opened
// for it.
func (u *connectionUse) addTo(seen *callRecord) {
	u.mu.Lock()
	defer u.mu.Unlock()
	seen.WrittenAt = u.writtenAt
	switch {
	case u.used != nil:
		seen.Entry, seen.NewConnection = u.used.number, !u.reused
	case u.dialed != nil:
		seen.Entry, seen.NewConnection = u.dialed.number, true
	}
}
