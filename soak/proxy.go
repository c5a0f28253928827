package main

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// proxy stands between two processes on loopback and spoils what passes.
type proxy struct {
	at netip.AddrPort

	mu       sync.Mutex
	listener net.Listener
	// shuts says that nobody listens.
	shuts   bool
	to      netip.AddrPort
	conns   map[net.Conn]bool
	delay   time.Duration
	silent  bool
	oneWay  bool
	changed chan struct{}
}

func newProxy(host netip.Addr, to netip.AddrPort) (*proxy, error) {
	l, err := listen(host)
	if err != nil {
		return nil, err
	}
	at := netip.MustParseAddrPort(l.Addr().String())
	p := &proxy{at: at, listener: l, to: to, conns: map[net.Conn]bool{}, changed: make(chan struct{})}
	go p.accept(l)
	return p, nil
}

// loopback is where everything lives that needs no address of its own.
var loopback = netip.MustParseAddr("127.0.0.1")

// listen listens on a free port of an address of loopback.
func listen(host netip.Addr) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", netip.AddrPortFrom(host, 0).String())
	return l, errors.Wrap(err, "listen on loopback")
}

func (p *proxy) address() netip.AddrPort { return p.at }

// shut has new connections refused and breaks all others, as where the process behind it has ended.
func (p *proxy) shut() {
	p.set(func(p *proxy) {
		_ = p.listener.Close()
		p.shuts = true
	})
	p.reset()
}

// open takes connections for a process that has started.
func (p *proxy) open(to netip.AddrPort) error {
	p.set(func(p *proxy) { p.to = to })
	if !p.isShut() {
		return nil
	}
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", p.at.String())
	if err != nil {
		return errors.Wrap(err, "listen again")
	}
	p.set(func(p *proxy) { p.listener, p.shuts = l, false })
	go p.accept(l)
	return nil
}

func (p *proxy) isShut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shuts
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.join(c)
	}
}

func (p *proxy) join(near net.Conn) {
	defer p.close(near)
	p.mu.Lock()
	to := p.to
	p.mu.Unlock()
	if !to.IsValid() {
		_ = near.(*net.TCPConn).SetLinger(0)
		return
	}
	far, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", to.String())
	if err != nil {
		_ = near.(*net.TCPConn).SetLinger(0)
		return
	}
	defer p.close(far)
	p.mu.Lock()
	p.conns[near], p.conns[far] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(far, near, false) })
	wg.Go(func() { p.copy(near, far, true) })
	wg.Wait()
}

// copy passes bytes on in one direction, as the faults of the moment allow.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.hold(answers)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				_ = to.(*net.TCPConn).CloseWrite()
			} else {
				_ = to.(*net.TCPConn).SetLinger(0)
				_ = to.Close()
			}
			return
		}
	}
}

// hold waits while nothing may pass.
func (p *proxy) hold(answers bool) {
	for {
		p.mu.Lock()
		held, delay, changed := p.silent || p.oneWay && answers, p.delay, p.changed
		p.mu.Unlock()
		if !held {
			time.Sleep(delay)
			return
		}
		<-changed
	}
}

// set changes the faults.
func (p *proxy) set(change func(p *proxy)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
	close(p.changed)
	p.changed = make(chan struct{})
}

// reset breaks every connection.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) close(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}
