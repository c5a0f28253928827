package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
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

// Guards against taking part of a response for a complete one, if the server ends the connection while the call is still
// being written.
func TestEndBeforeCallIsReadLooksComplete(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn) error{
		"an orderly end": (*net.TCPConn).CloseWrite,
		"a reset": func(c *net.TCPConn) error {
			return errors.CombineErrors(c.SetLinger(0), c.Close())
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if !assert.NoError(t, err) {
					return
				}
				t.Cleanup(func() { _ = conn.Close() })
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
				assert.NoError(t, end(conn.(*net.TCPConn)))
			}))
			t.Cleanup(server.Close)
			c := &Client{BaseURL: server.URL, HTTP: NewHTTPClient()}
			resp, err := c.Do(context.Background(), rillreach.BackendRequest{Method: http.MethodPost, Path: "/x", Body: make([]byte, 16<<20)})
			if err != nil {
				return // the reset came before the response was read
			}
			defer func() { _ = resp.Body.Close() }()
			_, err = io.ReadAll(resp.Body)
			assert.Error(t, err)
		})
	}
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
