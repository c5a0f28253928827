package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// largeBody is the body of an answer that is too large to be buffered.
var largeBody = strings.Repeat("x", maxBufferedAnswer+maxBufferedAnswer/4)

// insideEvent are streams that end inside an event.
var insideEvent = map[string]string{
	"after events":              eventsUpTo(4) + "id: 5\nda",
	"after a line of an event":  eventsUpTo(4) + "id: 5\n",
	"inside its first event":    "id: 1\nda",
	"after events, with CRLF":   withCRLF(eventsUpTo(4)) + "id: 5\r\nda",
	"inside a comment":          eventsUpTo(4) + ": pi",
	"after a line with CRLF":    withCRLF(eventsUpTo(4)) + "id: 5\r\ndata: x\r\n",
	"after the last event's LF": eventsUpTo(4) + "id: 5\ndata: piece 5\n",
}

func withCRLF(stream string) string { return strings.ReplaceAll(stream, "\n", "\r\n") }

// unframedResponse returns a handler of a runner whose response ends with its connection.
func unframedResponse(contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { site.WriteUnframed(w, r, contentType, body, nil) }
}

// crashingRunner returns a runner whose process ends with its response, which has neither a length nor chunks.
func crashingRunner(id, contentType, body string) *site.Runner {
	r := &site.Runner{ID: id}
	r.Handle = func(w http.ResponseWriter, req *http.Request) { site.WriteUnframed(w, req, contentType, body, r.Crash) }
	return r
}

// firstOf returns two runners, of which the first one that gets a request handles it as the first of the given ones and
// the other one as the second.
func firstOf(first, second func(r *site.Runner) http.HandlerFunc) []*site.Runner {
	runners := []*site.Runner{{ID: "a"}, {ID: "b"}}
	var mu sync.Mutex
	begun := false
	for _, r := range runners {
		r.Handle = func(w http.ResponseWriter, req *http.Request) {
			mu.Lock()
			handle := second
			if !begun {
				handle = first
			}
			begun = true
			mu.Unlock()
			handle(r)(w, req)
		}
	}
	return runners
}

// ending returns a handler that ends with its connection, and with the runner's process if crashes is set.
func ending(contentType, body string, crashes bool) func(r *site.Runner) http.HandlerFunc {
	return func(r *site.Runner) http.HandlerFunc {
		return func(w http.ResponseWriter, req *http.Request) {
			var beforeClose func()
			if crashes {
				beforeClose = r.Crash
			}
			site.WriteUnframed(w, req, contentType, body, beforeClose)
		}
	}
}

func completeStream(*site.Runner) http.HandlerFunc { return cutAfterEvents(0) }

func completeAnswer(body string) func(*site.Runner) http.HandlerFunc {
	return func(*site.Runner) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) { site.WriteResponse(w, r, body) }
	}
}

// assertIncomplete checks that the caller can tell that it has no complete answer.
func assertIncomplete(t *testing.T, got answer) {
	t.Helper()
	assert.True(t, got.err != nil || got.status == http.StatusBadGateway, "the answer looks complete: status %d, %d bytes", got.status, len(got.body))
}

// assertBody checks that the caller has a complete answer with the body.
func assertBody(t *testing.T, got answer, body string) {
	t.Helper()
	require.NoError(t, got.err)
	assert.Equal(t, http.StatusOK, got.status)
	require.Len(t, got.body, len(body))
	assert.Equal(t, body, got.body)
}

// Guards against answers without a length or chunks that break off and reach the caller as if they were complete.
func TestBrokenOffAnswerLooksComplete(t *testing.T) {
	for name, body := range insideEvent {
		t.Run("a stream ends "+name, func(t *testing.T) {
			w := startWorld(t, defaultConfig(), &site.Runner{ID: "r", Handle: unframedResponse(site.EventStream, body)})
			defer w.stop()
			for _, path := range []string{"/flow/x", "/stream/x"} {
				assertIncomplete(t, w.send(t, "POST", path, "prompt"))
			}
		})
		t.Run("a stream in chunks ends "+name, func(t *testing.T) {
			w := startWorld(t, defaultConfig(), &site.Runner{ID: "r", Handle: func(w http.ResponseWriter, r *http.Request) {
				site.WriteChunked(w, r, site.EventStream, body)
			}})
			defer w.stop()
			for _, path := range []string{"/flow/x", "/stream/x"} {
				assertIncomplete(t, w.send(t, "POST", path, "prompt"))
			}
		})
		t.Run("a resumable stream that ends "+name+" continues at another runner", func(t *testing.T) {
			w := startWorld(t, defaultConfig(), firstOf(ending(site.EventStream, body, false), completeStream)...)
			defer w.stop()
			got := w.send(t, "POST", "/stream/x", "prompt")
			require.NoError(t, got.err)
			assert.Equal(t, eventsUpTo(9), strings.ReplaceAll(got.body, "\r\n", "\n"))
		})
	}
	for name, body := range map[string]string{"after an event": eventsUpTo(4), "before its first event": "", "inside an event": eventsUpTo(4) + "id"} {
		t.Run("the runner of a stream crashes "+name, func(t *testing.T) {
			for _, path := range []string{"/flow/x", "/stream/x"} {
				w := startWorld(t, defaultConfig(), crashingRunner("r", site.EventStream, body))
				assertIncomplete(t, w.send(t, "POST", path, "prompt"))
				w.stop()
			}
		})
		t.Run("the runner of a resumable stream crashes "+name+" and another one continues it", func(t *testing.T) {
			w := startWorld(t, defaultConfig(), firstOf(ending(site.EventStream, body, true), completeStream)...)
			defer w.stop()
			assertBody(t, w.send(t, "POST", "/stream/x", "prompt"), eventsUpTo(9))
		})
	}
	for name, body := range map[string]string{"small": "half of an answer", "large": largeBody} {
		t.Run("the runner of a "+name+" answer crashes", func(t *testing.T) {
			w := startWorld(t, defaultConfig(), crashingRunner("r", "text/plain", body))
			defer w.stop()
			assertIncomplete(t, w.send(t, "POST", "/once/x", "question"))
		})
	}
	t.Run("the runner of an answer that may be repeated crashes", func(t *testing.T) {
		w := startWorld(t, defaultConfig(), firstOf(ending("text/plain", "half of an answer", true), completeAnswer("whole answer"))...)
		defer w.stop()
		assertBody(t, w.send(t, "POST", "/repeat/x", "question"), "whole answer")
	})
}

// Guards against cutting complete answers that end with their connection.
func TestCompleteAnswerEndsWithConnection(t *testing.T) {
	for name, body := range map[string]string{
		"LF": eventsUpTo(4), "CRLF": withCRLF(eventsUpTo(4)), "a comment at its end": eventsUpTo(4) + ": done\n", "one event": eventsUpTo(1),
	} {
		t.Run("a stream with "+name, func(t *testing.T) {
			w := startWorld(t, defaultConfig(), &site.Runner{ID: "r", Handle: unframedResponse(site.EventStream, body)})
			defer w.stop()
			for _, path := range []string{"/flow/x", "/stream/x"} {
				assertBody(t, w.send(t, "POST", path, "prompt"), body)
			}
		})
	}
	for name, body := range map[string]string{"small": "whole answer", "large": largeBody} {
		t.Run("a "+name+" answer", func(t *testing.T) {
			w := startWorld(t, defaultConfig(), &site.Runner{ID: "r", Handle: unframedResponse("text/plain", body)})
			defer w.stop()
			for _, path := range []string{"/once/x", "/repeat/x"} {
				assertBody(t, w.send(t, "POST", path, "question"), body)
			}
		})
	}
}

// Guards against marking the end of an answer whose runner has not marked it, so that the caller takes for certain what
// the entry does not know.
func TestUnframedAnswerMarkedComplete(t *testing.T) {
	for path, r := range map[string]*site.Runner{
		"/once/small":   {ID: "r", Handle: unframedResponse("text/plain", "answer")},
		"/repeat/large": {ID: "r", Handle: unframedResponse("text/plain", largeBody)},
		"/flow/x":       {ID: "r", Handle: unframedResponse(site.EventStream, eventsUpTo(4))},
		"/stream/x":     {ID: "r", Handle: unframedResponse(site.EventStream, eventsUpTo(4))},
	} {
		t.Run(path, func(t *testing.T) {
			w := startWorld(t, defaultConfig(), r)
			defer w.stop()
			got := w.send(t, "POST", path, "prompt")
			require.NoError(t, got.err)
			assert.False(t, got.framed, "the answer has a length or chunks")
			assert.True(t, got.closes)
		})
	}
}

// Guards against a broken-off answer that looks complete since another process accepts connections at the address of its
// runner, which has crashed.
func TestReplacedProcessVouchesForAnswer(t *testing.T) {
	for path, body := range map[string]string{"/flow/x": eventsUpTo(4), "/once/x": "half of an answer"} {
		t.Run(path, func(t *testing.T) {
			r, other := &site.Runner{ID: "r"}, &site.Runner{ID: "other"}
			r.Handle = func(w http.ResponseWriter, req *http.Request) {
				site.WriteUnframed(w, req, contentTypeOf(path), body, func() {
					r.Crash()
					l, err := net.Listen("tcp", r.Address().String())
					if !assert.NoError(t, err) { //nolint:testifylint // not in the test's goroutine
						return
					}
					server := &httptest.Server{Listener: l, Config: &http.Server{Handler: other}}
					server.Start()
					t.Cleanup(server.Close)
				})
			}
			config := defaultConfig()
			config["services"] = []jsonMap{{"name": "plain", "max_connections": 100, "health_check": site.HealthPath}}
			w := startWorld(t, config, r)
			defer w.stop()
			assertIncomplete(t, w.send(t, "POST", path, "prompt"))
		})
	}
}

// Guards against a broken-off answer that looks complete since a process that has just been started at the address of its
// runner, which has crashed, takes long to say that it is another one.
func TestSlowReplacementVouchesForAnswer(t *testing.T) {
	const busyFor = 200 * time.Millisecond
	for _, c := range []struct {
		name   string
		answer func(w http.ResponseWriter, req *http.Request, released <-chan struct{})
	}{
		{"it answers late", func(w http.ResponseWriter, _ *http.Request, _ <-chan struct{}) {
			time.Sleep(busyFor)
			w.WriteHeader(http.StatusMisdirectedRequest)
		}},
		{"it does not answer", func(_ http.ResponseWriter, _ *http.Request, released <-chan struct{}) { <-released }},
	} {
		for path, body := range map[string]string{"/flow/x": eventsUpTo(4), "/once/x": "half of an answer"} {
			t.Run(c.name+path, func(t *testing.T) {
				t.Parallel()
				released := make(chan struct{})
				r := &site.Runner{ID: "r"}
				r.Handle = func(w http.ResponseWriter, req *http.Request) {
					site.WriteUnframed(w, req, contentTypeOf(path), body, func() {
						r.Crash()
						replaceRunner(t, r, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { c.answer(w, req, released) }))
					})
				}
				w := startWorldWithHealthChecks(t, r)
				defer w.stop()
				defer close(released)
				assertIncomplete(t, w.send(t, "POST", path, "prompt"))
			})
		}
	}
}

// A runner may take a while to answer a health check, and its answers are complete all the same.
func TestBusyRunnerVouchesForAnswer(t *testing.T) {
	const busyFor = 200 * time.Millisecond
	for path, body := range map[string]string{"/flow/x": eventsUpTo(4), "/once/x": "a whole answer"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			r := &site.Runner{ID: "r", HealthDelay: busyFor}
			r.Handle = func(w http.ResponseWriter, req *http.Request) {
				site.WriteUnframed(w, req, contentTypeOf(path), body, nil)
			}
			w := startWorldWithHealthChecks(t, r)
			defer w.stop()
			assertBody(t, w.send(t, "POST", path, "prompt"), body)
		})
	}
}

// startWorldWithHealthChecks starts a world whose runners can be asked who they are.
func startWorldWithHealthChecks(t *testing.T, r *site.Runner) *world {
	t.Helper()
	config := defaultConfig()
	config["services"] = []jsonMap{{"name": "plain", "max_connections": 100, "health_check": site.HealthPath}}
	return startWorld(t, config, r)
}

// replaceRunner has a handler answer at the address of a runner that has crashed.
func replaceRunner(t *testing.T, r *site.Runner, handler http.Handler) {
	t.Helper()
	l, err := net.Listen("tcp", r.Address().String())
	if err != nil {
		t.Error(err) // a handler that calls this must not end the test
		return
	}
	server := &httptest.Server{Listener: l, Config: &http.Server{Handler: handler}}
	server.Start()
	t.Cleanup(server.Close)
}

// contentTypeOf returns the content type of the answers on the route of a path.
func contentTypeOf(path string) string {
	if strings.HasPrefix(path, "/flow/") || strings.HasPrefix(path, "/stream/") {
		return site.EventStream
	}
	return "text/plain"
}

// Guards against a hedge that ends inside its first event and replaces a runner that would have sent all.
func TestHedgeEndsInsideFirstEvent(t *testing.T) {
	second := make(chan struct{})
	s := &streamOfTwo{t: t, first: newSteppedRunner(t)}
	s.world = silentWorld(t, s.first.serve, func(w http.ResponseWriter, r *http.Request) {
		site.WriteUnframed(w, r, site.EventStream, "id: 1\nda", nil)
		close(second)
	})
	t.Cleanup(s.world.stop)
	s.caller = s.world.dial(t)
	s.world.sendGet(t, s.caller, "/stream/x")
	<-second
	s.first.complete()
	s.assertComplete()
}

// Guards against an answer to a caller of HTTP/1.0, which ends with its connection, that looks complete although it was
// broken off.
func TestBrokenOffAnswerLooksCompleteToOldCaller(t *testing.T) {
	cutAfterTwoEvents := func(w http.ResponseWriter, r *http.Request) { site.StreamEvents(w, r, 9, lastEventIDOf(r)+2) }
	w := startWorld(t, defaultConfig(), &site.Runner{ID: "r", Handle: cutAfterTwoEvents})
	defer w.stop()
	for _, path := range []string{"/flow/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			_, err := io.ReadAll(w.getAsOldCaller(t, path))
			assert.Error(t, err, "the connection ends like that of a complete answer")
		})
	}
}

// Guards against an answer to a caller of HTTP/1.0 that is reset although it is complete.
func TestCompleteAnswerToOldCallerReset(t *testing.T) {
	w := startWorld(t, defaultConfig(), &site.Runner{ID: "r", Handle: cutAfterEvents(0)})
	defer w.stop()
	for _, path := range []string{"/flow/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			got, err := io.ReadAll(w.getAsOldCaller(t, path))
			require.NoError(t, err)
			assert.Contains(t, string(got), eventsUpTo(9))
		})
	}
}

// getAsOldCaller sends a GET request of HTTP/1.0 on a new connection, and returns the connection.
func (w *world) getAsOldCaller(t *testing.T, path string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", w.callerAddress)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.0\r\nHost: %s\r\nX-Rillreach-Attempt-Id: a1\r\nAuthorization: Bearer %s\r\n\r\n", path, host, key)
	require.NoError(t, err)
	return conn
}

// Guards against a stream that a runner cuts at the end of its stop, and that looks complete since the stop was announced.
func TestStreamCutByStopOfRunnerLooksComplete(t *testing.T) {
	r := &site.Runner{ID: "r"}
	var w *world
	r.Handle = func(rw http.ResponseWriter, req *http.Request) {
		site.WriteUnframed(rw, req, site.EventStream, eventsUpTo(4), func() {
			w.store.Put("servers", "r", runnerRecord(r, "draining"))
			w.eventually(t, func() bool { return w.gateway.state.Roster.Find("r").View(time.Now()).Leaving })
			r.Crash()
		})
	}
	w = startWorld(t, defaultConfig(), r)
	defer w.stop()
	assertIncomplete(t, w.send(t, "POST", "/flow/x", "prompt"))
}
