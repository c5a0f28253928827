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
)

const idHeader = "Id"

// server answers each request on a connection by writing what its script says, byte for byte.
type server struct {
	address netip.AddrPort

	mu    sync.Mutex
	conns int
	seen  []string
}

// serve starts a server; the script gets the number of the request on all connections and the connection itself.
func serve(t *testing.T, script func(n int, c net.Conn, id string)) *server {
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
			go s.talk(c, script)
		}
	}()
	return s
}

func (s *server) talk(c net.Conn, script func(n int, c net.Conn, id string)) {
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
		s.seen = append(s.seen, req.Method+" "+req.RequestURI+" "+string(body))
		n := len(s.seen)
		s.mu.Unlock()
		script(n, c, req.Header.Get(idHeader))
	}
}

func (s *server) counts() (conns, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns, len(s.seen)
}

func whole(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func say(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

// ask sends one call and reads the whole answer.
func ask(ctx context.Context, p *Pool, to netip.AddrPort, id, body string) (string, error) {
	call := &Request{Method: "POST", Target: "/a%2F//b?x=%20&&", Host: "h", Header: http.Header{idHeader: {id}}, Body: []byte(body), HasBody: true}
	answer, err := p.Do(ctx, to, 0, call, func(resp *http.Response) bool { return resp.Header.Get(idHeader) == id })
	if err != nil {
		return "", err
	}
	defer answer.Close()
	data, err := io.ReadAll(answer)
	return string(data), err
}

func TestPool(t *testing.T) {
	ctx := context.Background()
	t.Run("bytes arrive as they were given, and a clean connection is kept", func(t *testing.T) {
		s := serve(t, func(_ int, c net.Conn, id string) { say(c, whole(id, "yes")) })
		var p Pool
		for range 3 {
			got, err := ask(ctx, &p, s.address, "1", "body")
			require.NoError(t, err)
			assert.Equal(t, "yes", got)
		}
		conns, requests := s.counts()
		assert.Equal(t, 1, conns)
		assert.Equal(t, 3, requests)
		assert.Equal(t, "POST /a%2F//b?x=%20&& body", s.seen[0])
	})
	t.Run("a runner that takes no connection was not sent anything", func(t *testing.T) {
		var p Pool
		_, err := ask(ctx, &p, netip.MustParseAddrPort("127.0.0.1:1"), "1", "")
		assert.True(t, errors.Is(err, ErrNotSent))
	})
	t.Run("a connection that is closed without an answer may have run the request, which is not sent again", func(t *testing.T) {
		s := serve(t, func(_ int, c net.Conn, _ string) { _ = c.Close() })
		var p Pool
		_, err := ask(ctx, &p, s.address, "1", "")
		require.Error(t, err)
		assert.False(t, errors.Is(err, ErrNotSent))
		_, requests := s.counts()
		assert.Equal(t, 1, requests)
	})
	t.Run("an answer to an earlier request is read over", func(t *testing.T) {
		s := serve(t, func(n int, c net.Conn, id string) { say(c, whole("old", "stale")+whole(id, fmt.Sprint("fresh", n))) })
		var p Pool
		got, err := ask(ctx, &p, s.address, "1", "")
		require.NoError(t, err)
		assert.Equal(t, "fresh1", got)
	})
	t.Run("a connection with a surplus answer is not used again", func(t *testing.T) {
		s := serve(t, func(_ int, c net.Conn, id string) { say(c, whole(id, "yes")+whole(id, "surplus")) })
		var p Pool
		for range 2 {
			got, err := ask(ctx, &p, s.address, "1", "")
			require.NoError(t, err)
			assert.Equal(t, "yes", got)
		}
		conns, _ := s.counts()
		assert.Equal(t, 2, conns)
	})
	t.Run("an answer that breaks off is an error", func(t *testing.T) {
		s := serve(t, func(_ int, c net.Conn, _ string) {
			say(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf")
			_ = c.Close()
		})
		var p Pool
		_, err := ask(ctx, &p, s.address, "1", "")
		assert.True(t, errors.Is(err, io.ErrUnexpectedEOF))
	})
	t.Run("an answer without a length ends whole with the connection, and cut with a reset", func(t *testing.T) {
		s := serve(t, func(n int, c net.Conn, _ string) {
			say(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall")
			if n == 2 {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		})
		var p Pool
		got, err := ask(ctx, &p, s.address, "1", "")
		require.NoError(t, err)
		assert.Equal(t, "all", got)
		_, err = ask(ctx, &p, s.address, "1", "")
		assert.Error(t, err)
	})
	t.Run("a connection that rested too long is not used again", func(t *testing.T) {
		s := serve(t, func(_ int, c net.Conn, id string) { say(c, whole(id, "yes")) })
		p := Pool{IdleTimeout: time.Nanosecond}
		for range 2 {
			_, err := ask(ctx, &p, s.address, "1", "")
			require.NoError(t, err)
		}
		conns, _ := s.counts()
		assert.Equal(t, 2, conns)
	})
	t.Run("the end of the context ends a call that hangs", func(t *testing.T) {
		arrived := make(chan struct{})
		s := serve(t, func(int, net.Conn, string) { close(arrived); select {} })
		hanging, cancel := context.WithCancel(ctx)
		go func() {
			<-arrived
			cancel()
		}()
		var p Pool
		_, err := ask(hanging, &p, s.address, "1", "")
		assert.Error(t, err)
	})
	t.Run("a call whose context has ended is not sent, also where a connection rests", func(t *testing.T) {
		s := serve(t, func(_ int, c net.Conn, id string) { say(c, whole(id, "yes")) })
		var p Pool
		_, err := ask(ctx, &p, s.address, "1", "")
		require.NoError(t, err)
		ended, cancel := context.WithCancel(ctx)
		cancel()
		_, err = ask(ended, &p, s.address, "2", "")
		assert.True(t, errors.Is(err, ErrNotSent))
		_, requests := s.counts()
		assert.Equal(t, 1, requests)
	})
	t.Run("no more connections are made than may be", func(t *testing.T) {
		hold := make(chan struct{})
		s := serve(t, func(_ int, c net.Conn, id string) {
			say(c, whole(id, "yes"))
			<-hold
		})
		defer close(hold)
		var p Pool
		call := &Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}
		first, err := p.Do(ctx, s.address, 1, call, func(*http.Response) bool { return true })
		require.NoError(t, err)
		_, err = p.Do(ctx, s.address, 1, call, func(*http.Response) bool { return true })
		assert.True(t, errors.Is(err, ErrTooManyConns))
		assert.True(t, errors.Is(err, ErrNotSent))
		first.Close()
		_, err = p.Do(ctx, s.address, 1, call, func(*http.Response) bool { return true })
		assert.NoError(t, err, "a connection that was given back leaves room")
	})
}

func TestEarlyAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		say(c, whole("1", "no")) // before a byte of the request is read
		select {}
	}()
	var p Pool
	got, err := ask(context.Background(), &p, netip.MustParseAddrPort(l.Addr().String()), "1", strings.Repeat("x", 8<<20))
	require.NoError(t, err)
	assert.Equal(t, "no", got)
	assert.Empty(t, p.idle, "a connection whose request is not written to its end is not kept")
}
