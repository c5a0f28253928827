package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/completeness"
)

// uploadSize is the size in bytes of a body that exceeds what the sockets of a connection buffer.
const uploadSize = 16 << 20

// unframedPart is a response without a length, of which more may follow.
const unframedPart = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart"

// earlyResponder accepts one connection and writes a response without reading the request. The test goes on with the
// connection.
func earlyResponder(t *testing.T, response string) (netip.AddrPort, <-chan *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan *net.TCPConn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = c.Close() })
		writeText(c, response)
		accepted <- c.(*net.TCPConn)
	}()
	return netip.MustParseAddrPort(l.Addr().String()), accepted
}

// upload sends a body and returns the response once its first part has been read.
func upload(t *testing.T, size int, response string) (*Response, *net.TCPConn) {
	t.Helper()
	address, accepted := earlyResponder(t, response)
	req := &Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, size), HasBody: true}
	resp, err := new(Pool).Do(context.Background(), address, 0, req, func(*http.Response) bool { return true })
	require.NoError(t, err)
	t.Cleanup(resp.Close)
	part := make([]byte, len("part"))
	_, err = io.ReadFull(resp, part)
	require.NoError(t, err)
	assert.Equal(t, "part", string(part))
	return resp, <-accepted
}

// reset closes the connection so that the other side gets a reset.
func reset(t *testing.T, c *net.TCPConn) {
	t.Helper()
	require.NoError(t, c.SetLinger(0))
	require.NoError(t, c.Close())
}

// assertBrokenOff checks that the rest of the body, which is empty, does not look like the end of a response.
func assertBrokenOff(t *testing.T, resp *Response) {
	t.Helper()
	_, err := io.ReadAll(resp)
	require.Error(t, err)
	require.NotErrorIs(t, err, completeness.ErrConnectionEnded)
	assert.True(t, ClosedByRunner(err), "%v", err)
}

// Guards against taking part of a response for the whole one, since the reset of its connection was reported to the
// goroutine that writes the request.
func TestResetOfUploadLooksLikeEnd(t *testing.T) {
	resp, c := upload(t, uploadSize, unframedPart)
	reset(t, c)
	<-resp.bodyWrite.done // nothing reads meanwhile, so that the write gets the error
	require.Error(t, resp.bodyWrite.err)
	assertBrokenOff(t, resp)
}

// Guards against taking part of a response for the whole one, since the reset of its connection was reported to a check
// whether the connection is open.
func TestResetSeenByCheckLooksLikeEnd(t *testing.T) {
	resp, c := upload(t, 1, unframedPart)
	_, err := io.ReadFull(c, make([]byte, 1))
	require.NoError(t, err)
	reset(t, c)
	require.Eventually(t, func() bool { return !resp.IsOpen() }, 10*time.Second, time.Millisecond)
	assertBrokenOff(t, resp)
}

// Guards against taking part of a response for the whole one, if the runner ends the connection in an orderly way before
// it has received the whole request.
func TestEndBeforeUploadIsReadLooksLikeEnd(t *testing.T) {
	for name, size := range map[string]int{"a body that is still written": uploadSize, "a body that is in the socket": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			resp, c := upload(t, size, unframedPart)
			require.NoError(t, c.CloseWrite())
			assertBrokenOff(t, resp)
		})
	}
}

// Guards against rejecting a response that ends with its connection after the whole request was read.
func TestResponseAfterUploadRejected(t *testing.T) {
	resp, c := upload(t, uploadSize, unframedPart)
	req, err := http.ReadRequest(bufio.NewReader(c))
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, req.Body)
	require.NoError(t, err)
	writeText(c, "rest")
	require.NoError(t, c.Close())
	got, err := io.ReadAll(resp)
	require.ErrorIs(t, err, completeness.ErrConnectionEnded)
	assert.Equal(t, "rest", string(got))
}

// Guards against rejecting a response whose length shows that it is complete, although its runner has not read the request.
func TestFramedResponseBeforeUploadRejected(t *testing.T) {
	for name, response := range map[string]string{
		"a length": "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\npartend",
		"chunks":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n3\r\nend\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			resp, c := upload(t, uploadSize, response)
			require.NoError(t, c.CloseWrite())
			got, err := io.ReadAll(resp)
			require.NoError(t, err)
			assert.Equal(t, "end", string(got))
		})
	}
}
