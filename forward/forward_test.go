package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/completeness"
)

const idHeader = "Id"

// server is a TCP server that reads HTTP requests and calls a script to write the raw responses.
type server struct {
	address netip.AddrPort

	mu       sync.Mutex
	conns    int
	requests []string
}

// startServer starts a server. The script receives the number of the request, counted over all connections, the
// connection and the request's ID.
func startServer(t *testing.T, script func(n int, c net.Conn, id string)) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &server{address: netip.MustParseAddrPort(l.Addr().String())}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			go s.serveConn(c, script)
		}
	}()
	return s
}

func (s *server) serveConn(c net.Conn, script func(n int, c net.Conn, id string)) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests = append(s.requests, req.Method+" "+req.RequestURI+" "+string(body))
		n := len(s.requests)
		s.mu.Unlock()
		script(n, c, req.Header.Get(idHeader))
	}
}

func (s *server) counts() (conns, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns, len(s.requests)
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func writeText(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

// roundTrip sends one request and returns the body of the response.
func roundTrip(ctx context.Context, p *Pool, to netip.AddrPort, id, body string) (string, error) {
	req := &Request{Method: "POST", Target: "/a%2F//b?x=%20&&", Host: "h", Header: http.Header{idHeader: {id}}, Body: []byte(body), HasBody: true}
	resp, err := p.Do(ctx, to, 0, req, func(resp *http.Response) bool { return resp.Header.Get(idHeader) == id })
	if err != nil {
		return "", err
	}
	defer resp.Close()
	data, err := io.ReadAll(resp)
	return string(data), err
}

func TestPool(t *testing.T) {
	ctx := context.Background()
	t.Run("requests are sent unmodified and the connection is reused", func(t *testing.T) {
		s := startServer(t, func(_ int, c net.Conn, id string) { writeText(c, okResponse(id, "yes")) })
		var p Pool
		for range 3 {
			got, err := roundTrip(ctx, &p, s.address, "1", "body")
			require.NoError(t, err)
			assert.Equal(t, "yes", got)
		}
		conns, requests := s.counts()
		assert.Equal(t, 1, conns)
		assert.Equal(t, 3, requests)
		assert.Equal(t, "POST /a%2F//b?x=%20&& body", s.requests[0])
	})
	t.Run("a refused connection is marked not sent", func(t *testing.T) {
		var p Pool
		_, err := roundTrip(ctx, &p, netip.MustParseAddrPort("127.0.0.1:1"), "1", "")
		assert.True(t, errors.Is(err, ErrNotSent))
	})
	t.Run("a request is not sent again after the connection closed without a response", func(t *testing.T) {
		s := startServer(t, func(_ int, c net.Conn, _ string) { _ = c.Close() })
		var p Pool
		_, err := roundTrip(ctx, &p, s.address, "1", "")
		require.Error(t, err)
		assert.False(t, errors.Is(err, ErrNotSent))
		_, requests := s.counts()
		assert.Equal(t, 1, requests)
	})
	t.Run("a response to an earlier request is skipped", func(t *testing.T) {
		s := startServer(t, func(n int, c net.Conn, id string) {
			writeText(c, okResponse("old", "stale")+okResponse(id, fmt.Sprint("fresh", n)))
		})
		var p Pool
		got, err := roundTrip(ctx, &p, s.address, "1", "")
		require.NoError(t, err)
		assert.Equal(t, "fresh1", got)
	})
	t.Run("a connection with a surplus response is not reused", func(t *testing.T) {
		s := startServer(t, func(_ int, c net.Conn, id string) { writeText(c, okResponse(id, "yes")+okResponse(id, "surplus")) })
		var p Pool
		for range 2 {
			got, err := roundTrip(ctx, &p, s.address, "1", "")
			require.NoError(t, err)
			assert.Equal(t, "yes", got)
		}
		conns, _ := s.counts()
		assert.Equal(t, 2, conns)
	})
	t.Run("a truncated response is an error", func(t *testing.T) {
		s := startServer(t, func(_ int, c net.Conn, _ string) {
			writeText(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf")
			_ = c.Close()
		})
		var p Pool
		_, err := roundTrip(ctx, &p, s.address, "1", "")
		assert.True(t, errors.Is(err, io.ErrUnexpectedEOF))
	})
	t.Run("the end of the connection after a response without a length is told apart from a marked end and from a reset", func(t *testing.T) {
		s := startServer(t, func(n int, c net.Conn, _ string) {
			writeText(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall")
			if n == 2 {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		})
		var p Pool
		got, err := roundTrip(ctx, &p, s.address, "1", "")
		require.ErrorIs(t, err, completeness.ErrConnectionEnded)
		assert.Equal(t, "all", got)
		_, err = roundTrip(ctx, &p, s.address, "1", "")
		require.Error(t, err)
		assert.NotErrorIs(t, err, completeness.ErrConnectionEnded)
	})
	t.Run("a connection that was idle for too long is not reused", func(t *testing.T) {
		s := startServer(t, func(_ int, c net.Conn, id string) { writeText(c, okResponse(id, "yes")) })
		p := Pool{IdleTimeout: time.Nanosecond}
		for range 2 {
			_, err := roundTrip(ctx, &p, s.address, "1", "")
			require.NoError(t, err)
		}
		conns, _ := s.counts()
		assert.Equal(t, 2, conns)
	})
	t.Run("cancelling the context ends a hanging request", func(t *testing.T) {
		arrived := make(chan struct{})
		s := startServer(t, func(int, net.Conn, string) { close(arrived); select {} })
		hanging, cancel := context.WithCancel(ctx)
		go func() {
			<-arrived
			cancel()
		}()
		var p Pool
		_, err := roundTrip(hanging, &p, s.address, "1", "")
		assert.Error(t, err)
	})
	t.Run("a request whose context is cancelled is not sent, even if a connection is idle", func(t *testing.T) {
		s := startServer(t, func(_ int, c net.Conn, id string) { writeText(c, okResponse(id, "yes")) })
		var p Pool
		_, err := roundTrip(ctx, &p, s.address, "1", "")
		require.NoError(t, err)
		ended, cancel := context.WithCancel(ctx)
		cancel()
		_, err = roundTrip(ended, &p, s.address, "2", "")
		assert.True(t, errors.Is(err, ErrNotSent))
		_, requests := s.counts()
		assert.Equal(t, 1, requests)
	})
	t.Run("the number of connections is limited", func(t *testing.T) {
		hold := make(chan struct{})
		s := startServer(t, func(_ int, c net.Conn, id string) {
			writeText(c, okResponse(id, "yes"))
			<-hold
		})
		defer close(hold)
		var p Pool
		req := &Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}
		first, err := p.Do(ctx, s.address, 1, req, func(*http.Response) bool { return true })
		require.NoError(t, err)
		_, err = p.Do(ctx, s.address, 1, req, func(*http.Response) bool { return true })
		assert.True(t, errors.Is(err, ErrTooManyConns))
		assert.True(t, errors.Is(err, ErrNotSent))
		first.Close()
		_, err = p.Do(ctx, s.address, 1, req, func(*http.Response) bool { return true })
		assert.NoError(t, err, "closing the response makes room for another connection")
	})
}

// A runner may respond before it has read a large body. The response must be returned while the body is still being
// written.
func TestResponseBeforeRequestIsRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		writeText(c, okResponse("1", "no")) // before a byte of the request is read
		select {}
	}()
	var p Pool
	got, err := roundTrip(context.Background(), &p, netip.MustParseAddrPort(l.Addr().String()), "1", strings.Repeat("x", 8<<20))
	require.NoError(t, err)
	assert.Equal(t, "no", got)
	assert.Empty(t, p.idle, "a connection with a partially written request is not reused")
}
