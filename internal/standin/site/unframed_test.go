package site

import (
	"io"
	"net/http"
	"testing"

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
