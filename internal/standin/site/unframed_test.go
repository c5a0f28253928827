package site

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a response that lacks the header fields that were set before it was decided how the response is framed.
func TestUnframedResponseLosesHeader(t *testing.T) {
	r := &Runner{ID: "r"}
	r.Handle = func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Server-Leaving", "1")
		r.ServeUnframed(w, req, func(w http.ResponseWriter, req *http.Request) { WriteResponse(w, req, "hello") })
	}
	r.Start()
	t.Cleanup(r.Stop)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+r.Address().String()+"/", http.NoBody)
	require.NoError(t, err)
	req.Header.Set("X-Rillreach-Target-Instance", r.ID)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	assert.Equal(t, "hello", string(body))
	assert.Equal(t, int64(-1), resp.ContentLength, "the response must have no length")
	assert.Empty(t, resp.TransferEncoding)
	assert.Equal(t, "1", resp.Header.Get("Server-Leaving"))
}

// Guards against a runner that works on for a caller that has closed the connection.
func TestUnframedResponseOutlivesCaller(t *testing.T) {
	ended := make(chan struct{})
	r := &Runner{ID: "r"}
	r.Handle = func(w http.ResponseWriter, req *http.Request) {
		r.ServeUnframed(w, req, func(_ http.ResponseWriter, req *http.Request) {
			<-req.Context().Done()
			close(ended)
		})
	}
	r.Start()
	t.Cleanup(r.Stop)
	conn, err := net.Dial("tcp", r.Address().String())
	require.NoError(t, err)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nX-Rillreach-Target-Instance: r\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(r.ReceivedRequests()) == 1 }, 5*time.Second, time.Millisecond)
	require.NoError(t, conn.Close())
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		require.Fail(t, "the request goes on")
	}
}
