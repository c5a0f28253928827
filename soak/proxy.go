package main

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// proxy forwards connections between two processes on loopback and injects network faults.
type proxy struct {
	listenAddress netip.AddrPort

	mu       sync.Mutex
	listener net.Listener
	// closed reports whether the proxy refuses connections.
	closed         bool
	target         netip.AddrPort
	conns          map[net.Conn]bool
	delay          time.Duration
	silent         bool
	holdsResponses bool
	changed        chan struct{}
}

func newProxy(host netip.Addr, to netip.AddrPort) (*proxy, error) {
	l, err := listen(host)
	if err != nil {
		return nil, err
	}
	at := netip.MustParseAddrPort(l.Addr().String())
	p := &proxy{listenAddress: at, listener: l, target: to, conns: map[net.Conn]bool{}, changed: make(chan struct{})}
	go p.accept(l)
	return p, nil
}

// listen listens on a free port of a loopback address.
func listen(host netip.Addr) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", netip.AddrPortFrom(host, 0).String())
	return l, errors.Wrap(err, "listen on loopback")
}

func (p *proxy) address() netip.AddrPort { return p.listenAddress }

// endTime is how long the connections of a process that has exited have to end, before the proxy resets the rest.
const endTime = 5 * time.Millisecond

// endProcess refuses new connections, calls exit, which ends the process behind the proxy, and breaks the connections
// that have not ended with it.
func (p *proxy) endProcess(exit func()) {
	p.update(func(p *proxy) {
		_ = p.listener.Close()
		p.closed = true
	})
	exit()
	time.Sleep(endTime)
	p.reset()
}

// listenFor accepts connections for a process that has started.
func (p *proxy) listenFor(to netip.AddrPort) error {
	p.update(func(p *proxy) { p.target = to })
	if !p.isClosed() {
		return nil
	}
	l, err := listenAgain(p.listenAddress)
	if err != nil {
		return err
	}
	p.update(func(p *proxy) { p.listener, p.closed = l, false })
	go p.accept(l)
	return nil
}

const (
	// listenTimeout bounds the attempts to listen on an address again, and listenRetryDelay is the time between them.
	listenTimeout    = 5 * time.Second
	listenRetryDelay = 10 * time.Millisecond
)

// listenAgain listens on an address whose last listener was closed. A process that is just being started still holds a copy
// of that listener until it executes its program, which takes long on a busy machine.
func listenAgain(address netip.AddrPort) (net.Listener, error) {
	for deadline := time.Now().Add(listenTimeout); ; time.Sleep(listenRetryDelay) {
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address.String())
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return l, errors.Wrap(err, "listen again")
		}
	}
}

func (p *proxy) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.relay(c)
	}
}

func (p *proxy) relay(client net.Conn) {
	defer p.close(client)
	p.mu.Lock()
	to := p.target
	p.mu.Unlock()
	if !to.IsValid() {
		_ = client.(*net.TCPConn).SetLinger(0)
		return
	}
	server, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", to.String())
	if err != nil {
		_ = client.(*net.TCPConn).SetLinger(0)
		return
	}
	defer p.close(server)
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(server, client, false) })
	wg.Go(func() { p.copy(client, server, true) })
	wg.Wait()
}

// copy forwards bytes in one direction, subject to the current faults.
func (p *proxy) copy(to, from net.Conn, responses bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.waitUntilOpen(responses)
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

// waitUntilOpen waits until the current faults allow bytes to pass in the given direction.
func (p *proxy) waitUntilOpen(responses bool) {
	for {
		p.mu.Lock()
		held, delay, changed := p.silent || p.holdsResponses && responses, p.delay, p.changed
		p.mu.Unlock()
		if !held {
			time.Sleep(delay)
			return
		}
		<-changed
	}
}

// update changes the faults.
func (p *proxy) update(change func(p *proxy)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
	close(p.changed)
	p.changed = make(chan struct{})
}

// reset resets all connections.
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
