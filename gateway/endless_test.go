package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// mostEndless is more than the sockets of a connection buffer, and far more than an entry may keep of one answer.
const mostEndless = 64 << 20

// endlessRunner sends a text and then another one again and again, until the entry closes the connection.
type endlessRunner struct {
	begin, endless string
	// written is how much of it was sent, and closed is set once the entry has closed the connection.
	written atomic.Int64
	closed  atomic.Bool
}

func (e *endlessRunner) handle(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // the stand-in's server supports it
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, strings.ReplaceAll(e.begin, "ID", site.RequestID(r)))
	e.closed.Store(e.writeUntilClosed(conn))
}

// writeUntilClosed reports whether the other side closed the connection before all was sent.
func (e *endlessRunner) writeUntilClosed(conn net.Conn) bool {
	block := strings.Repeat(e.endless, (64<<10)/len(e.endless))
	for e.written.Load() < mostEndless {
		n, err := io.WriteString(conn, block)
		e.written.Add(int64(n))
		if err != nil {
			return true
		}
	}
	return false
}

// The heads of responses that belong to the request ID. The last two have a seal.
const (
	unsealedHead  = "HTTP/1.1 200 OK\r\nX-Rillreach-Attempt-Id: ID\r\n"
	sealedHead    = unsealedHead + "X-Rillreach-Response-Seal: sealed\r\n"
	sealedChunked = sealedHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// noAnswers are bytes without end that are no answer, in a head or in a body.
var noAnswers = map[string]struct{ begin, endless string }{
	"bytes without a line":                 {endless: "x"},
	"a header field":                       {begin: sealedHead + "Name: ", endless: "x"},
	"header fields":                        {begin: sealedHead, endless: "a:b\r\n"},
	"interim responses":                    {endless: "HTTP/1.1 100 Continue\r\n\r\n"},
	"a body without a seal":                {begin: unsealedHead + "\r\n", endless: "x"},
	"chunks without a seal":                {begin: unsealedHead + "Transfer-Encoding: chunked\r\n\r\n", endless: "1\r\nx\r\n"},
	"a size of a chunk":                    {begin: sealedChunked, endless: "0"},
	"an extension of a chunk":              {begin: sealedChunked + "1;", endless: "x"},
	"a trailer":                            {begin: sealedChunked + "0\r\n", endless: "a:b\r\n"},
	"the body of another request's answer": {begin: strings.Replace(sealedHead, "ID", "other", 1) + "Content-Length: 1000000000\r\n\r\n", endless: "x"},
}

// Guards against bytes without end, which are no answer, that an entry reads until it has no memory left or until the
// request's time is over.
func TestEndlessBytesAreRead(t *testing.T) {
	for name, c := range noAnswers {
		for _, route := range []struct {
			path   string
			assert func(*testing.T, answer)
		}{
			{"/once/x", func(t *testing.T, got answer) { t.Helper(); assertGatewayAnswer(t, got, http.StatusBadGateway) }},
			{"/repeat/x", func(t *testing.T, got answer) { t.Helper(); assertBody(t, got, "second") }},
		} {
			t.Run(name+route.path, func(t *testing.T) {
				t.Parallel()
				e := &endlessRunner{begin: c.begin, endless: c.endless}
				w := startWorld(t, defaultConfig(), firstOf(func(*site.Runner) http.HandlerFunc { return e.handle }, completeAnswer("second"))...)
				defer w.stop()
				route.assert(t, w.send(t, "POST", route.path, "question"))
				w.eventually(t, func() bool { return e.closed.Load() || e.written.Load() >= mostEndless })
				assert.Less(t, e.written.Load(), int64(mostEndless), "the entry has read everything that the runner sent")
			})
		}
	}
}

// Guards against events without end that an entry keeps until it has no memory left.
func TestEndlessEventIsRead(t *testing.T) {
	for name, endless := range map[string]string{"a line": "x", "lines of one event": "data: x\n", "comments": ": x\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := &endlessRunner{begin: sealedHead + "Content-Type: text/event-stream\r\n\r\n" + eventsUpTo(4), endless: endless}
			w := startWorld(t, defaultConfig(), firstOf(func(*site.Runner) http.HandlerFunc { return e.handle }, completeStream)...)
			defer w.stop()
			assertBody(t, w.send(t, "POST", "/stream/x", "prompt"), eventsUpTo(9))
			w.eventually(t, func() bool { return e.closed.Load() || e.written.Load() >= mostEndless })
			assert.Less(t, e.written.Load(), int64(mostEndless), "the entry has read everything that the runner sent")
		})
	}
}

// Guards against an answer without end that an entry keeps for a caller that does not read, and that looks complete at the
// end of the request's time.
func TestEndlessAnswerIsKept(t *testing.T) {
	for name, path := range map[string]string{"an answer": "/short/x", "a stream": "/flow/x"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := &endlessRunner{begin: sealedHead + "Content-Type: text/event-stream\r\n\r\n", endless: "data: x\n\n"}
			config := configWithRoutes(1, routeConfig("short", "idempotent", "plain", jsonMap{"timeout_ms": 1500}), routeConfig("flow", "streaming", "plain", jsonMap{"timeout_ms": 1500}))
			w := startWorld(t, config, &site.Runner{ID: "r", Handle: e.handle})
			defer w.stop()
			conn := w.dial(t)
			w.sendGet(t, conn, path)
			w.eventually(t, e.closed.Load)
			assert.Less(t, e.written.Load(), int64(mostEndless), "the entry has read everything that the runner sent")
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
			assert.Error(t, readAnswer(t, conn, "GET").err, "the answer looks complete")
		})
	}
}

// Guards against a runner that goes on getting requests as before after it has sent bytes without end.
func TestEndlessRunnerNotAvoided(t *testing.T) {
	e := &endlessRunner{endless: "x"}
	w := startWorld(t, defaultConfig(), &site.Runner{ID: "r", Handle: e.handle})
	defer w.stop()
	assertGatewayAnswer(t, w.send(t, "POST", "/once/x", "question"), http.StatusBadGateway)
	view := w.gateway.state.Roster.Find("r").View(time.Now())
	assert.True(t, view.Ejected, "the runner is not avoided")
	assert.Positive(t, view.FailureRate, "the runner is chosen like others once another request succeeds there")
}
