package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/standin/site"
)

// startSmallWorld starts an entry whose buffers may take 1 MiB together.
func startSmallWorld(t *testing.T, runner *site.Runner) *world {
	t.Helper()
	config := configWithRoutes(1, routeConfig("once", "non_idempotent", "plain", nil))
	config["services"] = []jsonMap{{"name": "plain", "max_connections": 1000}}
	store := site.NewStore()
	store.Put("config", "main", config)
	runner.Start()
	t.Cleanup(runner.Stop)
	store.Put("servers", runner.ID, runnerRecord(runner, "ready"))
	w := startWithSettings(t, store, func(s *deployment.Settings) { s.MemoryMB = 4 })
	w.awaitReady(t)
	t.Cleanup(w.stop)
	return w
}

// sendAll sends requests at the same time and returns the answers.
func (w *world) sendAll(t *testing.T, requests int, path, body string) []answer {
	t.Helper()
	answers := make([]answer, requests)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() { answers[i] = w.send(t, "POST", path, body) })
	}
	wg.Wait()
	return answers
}

// Guards against bodies of requests that together take more memory than the process has.
func TestBodiesFillMemory(t *testing.T) {
	const size, requests = 64 << 10, 40
	fit := int(1<<20) / size
	goOn := make(chan struct{})
	runner := &site.Runner{ID: "r", Handle: func(w http.ResponseWriter, r *http.Request) {
		<-goOn
		site.WriteResponse(w, r, "done")
	}}
	w := startSmallWorld(t, runner)
	release := sync.OnceFunc(func() { close(goOn) })
	defer release()
	go func() {
		for len(runner.ReceivedRequests()) < fit {
			time.Sleep(time.Millisecond)
		}
		release()
	}()
	served, refused := 0, 0
	for _, got := range w.sendAll(t, requests, "/once/x", strings.Repeat("x", size)) {
		switch {
		case got.status == http.StatusOK:
			served++
		case got.err == nil: // the connection may be closed before the refusal is read, since the body was not
			assertGatewayAnswer(t, got, http.StatusServiceUnavailable)
			assert.NotEmpty(t, got.header.Get("Retry-After"))
			refused++
		}
	}
	assert.Len(t, runner.ReceivedRequests(), served, "a refused request has run")
	assert.GreaterOrEqual(t, served, fit)
	assert.Positive(t, refused)
	w.eventually(t, func() bool { return w.gateway.buffers.Used() == 0 })
	assert.Equal(t, http.StatusOK, w.send(t, "POST", "/once/x", strings.Repeat("x", size)).status, "the memory is not given back")
}

// Guards against buffered answers that together take more memory than the process has.
func TestBufferedAnswersFillMemory(t *testing.T) {
	const size, requests = maxBufferedAnswer - 1, 20
	first, second := strings.Repeat("x", size/2), strings.Repeat("y", size-size/2)
	goOn := make(chan struct{})
	var once sync.Once
	runner := &site.Runner{ID: "r"}
	runner.Handle = func(rw http.ResponseWriter, r *http.Request) {
		site.SetSealHeaders(rw, r)
		rw.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = io.WriteString(rw, first)
		_ = http.NewResponseController(rw).Flush()
		<-goOn
		_, _ = io.WriteString(rw, second)
	}
	w := startSmallWorld(t, runner)
	release := func() { once.Do(func() { close(goOn) }) }
	defer release()
	most := int64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for len(runner.ReceivedRequests()) < requests {
			time.Sleep(time.Millisecond)
		}
		for range 100 {
			most = max(most, w.gateway.buffers.Used())
			time.Sleep(time.Millisecond)
		}
		release()
	}()
	for i, got := range w.sendAll(t, requests, "/once/x", "q") {
		require.NoError(t, got.err, fmt.Sprint("answer ", i))
		assert.Equal(t, http.StatusOK, got.status)
		assert.Equal(t, first+second, got.body, "answer %d is not whole", i)
	}
	<-done
	assert.LessOrEqual(t, most, int64(1<<20))
	assert.Greater(t, most, int64(1<<19), "the test has buffered too little")
	w.eventually(t, func() bool { return w.gateway.buffers.Used() == 0 })
}
