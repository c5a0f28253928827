package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// uploadBody exceeds what the sockets of a connection buffer.
var uploadBody = strings.Repeat("x", 16<<20)

// unreadAnswer returns an answer whose runner reads nothing of the request's body, and then ends the connection.
func unreadAnswer(text string, end func(*net.TCPConn)) rawAnswer {
	return func(c *net.TCPConn, id string, _ io.Reader) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", id))
		end(c)
		return false
	}
}

func closeWrite(c *net.TCPConn) { _ = c.CloseWrite() }

func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Guards against part of an answer that reaches its caller as the whole one, if the runner ends the connection while the
// request is still being written.
func TestPartOfAnswerToUploadLooksComplete(t *testing.T) {
	stream := sealedHead + "Content-Type: " + site.EventStream + "\r\n\r\n" + eventsUpTo(4)
	for name, end := range map[string]func(*net.TCPConn){"an orderly end": closeWrite, "a reset": resetConn} {
		t.Run("an answer, by "+name, func(t *testing.T) {
			w, runners := startRawWorld(t, unreadAnswer(sealedHead+"\r\npart", end), rawComplete("second"))
			assertGatewayAnswer(t, w.send(t, "POST", "/once/x", uploadBody), http.StatusBadGateway)
			assert.EqualValues(t, 1, runners.requests.Load())
		})
		t.Run("an answer that may be repeated, by "+name, func(t *testing.T) {
			w, _ := startRawWorld(t, unreadAnswer(sealedHead+"\r\npart", end), rawComplete("second"))
			assertBody(t, w.send(t, "POST", "/repeat/x", uploadBody), "second")
		})
		t.Run("a stream, by "+name, func(t *testing.T) {
			w, _ := startRawWorld(t, unreadAnswer(stream, end), rawComplete("second"))
			assertIncomplete(t, w.send(t, "POST", "/flow/x", uploadBody))
		})
	}
}

// Guards against rejecting a complete answer that arrives before the runner has read the request, or that ends with its
// connection once it has.
func TestAnswerToUploadRejected(t *testing.T) {
	for name, answer := range map[string]rawAnswer{
		"with a length, before the request is read": unreadAnswer(fmt.Sprintf("%sContent-Length: 5\r\n\r\nwhole", sealedHead), closeWrite),
		"in chunks, before the request is read":     unreadAnswer(sealedChunked+"5\r\nwhole\r\n0\r\n\r\n", closeWrite),
		"without a length, after it was read": func(c *net.TCPConn, id string, body io.Reader) bool {
			rawText(sealedHead+"\r\nwhole")(c, id, body)
			_ = c.Close()
			return false
		},
		"without a length, before the request is read to its end": func(c *net.TCPConn, id string, body io.Reader) bool {
			unreadAnswer(sealedHead+"\r\nwhole", closeWrite)(c, id, body)
			_, _ = io.Copy(io.Discard, body)
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			w, runners := startRawWorld(t, answer, rawComplete("second"))
			assertBody(t, w.send(t, "POST", "/once/x", uploadBody), "whole")
			require.EqualValues(t, 1, runners.requests.Load())
		})
	}
}
