package forward

import (
	"context"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/internal/socket"
)

const (
	// DefaultDialTimeout is the timeout of a new connection, about fifty times the duration between zones.
	DefaultDialTimeout = 150 * time.Millisecond
	// DefaultTCPUserTimeout is how long sent data may remain unacknowledged. It is long enough to survive the loss of a
	// packet twice in a row.
	DefaultTCPUserTimeout = 1200 * time.Millisecond
	// DefaultIdleTimeout is how long a connection may stay idle. It is shorter than any runner's known keep-alive timeout.
	DefaultIdleTimeout = 2 * time.Second
	// maxIdleConns is the maximum number of idle connections to one runner.
	maxIdleConns = 16
)

// ErrNotSent means that the request certainly did not reach the runner.
var ErrNotSent = errors.New("request did not reach the runner")

// ErrReceived means that the runner has received the whole request, and the response has not begun.
var ErrReceived = errors.New("request was received by the runner")

// ErrTooManyConns means that this process has its maximum number of connections to the runner open.
var ErrTooManyConns = errors.New("too many connections to the runner")

// Pool sends requests over connections to runners and reuses the connections. Its zero value is ready to use.
type Pool struct {
	// DialTimeout, TCPUserTimeout and IdleTimeout override the defaults unless they are zero.
	DialTimeout    time.Duration
	TCPUserTimeout time.Duration
	IdleTimeout    time.Duration
	// Opened is the number of connections opened so far.
	Opened atomic.Int64

	mu       sync.Mutex
	idle     map[netip.AddrPort][]*conn
	open     map[netip.AddrPort]int
	monitors map[netip.AddrPort]*monitor
}

// Do sends the request once. It returns the response for which matches returns true as soon as its header has been
// received. The caller must close the response. If the error is marked ErrNotSent, the runner has not received the
// request; otherwise it may have run it. A positive maxConns limits the open connections to the runner.
func (p *Pool) Do(ctx context.Context, to netip.AddrPort, maxConns int, req *Request, matches func(*http.Response) bool) (*Response, error) {
	c, err := p.acquire(ctx, to, maxConns)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	return p.send(ctx, to, c, req, matches)
}

// DoOnNew is like Do, and sends the request on a new connection, which is accepted by the process that listens now.
func (p *Pool) DoOnNew(ctx context.Context, to netip.AddrPort, req *Request) (*Response, error) {
	nc, err := p.dial(ctx, to)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	p.addOpen(to, 1)
	return p.send(ctx, to, newConn(nc), req, func(*http.Response) bool { return true })
}

// send sends a request on a connection, which it closes if that fails.
func (p *Pool) send(ctx context.Context, to netip.AddrPort, c *conn, req *Request, matches func(*http.Response) bool) (*Response, error) {
	if err := ctx.Err(); err != nil { // reusing an idle connection does not check the context
		p.discard(to, c)
		return nil, errors.Mark(errors.Wrap(err, "send request"), ErrNotSent)
	}
	stop := c.closeOnDone(ctx)
	sentAt := time.Now()
	bodyWrite, err := c.writeRequest(req)
	if err != nil {
		stop()
		p.discard(to, c)
		return nil, errors.Wrap(err, "write request")
	}
	resp, strays, err := c.readResponse(req.Method, matches) //nolint:bodyclose // the caller closes the response
	if err != nil {
		stop()
		received := c.closeReceived()
		p.addOpen(to, -1)
		if received && (bodyWrite == nil || bodyWrite.isWritten()) {
			err = errors.Mark(err, ErrReceived)
		}
		return nil, errors.Wrap(err, "read response")
	}
	return &Response{Head: resp, pool: p, conn: c, address: to, stopWatch: stop, sentAt: sentAt, bodyWrite: bodyWrite, hadStrays: strays > 0}, nil
}

func (p *Pool) acquire(ctx context.Context, to netip.AddrPort, maxConns int) (*conn, error) {
	for {
		c, full := p.popIdle(to, maxConns)
		if full {
			return nil, ErrTooManyConns
		}
		if c == nil {
			break
		}
		if c.reusable() {
			return c, nil
		}
		p.discard(to, c)
	}
	nc, err := p.dial(ctx, to)
	if err != nil {
		p.addOpen(to, -1)
		return nil, err
	}
	return newConn(nc), nil
}

// popIdle returns the most recently used idle connection. If there is none, it counts a connection for the caller to
// open, or reports that maxConns has been reached.
func (p *Pool) popIdle(to netip.AddrPort, maxConns int) (c *conn, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.initMaps()
	list := p.idle[to]
	now := time.Now()
	for len(list) > 0 {
		c = list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[to] = list
		if now.Sub(c.idleSince) < c.idleTimeout {
			return c, false
		}
		_ = c.Close()
		p.open[to]--
	}
	if maxConns > 0 && p.open[to] >= maxConns {
		return nil, true
	}
	p.open[to]++
	return nil, false
}

func (p *Pool) dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         orDefault(p.DialTimeout, DefaultDialTimeout),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}
	c, err := d.DialContext(ctx, "tcp4", to.String())
	if err != nil {
		return nil, errors.Wrapf(err, "connect to runner")
	}
	p.Opened.Add(1)
	if err := socket.SetUserTimeout(c, orDefault(p.TCPUserTimeout, DefaultTCPUserTimeout)); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

func (p *Pool) putIdle(to netip.AddrPort, c *conn, keepAliveTimeout time.Duration) {
	c.idleTimeout = orDefault(p.IdleTimeout, DefaultIdleTimeout)
	if keepAliveTimeout > 0 {
		c.idleTimeout = min(c.idleTimeout, keepAliveTimeout*3/5)
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.initMaps()
	if len(p.idle[to]) >= maxIdleConns {
		_ = c.Close()
		p.open[to]--
		return
	}
	p.idle[to] = append(p.idle[to], c)
}

func (p *Pool) discard(to netip.AddrPort, c *conn) {
	_ = c.Close()
	p.addOpen(to, -1)
}

func (p *Pool) addOpen(to netip.AddrPort, delta int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.initMaps()
	p.open[to] += delta
	if p.open[to] <= 0 {
		delete(p.open, to)
	}
}

// initMaps initializes the maps. The caller must hold the lock.
func (p *Pool) initMaps() {
	if p.open == nil {
		p.open, p.idle = map[netip.AddrPort]int{}, map[netip.AddrPort][]*conn{}
		p.monitors = map[netip.AddrPort]*monitor{}
	}
}

// Reconnect closes the connections to an address on which no request is being sent, since another process has started there.
func (p *Pool) Reconnect(to netip.AddrPort) {
	p.CloseIdle(to)
	p.mu.Lock()
	m := p.monitors[to]
	p.mu.Unlock()
	if m != nil {
		m.reconnect()
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(to netip.AddrPort) {
	p.mu.Lock()
	list := p.idle[to]
	delete(p.idle, to)
	p.mu.Unlock()
	for _, c := range list {
		p.discard(to, c)
	}
}

// CloseExpired closes the connections that have been idle for too long.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.idleTimeout {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
			p.open[to]--
		}
		p.idle[to] = kept
		if len(kept) == 0 {
			delete(p.idle, to)
		}
	}
	timeout := orDefault(p.IdleTimeout, DefaultIdleTimeout)
	maps.DeleteFunc(p.monitors, func(_ netip.AddrPort, m *monitor) bool { return m.closeUnused(now, timeout) })
}

func orDefault(d, defaultValue time.Duration) time.Duration {
	if d == 0 {
		return defaultValue
	}
	return d
}
