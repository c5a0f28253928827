package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// mostWritten is more than the sockets of a connection buffer, and more than a process should read of bytes that are no
// response.
const mostWritten = 64 << 20

// writeEndlessly writes text again and again until the connection is closed, or until mostWritten. It adds what it has
// written to the counter.
func writeEndlessly(c net.Conn, text string, written *atomic.Int64) {
	block := strings.Repeat(text, (64<<10)/len(text))
	for written.Load() < mostWritten {
		n, err := io.WriteString(c, block)
		written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// Guards against a response without end that is read until the process has no memory left, or until the request's time is
// over.
func TestEndlessResponseIsRead(t *testing.T) {
	for name, c := range map[string]struct{ begin, endless string }{
		"bytes without a line":      {"", "x"},
		"a status line":             {"HTTP/1.1 200 OK", "K"},
		"one header field":          {"HTTP/1.1 200 OK\r\nName: ", "x"},
		"the name of a field":       {"HTTP/1.1 200 OK\r\n", "x"},
		"header fields":             {"HTTP/1.1 200 OK\r\n", "a:b\r\n"},
		"the same header field":     {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
		"continued lines":           {"HTTP/1.1 200 OK\r\nName: value\r\n", " x\r\n"},
		"interim responses":         {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"a response to another":     {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1000000000\r\n\r\n", "x"},
		"a chunked one to another":  {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"an unframed one to others": {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var written atomic.Int64
			s := startServer(t, func(_ int, conn net.Conn, _ string) {
				writeText(conn, c.begin)
				writeEndlessly(conn, c.endless, &written)
			})
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, err := roundTrip(ctx, &Pool{}, s.address, "1", "")
			require.Error(t, err)
			require.NoError(t, ctx.Err(), "the response is read for as long as the request may take")
			assert.False(t, ClosedByRunner(err), "all of it was read: %v", err)
			assert.Less(t, written.Load(), int64(mostWritten))
		})
	}
}

// Guards against rejecting sound responses for their size.
func TestLargeResponseRejected(t *testing.T) {
	for name, head := range map[string]string{
		"a large header field": fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nName: %s\r\n", strings.Repeat("x", maxHeadSize-1<<10)),
		"many header fields":   "HTTP/1.1 200 OK\r\nId: 1\r\n" + strings.Repeat("Name: value\r\n", maxHeadLines-8),
		"interim responses":    strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", maxInterimResponses) + "HTTP/1.1 200 OK\r\nId: 1\r\n",
		"another response":     okResponse("other", strings.Repeat("x", maxStraySize)) + "HTTP/1.1 200 OK\r\nId: 1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			body := strings.Repeat("\n", 2*maxHeadSize)
			s := startServer(t, func(_ int, c net.Conn, _ string) {
				writeText(c, head+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
			})
			got, err := roundTrip(context.Background(), &Pool{}, s.address, "1", "")
			require.NoError(t, err)
			assert.Len(t, got, len(body))
		})
	}
}
