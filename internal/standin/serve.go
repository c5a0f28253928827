package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const readHeaderTimeout = 10 * time.Second

// Serve serves HTTP requests to a stand-in on a listener until the context is cancelled.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve stand-in")
	}
	return nil
}

// WriteJSON writes a value as the JSON response body.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
