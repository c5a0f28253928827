package site

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	waitTimeout  = 5 * time.Second
	pollInterval = 5 * time.Millisecond
)

// send sends a request to an engine, and returns the response's status.
func send(t *testing.T, e *Engine, method, path, body string) int {
	t.Helper()
	req := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	req.Header.Set("X-Rillreach-Target-Instance", e.ID)
	SetRequestID(req, "r")
	w := httptest.NewRecorder()
	e.ServeHTTP(w, req)
	return w.Code
}

// responseField returns a field of the engine's JSON response to a GET request.
func responseField(t *testing.T, e *Engine, path, field string) any {
	t.Helper()
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, path, http.NoBody))
	var fields map[string]any
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &fields))
	return fields[field]
}

func TestEngineDrainsBeforeLoadingWeights(t *testing.T) {
	running, finish := make(chan struct{}), make(chan struct{})
	e := &Engine{Model: Model, Version: 1}
	e.ID = "e"
	e.Handle = func(http.ResponseWriter, *http.Request) {
		close(running)
		<-finish
	}
	var queue time.Duration
	e.QueueDelay = func() time.Duration { return queue }
	e.Start()
	t.Cleanup(e.Stop)
	ended := make(chan int, 1)
	go func() { ended <- send(t, e, http.MethodPost, "/prompt/x", "") }()
	<-running
	queue = time.Hour
	waited := make(chan int, 1)
	go func() { waited <- send(t, e, http.MethodPost, "/prompt/x", "") }()
	require.Eventually(t, func() bool { return responseField(t, e, "/report", "queued") == 1.0 }, waitTimeout, pollInterval)

	assert.Equal(t, http.StatusAccepted, send(t, e, http.MethodPost, "/order", `{"version": 2}`))
	assert.Equal(t, http.StatusServiceUnavailable, <-waited, "queued requests are refused")
	assert.Equal(t, http.StatusServiceUnavailable, send(t, e, http.MethodPost, "/prompt/x", ""), "new requests are refused")
	assert.Equal(t, uint64(1), e.LoadedVersion(), "a running request completes on the weights that it began on")
	close(finish)
	assert.Equal(t, http.StatusOK, <-ended)
	require.Eventually(t, func() bool { return e.LoadedVersion() == 2 }, waitTimeout, pollInterval)
	assert.Equal(t, false, responseField(t, e, "/report", "busy"))
}

func TestEngineReportsStartTime(t *testing.T) {
	const born = 1_700_000_000_123
	for _, path := range []string{"/report", "/kv-events"} {
		e := &Engine{Model: Model, Version: 1, StartUnixMS: born}
		assert.InDelta(t, float64(born), responseField(t, e, path, "born"), 0, path)
		e.StartUnixMS = 0
		assert.Nil(t, responseField(t, e, path, "born"), path)
	}
}

func TestInvalidJSONObjectBreaksListResponse(t *testing.T) {
	s := NewStore()
	s.Put("servers", "good", map[string]any{"service": "e"})
	list := func() []byte {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/objects/servers", http.NoBody))
		body, err := io.ReadAll(w.Result().Body)
		require.NoError(t, err)
		return body
	}
	assert.True(t, json.Valid(list()))
	s.Put("servers", "bad", InvalidJSON{})
	assert.False(t, json.Valid(list()))
	s.Remove("servers", "bad")
	assert.True(t, json.Valid(list()))
}
