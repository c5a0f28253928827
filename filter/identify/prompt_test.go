package identify

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
)

func runFilter(body string) (*rillreach.Request, error) {
	x := &rillreach.Exchange{Request: rillreach.Request{Header: http.Header{}, Body: []byte(body)}}
	err := Filter{Clock: rillreach.ClockFunc(time.Now)}.Run(context.Background(), x)
	return &x.Request, err
}

func TestReadPrompt(t *testing.T) {
	t.Run("a conversation is identified by its messages up to the first user message", func(t *testing.T) {
		req, err := runFilter(`{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"u"},{"role":"assistant","content":"a"}]}`)
		require.NoError(t, err)
		assert.Equal(t, 2, req.OpeningParts)
		assert.Len(t, req.Parts, 3)
	})
	t.Run("whitespace between the fields of a message does not change the part", func(t *testing.T) {
		tight, err := runFilter(`{"model":"m","messages":[{"role":"user","content":"u"}]}`)
		require.NoError(t, err)
		loose, err := runFilter(`{"model":"m","messages":[{ "role" : "user", "content" : "u" }]}`)
		require.NoError(t, err)
		assert.Equal(t, tight.Parts, loose.Parts)
	})
	t.Run("field names are case-sensitive", func(t *testing.T) {
		req, err := runFilter(`{"model":"m","MODEL":"other","messages":[{"role":"user"}]}`)
		require.NoError(t, err)
		assert.Equal(t, "m", req.Model)
	})
}

func FuzzReadPrompt(f *testing.F) {
	f.Add(`{"model":"m","messages":[{"role":"user","content":"u"}],"stream":true}`)
	f.Add(`{"model":"m","prompt":["a","b"]}`)
	f.Add(`[]`)
	f.Fuzz(func(t *testing.T, body string) {
		if req, err := runFilter(body); err == nil {
			assert.NotEmpty(t, req.Model)
			assert.NotEmpty(t, req.Parts)
			assert.Positive(t, req.OpeningParts)
			assert.LessOrEqual(t, req.OpeningParts, len(req.Parts))
		}
	})
}
