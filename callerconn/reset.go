package callerconn

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// connKey is the context key of a caller's connection.
type connKey struct{}

// WithConn returns a context with a caller's connection, for a server's ConnContext hook.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ErrNoLinger means that a connection cannot be reset.
var ErrNoLinger = errors.New("connection does not support SetLinger")

// EndsWithConnection reports whether only the end of the connection will end the response to the request, given the
// response's header.
func EndsWithConnection(r *http.Request, response http.Header) bool {
	if response.Get("Content-Length") != "" {
		return false
	}
	return !r.ProtoAtLeast(1, 1) || response.Get("Transfer-Encoding") == identity
}

// EndWithConnection makes the end of the connection end the response with the header.
func EndWithConnection(response http.Header) { response.Set("Transfer-Encoding", identity) }

// identity is the transfer encoding that makes package http end a response with its connection.
const identity = "identity"

// ResetUnlessComplete makes the connection of a request end with a reset from now on, also if the process is killed. A
// caller whose response ends with its connection can then tell that it is incomplete. Once the response is complete,
// CloseNormally must be called.
func ResetUnlessComplete(ctx context.Context) error { return setLinger(ctx, 0) }

// CloseNormally takes ResetUnlessComplete back.
func CloseNormally(ctx context.Context) error { return setLinger(ctx, -1) }

// setLinger sets the linger time in seconds of the connection of a request, which is unlimited if it is negative. The
// context must be that of a request.
func setLinger(ctx context.Context, seconds int) error {
	conn := ctx.Value(connKey{})
	if tracked, ok := conn.(*trackedConn); ok {
		conn = tracked.Conn
	}
	lingering, ok := conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return ErrNoLinger
	}
	return errors.Wrap(lingering.SetLinger(seconds), "set linger time of caller connection")
}
