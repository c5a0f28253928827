package entry

import (
	"net/http"

	"github.com/rillreach/rillreach/callerconn"
)

// resetUnlessComplete wraps a handler. Most responses to callers of HTTP/1.0 end with their connection, which is reset
// unless the handler returns, so that a response that was broken off is not mistaken for a complete one.
func (e *Entry) resetUnlessComplete(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		if err := callerconn.ResetUnlessComplete(r.Context()); err != nil {
			e.Node.Log.Error(err, "cannot make an incomplete response end with a reset")
		}
		next.ServeHTTP(w, r)
		if err := callerconn.CloseNormally(r.Context()); err != nil {
			e.Node.Log.Error(err, "cannot make a complete response end normally")
		}
	})
}
