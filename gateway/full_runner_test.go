package gateway

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach/internal/standin/site"
)

const (
	// fullFor is how long a full runner has a health check wait for a slot.
	fullFor = 2 * time.Second
	// answerTime is how long a runner takes for an answer once it has begun.
	answerTime = 200 * time.Millisecond
)

// wholeBodies contains the complete body of an answer by the path of the request.
var wholeBodies = map[string]string{
	"/flow/x": eventsUpTo(4), "/stream/x": eventsUpTo(4), "/once/x": "an answer", "/repeat/x": "an answer",
}

// answerInTime has a runner answer with a body that is written in two parts, and that ends with its connection.
func answerInTime(r *site.Runner) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		r.ServeUnframed(w, req, func(w http.ResponseWriter, req *http.Request) {
			writeBegin(w, req)
			time.Sleep(answerTime)
			body := wholeBodies[req.URL.Path]
			_, _ = io.WriteString(w, body[len(body)/2:])
		})
	}
}

// writeBegin writes the head of an answer, and the first half of its body.
func writeBegin(w http.ResponseWriter, req *http.Request) {
	site.SetSealHeaders(w, req)
	w.Header().Set("Content-Type", contentTypeOf(req.URL.Path))
	body := wholeBodies[req.URL.Path]
	_, _ = io.WriteString(w, body[:len(body)/2])
}

// answerAtOnce has a runner write an answer that ends with its connection in one piece.
func answerAtOnce(*site.Runner) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		site.WriteUnframed(w, req, contentTypeOf(req.URL.Path), wholeBodies[req.URL.Path], nil)
	}
}

// fullRunner returns a runner that has health checks wait.
func fullRunner(handle func(*site.Runner) http.HandlerFunc) *site.Runner {
	r := &site.Runner{ID: "r", HealthDelay: fullFor}
	r.Handle = handle(r)
	return r
}

// Guards against a complete answer that ends with its connection and is cut, since its runner is full and has health checks
// wait for a slot.
func TestCompleteAnswerOfFullRunnerCut(t *testing.T) {
	t.Parallel()
	for path, body := range wholeBodies {
		t.Run("an answer in time on "+path, func(t *testing.T) {
			t.Parallel()
			w := startWorldWithHealthChecks(t, fullRunner(answerInTime))
			defer w.stop()
			assertBody(t, w.send(t, "POST", path, "prompt"), body)
		})
		t.Run("an answer at once on "+path, func(t *testing.T) {
			t.Parallel()
			w := startWorldWithHealthChecks(t, fullRunner(answerAtOnce))
			defer w.stop()
			assertBody(t, w.send(t, "POST", path, "prompt"), body)
		})
	}
	for path, body := range wholeBodies {
		t.Run("several callers at once on "+path, func(t *testing.T) {
			t.Parallel()
			w := startWorldWithHealthChecks(t, fullRunner(answerInTime))
			defer w.stop()
			var wg sync.WaitGroup
			for range 8 {
				wg.Go(func() { assertBody(t, w.send(t, "POST", path, "prompt"), body) })
			}
			wg.Wait()
		})
	}
	for _, path := range []string{"/flow/x", "/once/x"} {
		t.Run("an answer during the stop of the entry on "+path, func(t *testing.T) {
			t.Parallel()
			w := startWorldWithHealthChecks(t, fullRunner(answerInTime))
			caller := w.dial(t)
			w.sendGet(t, caller, path)
			w.eventually(t, func() bool { return w.gateway.inflight.Count() > 0 })
			w.stop()
			assertBody(t, readAnswer(t, caller, "GET"), wholeBodies[path])
		})
	}
}

// Guards against an end that reaches the caller of a stream late, since the entry waits for a full runner's health check.
func TestEndOfStreamWaitsForFullRunner(t *testing.T) {
	w := startWorldWithHealthChecks(t, fullRunner(answerInTime))
	defer w.stop()
	begun := time.Now()
	assertBody(t, w.send(t, "POST", "/flow/x", "prompt"), wholeBodies["/flow/x"])
	assert.Less(t, time.Since(begun), fullFor)
}

// Guards against a broken-off answer that looks complete, since the entry waits for a health check that a later process of
// the runner answers.
func TestLaterProcessVouchesForAnswer(t *testing.T) {
	t.Parallel()
	for path := range wholeBodies {
		for _, delay := range []time.Duration{0, 60 * time.Millisecond, 300 * time.Millisecond, fullFor} {
			t.Run(path+" after "+delay.String(), func(t *testing.T) {
				t.Parallel()
				r := &site.Runner{ID: "r", HealthDelay: fullFor}
				later := &site.Runner{ID: "r", HealthDelay: fullFor / 4}
				later.Handle = answerAtOnce(later)
				var once sync.Once
				r.Handle = func(w http.ResponseWriter, req *http.Request) {
					r.ServeUnframed(w, req, func(w http.ResponseWriter, req *http.Request) {
						writeBegin(w, req)
						time.Sleep(answerTime)
						once.Do(func() {
							r.Crash()
							time.Sleep(delay)
							replaceRunner(t, r, later)
						})
					})
				}
				w := startWorldWithHealthChecks(t, r)
				defer w.stop()
				got := w.send(t, "POST", path, "prompt")
				if path == "/flow/x" || path == "/once/x" {
					assertIncomplete(t, got)
					return
				}
				half := wholeBodies[path][:len(wholeBodies[path])/2]
				assert.False(t, got.err == nil && got.status == http.StatusOK && got.body == half, "the answer looks complete")
			})
		}
	}
}
