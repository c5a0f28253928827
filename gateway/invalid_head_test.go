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
const secondAnswer = sealedHead + wrongBody

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
		t.Run(name+" with a body", func(t *testing.T) { assertInvalidHead(t, head+wrongBody) })
	}
}

// invalidFields are bytes in which a field has no valid name or value.
var invalidFields = map[string]string{
	"a length with a blank before the colon":      sealedHead + "Content-Length : 6000\r\nConnection: close\r\n\r\npart",
	"chunks with a blank before the colon":        sealedHead + "Transfer-Encoding : chunked\r\nConnection: close\r\n\r\n" + chunk("part"),
	"a length in a line that begins with a blank": sealedHead + " Content-Length: 6000\r\nConnection: close\r\n\r\npart",
	"a seal with a blank before the colon":        sealedHead + "X-Rillreach-Response-Seal : other\r\n" + wrongBody,
	"a blank in a name":                           sealedHead + "X Fill: v\r\n" + wrongBody,
	"a control byte in a name":                    sealedHead + "X\x01Fill: v\r\n" + wrongBody,
	"a tab in a name":                             sealedHead + "X\tFill: v\r\n" + wrongBody,
	"a byte that is no letter in a name":          sealedHead + "X\xe9: v\r\n" + wrongBody,
	"no name":                                     sealedHead + ": v\r\n" + wrongBody,
	"a control byte in a value":                   sealedHead + "X-Fill: a\x00b\r\n" + wrongBody,
	"a carriage return in a value":                sealedHead + "X-Fill: a\rb\r\n" + wrongBody,
	"an interim response":                         "HTTP/1.1 103 Early Hints\r\nX Fill: v\r\n\r\n" + sealedHead + wrongBody,
	"an answer to another request":                "HTTP/1.1 200 OK\r\nX-Rillreach-Attempt-Id: other\r\nX Fill: v\r\nContent-Length: 0\r\n\r\n" + sealedHead + wrongBody,
}

// wrongBody ends a head and is its body.
const wrongBody = "Content-Length: 5\r\n\r\nwrong"

// Guards against an answer in whose head a field has no valid name, that reaches a caller with this line, or with a body of
// another length than its runner has stated.
func TestInvalidFieldReachesCaller(t *testing.T) {
	for name, text := range invalidFields {
		t.Run(name, func(t *testing.T) { assertInvalidHead(t, text) })
	}
}

// Guards against an answer that looks complete although a field after its chunks has no valid name.
func TestInvalidTrailerLooksComplete(t *testing.T) {
	trailer := "0\r\nX Fill: v\r\n\r\n"
	answer := rawText(sealedChunked + chunk("wrong") + trailer)
	t.Run("a request that must not run twice", func(t *testing.T) {
		w, _ := startRawWorld(t, answer, rawComplete("second"))
		assertGatewayAnswer(t, w.send(t, "POST", "/once/x", "question"), http.StatusBadGateway)
	})
	t.Run("a request that may be repeated", func(t *testing.T) {
		w, _ := startRawWorld(t, answer, rawComplete("second"))
		assertBody(t, w.send(t, "POST", "/repeat/x", "question"), "second")
	})
	t.Run("a stream", func(t *testing.T) {
		w, _ := startRawWorld(t, rawText(sealedChunked+chunk(eventsUpTo(4))+trailer), rawComplete("second"))
		assertIncomplete(t, w.send(t, "POST", "/flow/x", "prompt"))
	})
}

// Guards against running a request again since a head that is not valid denies that it has run.
func TestInvalidHeadTakenForRefusal(t *testing.T) {
	for name, line := range map[string]string{"a blank in a name": "X Fill: v", "a line that begins with a blank": " X-Fill: v"} {
		t.Run(name, func(t *testing.T) {
			text := "HTTP/1.1 503 Service Unavailable\r\nX-Rillreach-Attempt-Id: ID\r\nX-Rillreach-Not-Executed: 1\r\n" + line + "\r\nContent-Length: 0\r\n\r\n"
			w, runners := startRawWorld(t, rawText(text), rawComplete("second"))
			assertGatewayAnswer(t, w.send(t, "POST", "/once/x", "question"), http.StatusBadGateway)
			assert.EqualValues(t, 1, runners.requests.Load())
		})
	}
}

// Guards against believing what a head that is not valid says of its runner.
func TestInvalidHeadChangesRunnerState(t *testing.T) {
	w, _ := startRawWorld(t, rawText(sealedHead+"X Fill: v\r\nServer-Leaving: 1\r\nServer-Limit: 0.001\r\n"+wrongBody), rawComplete("second"))
	assertGatewayAnswer(t, w.send(t, "POST", "/once/x", "question"), http.StatusBadGateway)
	for _, id := range []rillreach.InstanceID{"a", "b"} {
		view := w.gateway.state.Roster.Find(id).View(time.Now())
		assert.False(t, view.Leaving)
		assert.False(t, view.Limit.Bounded)
	}
}

// Guards against rejecting an answer for names of fields that are valid, though unusual.
func TestUnusualFieldRejected(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nx-rillreach-ATTEMPT-id:ID\r\nX-RILLREACH-response-seal:\tsealed \r\n1!#$%&'*+-.^_`|~: caf\xe9\tv\r\nEmpty:\r\n"
	w, _ := startRawWorld(t, rawText(head+"content-length: 5\r\n\r\nwhole"), rawComplete("second"))
	assertBody(t, w.send(t, "POST", "/once/x", "question"), "whole")
}
