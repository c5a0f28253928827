package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/standin/site"
)

// secondAnswer is what a caller must not get of an answer with an invalid head.
const secondAnswer = sealedHead + "Content-Length: 5\r\n\r\nwrong"

// assertInvalidHead checks that an entry believes nothing of an answer: no caller gets any of it, the request counts as one
// that may have run, and the runner as one that fails. Its connection is not used again.
func assertInvalidHead(t *testing.T, text string) {
	t.Helper()
	t.Run("a request that must not run twice", func(t *testing.T) {
		w, runners := startRawWorld(t, rawText(text), rawComplete("second"))
		assertGatewayAnswer(t, w.send(t, "POST", "/once/x", "question"), http.StatusBadGateway)
		assert.EqualValues(t, 1, runners.requests.Load())
		failing := 0
		for _, id := range []rillreach.InstanceID{"a", "b"} {
			if view := w.gateway.state.Roster.Find(id).View(time.Now()); view.Ejected && view.FailureRate > 0 {
				failing++
			}
		}
		assert.Equal(t, 1, failing, "the runner is not avoided")
		conns := runners.conns.Load()
		assertBody(t, w.send(t, "POST", "/once/x", "question"), "second")
		assert.Equal(t, conns+1, runners.conns.Load(), "the connection is used again")
	})
	t.Run("a request that may be repeated", func(t *testing.T) {
		w, _ := startRawWorld(t, rawText(text), rawComplete("second"))
		assertBody(t, w.send(t, "POST", "/repeat/x", "question"), "second")
	})
	t.Run("a stream", func(t *testing.T) {
		w, runners := startRawWorld(t, rawText(text), rawComplete("second"))
		assertGatewayAnswer(t, w.send(t, "POST", "/flow/x", "prompt"), http.StatusBadGateway)
		assert.EqualValues(t, 1, runners.requests.Load())
	})
	t.Run("a stream that another runner begins", func(t *testing.T) {
		stream := sealedHead + "Content-Type: " + site.EventStream + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(eventsUpTo(9)) + chunk("")
		w, _ := startRawWorld(t, rawText(text), rawText(stream))
		assertBody(t, w.send(t, "POST", "/stream/x", "prompt"), eventsUpTo(9))
	})
}

// Guards against an answer whose status is none that reaches a caller, or whose body is taken for the answer.
func TestInvalidStatusReachesCaller(t *testing.T) {
	for name, line := range map[string]string{
		"000": "HTTP/1.1 000 Nothing", "099": "HTTP/1.1 099 Nothing", "with a sign": "HTTP/1.1 +20 Nothing", "switched protocols": "HTTP/1.1 101 Switching Protocols",
		"600": "HTTP/1.1 600 Odd", "999": "HTTP/1.1 999 Odd", "another version": "HTTP/7.3 200 OK",
	} {
		head := line + sealedHead[len("HTTP/1.1 200 OK"):]
		t.Run(name+" before a second answer", func(t *testing.T) { assertInvalidHead(t, head+"\r\n"+secondAnswer) })
		t.Run(name+" with a body", func(t *testing.T) { assertInvalidHead(t, head+"Content-Length: 5\r\n\r\nwrong") })
	}
}
