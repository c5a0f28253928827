package headcheck

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/responsehead"
)

// startServer starts a server that writes the text as its response to each call, and counts its connections.
func startServer(t *testing.T, text string) (url string, conns *atomic.Int64) {
	t.Helper()
	conns = new(atomic.Int64)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if assert.NoError(t, err) {
			t.Cleanup(func() { _ = conn.Close() })
			_, _ = io.WriteString(conn, text)
		}
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return server.URL, conns
}

// Guards against believing a response of another process whose head is not valid, and against using its connection again.
func TestInvalidHeadBelieved(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 600 OK", "HTTP/7.3 200 OK", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 200 OK\r\nX Fill: v"} {
		t.Run(line, func(t *testing.T) {
			url, conns := startServer(t, line+"\r\nContent-Length: 0\r\n\r\n")
			client := &http.Client{Transport: &Transport{Transport: &http.Transport{}}}
			for range 2 {
				resp, err := client.Get(url)
				if err == nil {
					_ = resp.Body.Close()
				}
				require.ErrorIs(t, err, responsehead.ErrInvalid)
			}
			assert.EqualValues(t, 2, conns.Load())
		})
	}
}

// Guards against rejecting a valid response.
func TestValidHeadRejected(t *testing.T) {
	url, _ := startServer(t, "HTTP/1.1 204 No Content\r\n\r\n")
	resp, err := (&http.Client{Transport: &Transport{Transport: &http.Transport{}}}).Get(url)
	require.NoError(t, err)
	assert.NoError(t, resp.Body.Close())
}
