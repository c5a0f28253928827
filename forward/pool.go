package forward

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// DefaultDialTimeout is for a new connection: some fifty times what one takes between zones.
	DefaultDialTimeout = 150 * time.Millisecond
	// DefaultTCPUserTimeout is how long a runner's machine may leave bytes without acknowledgement; it spans two losses of a
	// packet in a row.
	DefaultTCPUserTimeout = 1200 * time.Millisecond
	// DefaultIdleTimeout is how long a kept connection may rest: under the shortest time that runners are known to keep one.
	DefaultIdleTimeout = 2 * time.Second
	// maxIdle is how many connections to one runner are kept.
	maxIdle = 16
)

// ErrNotSent says that the request certainly did not reach the runner.
var ErrNotSent = errors.New("request did not reach the runner")

// ErrTooManyConns says that as many connections to the runner are open as it may have from this process.
var ErrTooManyConns = errors.New("no connection to the runner is free")

// Pool keeps connections to runners; its zero value is ready.
type Pool struct {
	// DialTimeout, UserTimeout and Rest are as the defaults say; zero means the default.
	DialTimeout    time.Duration
	TCPUserTimeout time.Duration
	IdleTimeout    time.Duration
	// Opened counts the connections that were made.
	Opened atomic.Int64

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
	open map[netip.AddrPort]int
}

// Do sends the call once and returns once the head of its own answer is there. Whoever gets an answer must close its body.
// A failure marked ErrNotSent left the runner untouched; after any other the request may have run.
func (p *Pool) Do(ctx context.Context, to netip.AddrPort, maxConns int, call *Request, mine func(*http.Response) bool) (*Response, error) {
	c, err := p.take(ctx, to, maxConns)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	if err := ctx.Err(); err != nil { // a resting connection is had without asking
		p.drop(to, c)
		return nil, errors.Mark(errors.Wrap(err, "send request"), ErrNotSent)
	}
	stop := c.watchUntil(ctx)
	writing, err := c.send(call)
	if err != nil {
		stop()
		p.drop(to, c)
		return nil, errors.Wrap(err, "write request")
	}
	resp, strays, err := c.readAnswer(call.Method, mine) //nolint:bodyclose // the body is part of the answer, and its reader closes it
	if err != nil {
		stop()
		p.drop(to, c)
		return nil, errors.Wrap(err, "read answer")
	}
	return &Response{Head: resp, pool: p, conn: c, to: to, stop: stop, writing: writing, tainted: strays > 0}, nil
}

func (p *Pool) take(ctx context.Context, to netip.AddrPort, maxConns int) (*conn, error) {
	for {
		c, full := p.pop(to, maxConns)
		if full {
			return nil, ErrTooManyConns
		}
		if c == nil {
			break
		}
		if c.clean() {
			return c, nil
		}
		p.drop(to, c)
	}
	nc, err := p.dial(ctx, to)
	if err != nil {
		p.count(to, -1)
		return nil, err
	}
	return newConn(nc), nil
}

// pop gives the connection that rested the least; where there is none it counts a new one, or says that none may be made.
func (p *Pool) pop(to netip.AddrPort, maxConns int) (c *conn, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.makeMaps()
	list := p.idle[to]
	now := time.Now()
	for len(list) > 0 {
		c = list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[to] = list
		if now.Sub(c.parked) < c.rest {
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
	if err := SetTCPUserTimeout(c, orDefault(p.TCPUserTimeout, DefaultTCPUserTimeout)); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

func (p *Pool) park(to netip.AddrPort, c *conn, rest time.Duration) {
	c.rest = orDefault(p.IdleTimeout, DefaultIdleTimeout)
	if rest > 0 {
		c.rest = min(c.rest, rest*3/5)
	}
	c.parked = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.makeMaps()
	if len(p.idle[to]) >= maxIdle {
		_ = c.Close()
		p.open[to]--
		return
	}
	p.idle[to] = append(p.idle[to], c)
}

func (p *Pool) drop(to netip.AddrPort, c *conn) {
	_ = c.Close()
	p.count(to, -1)
}

func (p *Pool) count(to netip.AddrPort, by int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.makeMaps()
	p.open[to] += by
	if p.open[to] <= 0 {
		delete(p.open, to)
	}
}

// makeMaps makes the zero value ready; the lock is held.
func (p *Pool) makeMaps() {
	if p.open == nil {
		p.open, p.idle = map[netip.AddrPort]int{}, map[netip.AddrPort][]*conn{}
	}
}

// CloseIdle closes the resting connections to an address.
func (p *Pool) CloseIdle(to netip.AddrPort) {
	p.mu.Lock()
	list := p.idle[to]
	delete(p.idle, to)
	p.mu.Unlock()
	for _, c := range list {
		p.drop(to, c)
	}
}

// CloseExpired closes the connections that have rested too long.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.parked) < c.rest {
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
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return d
}
