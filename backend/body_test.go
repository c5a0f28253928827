package backend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/standin/site"
)

// startServer starts a server whose responses have neither a length nor chunks. If crashes is set, its process ends with
// the first of them.
func startServer(t *testing.T, contentType, response string, crashes bool) *Engine {
	t.Helper()
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		site.WriteUnframed(w, r, contentType, response, func() {
			if crashes {
				_ = server.Listener.Close()
			}
		})
	}))
	t.Cleanup(server.Close)
	return &Engine{Client: Client{BaseURL: server.URL, HTTP: NewHTTPClient()}}
}

// readAll calls the server and reads its response.
func readAll(t *testing.T, e *Engine) (string, error) {
	t.Helper()
	resp, err := e.Do(context.Background(), rillreach.BackendRequest{Method: http.MethodGet, Path: "/x"})
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// Guards against taking a response that was broken off for a complete one, because its connection was closed.
func TestBrokenOffResponseLooksComplete(t *testing.T) {
	for _, c := range []struct {
		name, contentType, response string
		crashes                     bool
	}{
		{"inside an event", site.EventStream, "data: a\n\nda", false},
		{"after an event, by a crash", site.EventStream, "data: a\n\n", true},
		{"an answer, by a crash", "text/plain", "half", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := readAll(t, startServer(t, c.contentType, c.response, c.crashes))
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			assert.Equal(t, c.response, got)
		})
	}
	t.Run("an exported state, by a crash", func(t *testing.T) {
		resp, err := startServer(t, "application/octet-stream", "half", true).callControl(context.Background(), http.MethodPost, PathExport, nil)
		require.NoError(t, err)
		defer func() { _ = resp.Body.Close() }()
		_, err = io.ReadAll(resp.Body)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	})
}

// Guards against breaking off a complete response that ends with its connection.
func TestCompleteResponseEndsWithConnection(t *testing.T) {
	for contentType, response := range map[string]string{site.EventStream: "data: a\r\n\r\n", "text/plain": "whole"} {
		t.Run(contentType, func(t *testing.T) {
			got, err := readAll(t, startServer(t, contentType, response, false))
			require.NoError(t, err)
			assert.Equal(t, response, got)
		})
	}
}
