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

func identified(body string) (*rillreach.Request, error) {
	x := &rillreach.Exchange{Request: rillreach.Request{Header: http.Header{}, Body: []byte(body)}}
	err := Filter{Clock: rillreach.ClockFunc(time.Now)}.Run(context.Background(), x)
	return &x.Request, err
}

func TestReadPrompt(t *testing.T) {
	t.Run("a conversation is told by its messages up to the user's first", func(t *testing.T) {
		req, err := identified(`{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"u"},{"role":"assistant","content":"a"}]}`)
		require.NoError(t, err)
		assert.Equal(t, 2, req.OpeningParts)
		assert.Len(t, req.Parts, 3)
	})
	t.Run("spaces between the fields of a message make no other part", func(t *testing.T) {
		tight, err := identified(`{"model":"m","messages":[{"role":"user","content":"u"}]}`)
		require.NoError(t, err)
		loose, err := identified(`{"model":"m","messages":[{ "role" : "user", "content" : "u" }]}`)
		require.NoError(t, err)
		assert.Equal(t, tight.Parts, loose.Parts)
	})
	t.Run("a field of another case is not taken for the model", func(t *testing.T) {
		req, err := identified(`{"model":"m","MODEL":"other","messages":[{"role":"user"}]}`)
		require.NoError(t, err)
		assert.Equal(t, "m", req.Model)
	})
}

func FuzzReadPrompt(f *testing.F) {
	f.Add(`{"model":"m","messages":[{"role":"user","content":"u"}],"stream":true}`)
	f.Add(`{"model":"m","prompt":["a","b"]}`)
	f.Add(`[]`)
	f.Fuzz(func(t *testing.T, body string) {
		if req, err := identified(body); err == nil {
			assert.NotEmpty(t, req.Model)
			assert.NotEmpty(t, req.Parts)
			assert.Positive(t, req.OpeningParts)
			assert.LessOrEqual(t, req.OpeningParts, len(req.Parts))
		}
	})
}
