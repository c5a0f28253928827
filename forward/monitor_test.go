package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/completeness"
)

const (
	unframedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	checkTarget  = "/health"
)

// exitingServer answers requests with bodies that end with their connections, and ends its process on demand. Health checks
// are answered only if it is idle.
type exitingServer struct {
	listener net.Listener
	idle     bool
	// finish has a response end.
	finish chan struct{}

	mu  sync.Mutex
	all []net.Conn
}

func startExitingServer(t *testing.T, idle bool) *exitingServer {
	t.Helper()
	s := &exitingServer{idle: idle, finish: make(chan struct{})}
	s.listenAt(t, "127.0.0.1:0")
	return s
}

func (s *exitingServer) listenAt(t *testing.T, address string) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	t.Cleanup(s.exit)
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.all = append(s.all, c)
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
}

func (s *exitingServer) address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

func (s *exitingServer) serve(c net.Conn) {
	for reader := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if req.URL.Path != checkTarget {
			_, _ = io.WriteString(c, unframedHead+"body")
			<-s.finish
			_, _ = io.WriteString(c, "its end")
			_ = c.Close()
			return
		}
		if s.idle {
			_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
		}
	}
}

// exit closes the listener and all connections, as the end of a process does.
func (s *exitingServer) exit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for _, c := range s.all {
		_ = c.Close()
	}
	s.all = nil
}

// closeOthers closes all connections but the first.
func (s *exitingServer) closeOthers(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	require.NotEmpty(t, s.all)
	for _, c := range s.all[1:] {
		_ = c.Close()
	}
}

func (s *exitingServer) connCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all)
}

// followed is a response that is being followed.
type followed struct {
	*Follower
	pool     *Pool
	response *Response
}

// follow sends a request and follows the response. The monitor has a connection when it returns.
func follow(t *testing.T, s *exitingServer) *followed {
	t.Helper()
	f := &followed{pool: &Pool{}}
	f.send(t, s)
	eventually(t, func() bool { return f.currentConn() != nil })
	return f
}

func (f *followed) send(t *testing.T, s *exitingServer) {
	t.Helper()
	resp, err := f.pool.Do(t.Context(), s.address(), 0, &Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}, func(*http.Response) bool { return true })
	require.NoError(t, err)
	t.Cleanup(resp.Close)
	f.response, f.Follower = resp, f.pool.Follow(resp, 0)
	t.Cleanup(f.Close)
}

// awaitEnd reads the response to its end.
func (f *followed) awaitEnd(t *testing.T) {
	t.Helper()
	_, err := io.ReadAll(f.response)
	require.ErrorIs(t, err, completeness.ErrConnectionEnded)
}

// assertVerdict checks what is known of the process once the response has ended.
func (f *followed) assertVerdict(t *testing.T, want completeness.Process) {
	t.Helper()
	process, known := f.ask(t.Context())
	require.True(t, known)
	assert.Equal(t, want.String(), process.String())
}

func (f *followed) ask(ctx context.Context) (completeness.Process, bool) {
	return f.Inquire().Await(ctx, &Request{Method: "GET", Target: checkTarget, Host: "h", Header: http.Header{}})
}

// currentConn returns the connection that tells of the process, nil if there is none.
func (f *followed) currentConn() *monitorConn {
	f.monitor.mu.Lock()
	defer f.monitor.mu.Unlock()
	return f.conn
}

func (m *monitor) isConnected() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.conn != nil
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 5*time.Second, time.Millisecond)
}

func TestFollower(t *testing.T) {
	for name, idle := range map[string]bool{"an idle process": true, "a process that does not answer": false} {
		t.Run(name+" runs after its response", func(t *testing.T) {
			s := startExitingServer(t, idle)
			f := follow(t, s)
			close(s.finish)
			f.awaitEnd(t)
			f.assertVerdict(t, completeness.ProcessRunning)
		})
		t.Run(name+" has ended with its response", func(t *testing.T) {
			s := startExitingServer(t, idle)
			f := follow(t, s)
			s.exit()
			f.awaitEnd(t)
			f.assertVerdict(t, completeness.ProcessEnded)
		})
		t.Run(name+" has ended with its response, and another one listens", func(t *testing.T) {
			s := startExitingServer(t, idle)
			f := follow(t, s)
			s.exit()
			s.listenAt(t, s.address().String())
			f.awaitEnd(t)
			f.assertVerdict(t, completeness.ProcessEnded)
		})
		t.Run(name+" closes the monitor's connection before and runs", func(t *testing.T) {
			s := startExitingServer(t, idle)
			f := follow(t, s)
			before := f.currentConn()
			s.closeOthers(t)
			eventually(t, func() bool { return f.currentConn() != before })
			close(s.finish)
			f.awaitEnd(t)
			f.assertVerdict(t, completeness.ProcessRunning)
		})
	}
	t.Run("a connection that was opened after the end tells nothing", func(t *testing.T) {
		s := startExitingServer(t, true)
		f := &followed{pool: &Pool{}}
		close(s.finish)
		f.send(t, s)
		f.awaitEnd(t)
		eventually(t, f.monitor.isConnected)
		_, known := f.ask(t.Context())
		assert.False(t, known)
	})
	t.Run("a connection that was opened before the request tells whether the process runs", func(t *testing.T) {
		s := startExitingServer(t, false)
		f := follow(t, s)
		close(s.finish)
		f.awaitEnd(t)
		f.send(t, s)
		f.awaitEnd(t)
		f.assertVerdict(t, completeness.ProcessRunning)
		assert.Equal(t, 3, s.connCount(), "the connection is used again")
	})
	t.Run("many responses end at once", func(t *testing.T) {
		s := startExitingServer(t, false)
		f := follow(t, s)
		var all []*followed
		for range 3 * maxOpenQuestions / 4 {
			other := &followed{pool: f.pool}
			other.send(t, s)
			all = append(all, other)
		}
		close(s.finish)
		var wg sync.WaitGroup
		for _, f := range all {
			wg.Go(func() {
				f.awaitEnd(t)
				f.assertVerdict(t, completeness.ProcessRunning)
			})
		}
		wg.Wait()
	})
	t.Run("the inquiry ends with its context", func(t *testing.T) {
		s := startExitingServer(t, false)
		f := follow(t, s)
		close(s.finish)
		f.awaitEnd(t)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, known := f.ask(ctx)
		assert.False(t, known)
	})
}

func TestUnusedMonitorIsClosed(t *testing.T) {
	s := startExitingServer(t, true)
	f := follow(t, s)
	f.pool.IdleTimeout = time.Nanosecond
	f.pool.CloseExpired()
	assert.Len(t, f.pool.monitors, 1, "it is in use")
	f.Close()
	time.Sleep(time.Millisecond)
	f.pool.CloseExpired()
	assert.Empty(t, f.pool.monitors)
	close(s.finish)
	f.response.Close()
	eventually(t, func() bool {
		f.pool.mu.Lock()
		defer f.pool.mu.Unlock()
		return len(f.pool.open) == 0
	})
}
