package gateway

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// Guards against holding back the events of a stream whose lines end with CRLF.
func TestEventsWithCRLFHeldBack(t *testing.T) {
	t.Run("until the stream ends", func(t *testing.T) {
		received := make(chan struct{})
		w := startWorld(t, defaultConfig(), &site.Runner{ID: "r", Handle: func(rw http.ResponseWriter, r *http.Request) {
			site.WriteChunked(rw, r, site.EventStream, withCRLF(eventsUpTo(1)))
			select {
			case <-received:
			case <-r.Context().Done():
			}
		}})
		defer w.stop()
		conn := w.dial(t)
		w.sendGet(t, conn, "/stream/x")
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
		resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodGet})
		require.NoError(t, err)
		event := make([]byte, len(withCRLF(eventsUpTo(1))))
		_, err = io.ReadFull(resp.Body, event)
		require.NoError(t, err, "the event does not arrive while the stream goes on")
		assert.Equal(t, withCRLF(eventsUpTo(1)), string(event))
		close(received)
	})
	t.Run("until it is too large", func(t *testing.T) {
		events := withCRLF(strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n\n", maxEventSize/1000))
		w := startWorld(t, defaultConfig(), &site.Runner{ID: "r", Handle: func(rw http.ResponseWriter, r *http.Request) {
			site.WriteChunked(rw, r, site.EventStream, events)
		}})
		defer w.stop()
		assertBody(t, w.send(t, "POST", "/stream/x", "prompt"), events)
	})
	t.Run("and repeating them when another runner continues the stream", func(t *testing.T) {
		w := startWorld(t, defaultConfig(), firstOf(ending(site.EventStream, withCRLF(eventsUpTo(4))+"id: 5\r\nda", false), completeStream)...)
		defer w.stop()
		got := w.send(t, "POST", "/stream/x", "prompt")
		require.NoError(t, got.err)
		assert.Equal(t, eventsUpTo(9), strings.ReplaceAll(got.body, "\r\n", "\n"))
	})
}
