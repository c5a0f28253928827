package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// rawAnswer writes the bytes of an answer to a connection. The request's head has been read, and its body may follow. It
// reports whether the runner reads more requests from the connection.
type rawAnswer func(c *net.TCPConn, id string, body io.Reader) (more bool)

// rawRunners are runners that write the bytes of their answers themselves, possibly before they have read the request. The
// first request gets the first answer, whichever runner it reaches, and all others get the second one.
type rawRunners struct {
	first, second rawAnswer
	// requests is the number of requests that have begun to arrive, conns that of connections.
	requests atomic.Int64
	conns    atomic.Int64
}

// startRawWorld starts an entry with two raw runners.
func startRawWorld(t *testing.T, first, second rawAnswer) (*world, *rawRunners) {
	t.Helper()
	runners := &rawRunners{first: first, second: second}
	config := defaultConfig()
	config["limits"].(jsonMap)["max_body_bytes"] = 32 << 20
	store := site.NewStore()
	store.Put("config", "main", config)
	for _, id := range []string{"a", "b"} {
		l := listener(t)
		go runners.accept(l, t.Cleanup)
		record := runnerRecordAt(l.Addr().String(), "ready")
		store.Put("servers", id, record)
	}
	w := startWithWeightsBound(t, store, weightsBound)
	t.Cleanup(w.stop)
	w.awaitReady(t)
	return w, runners
}

func (r *rawRunners) accept(l net.Listener, cleanup func(func())) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		cleanup(func() { _ = c.Close() })
		r.conns.Add(1)
		go r.serve(c.(*net.TCPConn))
	}
}

func (r *rawRunners) serve(c *net.TCPConn) {
	reader := bufio.NewReader(c)
	for more := true; more; {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := r.second
		if r.requests.Add(1) == 1 {
			answer = r.first
		}
		more = answer(c, site.RequestID(req), req.Body)
	}
}

// rawText returns an answer that reads the request and writes the text, in which ID stands for the request's ID. If the text
// says so, the connection is closed after it.
func rawText(text string) rawAnswer {
	return func(c *net.TCPConn, id string, body io.Reader) bool {
		_, _ = io.Copy(io.Discard, body)
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", id))
		if strings.Contains(text, "Connection: close") {
			_ = c.Close()
			return false
		}
		return true
	}
}

// chunk returns the text as a chunk of a body. The empty one ends the body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// rawComplete returns a complete answer with the body.
func rawComplete(body string) rawAnswer {
	return rawText(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", sealedHead, len(body), body))
}
