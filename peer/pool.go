package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
	"golang.org/x/sync/singleflight"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/bounded"
	"github.com/rillreach/rillreach/internal/headcheck"
	"github.com/rillreach/rillreach/internal/pause"
)

const (
	// Path is the HTTP path at which a process accepts peer connections.
	Path = "/peer"
	// DefaultMessageLimit is the default of Pool.MessageLimit, in bytes.
	DefaultMessageLimit = 9 << 20

	helloHeader   = "Rillreach-Hello"
	dialTimeout   = 2 * time.Second
	idleTimeout   = 2 * time.Minute
	sweepInterval = 30 * time.Second
	subprotocol   = "rillreach.peer.v1"
	maxHelloSize  = 4 << 10
)

// Traffic counts the data that a process has sent to its peers.
type Traffic struct {
	// Connections counts the connections that this process dialled.
	Connections atomic.Int64
	// Frames, Messages and Bytes count the data written on all connections.
	Frames   atomic.Int64
	Messages atomic.Int64
	Bytes    atomic.Int64
}

// Pool holds one dialled connection to each peer in use, and the connections accepted from peers. It dials on demand
// and closes idle connections.
type Pool struct {
	// Self is this process's instance, which is sent to peers.
	Self rillreach.Instance
	// Mux serves the streams that peers open.
	Mux *Mux
	// TLS configures mutual TLS; nil means plain TCP.
	TLS *tls.Config
	// Log receives rejected peers and failures.
	Log logr.Logger
	// OnConnect is called with the instance of each newly connected peer; it may be nil.
	OnConnect func(rillreach.Instance)
	// MessageLimit is the maximum size of a received message, in bytes; zero means DefaultMessageLimit.
	MessageLimit int64
	// Dial opens network connections; nil means the default TCP dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Traffic counts the data sent to peers.
	Traffic Traffic

	client  *http.Client
	dials   singleflight.Group
	baseCtx context.Context

	mu           sync.Mutex
	dialledConns map[netip.AddrPort]*Conn
	allConns     map[*Conn]struct{}
}

// Start initializes the pool. Its connections are closed when the context ends.
func (p *Pool) Start(ctx context.Context) {
	p.baseCtx = ctx
	p.dialledConns = map[netip.AddrPort]*Conn{}
	p.allConns = map[*Conn]struct{}{}
	p.client = &http.Client{Transport: &headcheck.Transport{Transport: &http.Transport{
		TLSClientConfig: p.TLS, DialContext: p.Dial, MaxResponseHeaderBytes: bounded.MaxResponseHead,
	}}}
	if p.MessageLimit == 0 {
		p.MessageLimit = DefaultMessageLimit
	}
}

// Name returns the controller's name.
func (p *Pool) Name() string { return "connections" }

// Run closes connections that have been idle for idleTimeout, until the context ends.
func (p *Pool) Run(ctx context.Context) error {
	pause.Every(ctx, sweepInterval, func(context.Context) { p.closeIdle(time.Now()) })
	return nil
}

// Get returns the connection to a peer, and dials one if there is none.
func (p *Pool) Get(ctx context.Context, address netip.AddrPort) (*Conn, error) {
	if c := p.find(address); c != nil {
		return c, nil
	}
	dialled := p.dials.DoChan(address.String(), func() (any, error) { return p.dial(address) })
	select {
	case result := <-dialled:
		if result.Err != nil {
			return nil, result.Err
		}
		return result.Val.(*Conn), nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// Conns returns all open connections, both dialled and accepted.
func (p *Pool) Conns() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := make([]*Conn, 0, len(p.allConns))
	for c := range p.allConns {
		conns = append(conns, c)
	}
	return conns
}

// Drain waits until all peers have read the responses to their requests, including requests that arrive meanwhile, or
// the context ends.
func (p *Pool) Drain(ctx context.Context) {
	var wg conc.WaitGroup
	for _, c := range p.Conns() {
		wg.Go(func() {
			if err := c.drain(ctx); err != nil {
				p.Log.Info("peer may not have received all responses", "peer", c.Peer.ID, "cause", err.Error())
			}
		})
	}
	wg.Wait()
}

func (p *Pool) find(address netip.AddrPort) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialledConns[address]
}

func (p *Pool) dial(address netip.AddrPort) (*Conn, error) {
	if c := p.find(address); c != nil {
		return c, nil
	}
	hello, err := encodeHello(p.Self)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(p.baseCtx, dialTimeout)
	defer cancel()
	socket, resp, err := websocket.Dial( //nolint:bodyclose // the library documents that this body need not be closed
		ctx, p.url(address), &websocket.DialOptions{
			HTTPClient:   p.client,
			HTTPHeader:   http.Header{helloHeader: {hello}},
			Subprotocols: []string{subprotocol},
		})
	if err != nil {
		return nil, errors.Wrapf(err, "connect to peer %s", address)
	}
	peer, err := decodeHello(resp.Header.Get(helloHeader))
	if err == nil && p.TLS != nil {
		err = checkRole(resp.TLS, peer)
	}
	if err != nil {
		_ = socket.CloseNow()
		return nil, errors.Wrapf(err, "connect to peer %s", address)
	}
	c := newConn(socket, p, peer)
	p.Traffic.Connections.Add(1)
	p.add(c, address)
	go func() {
		c.run(p.baseCtx)
		p.remove(c, address)
	}()
	return c, nil
}

func (p *Pool) url(address netip.AddrPort) string {
	if p.TLS != nil {
		return "https://" + address.String() + Path
	}
	return "http://" + address.String() + Path
}

func (p *Pool) add(c *Conn, address netip.AddrPort) {
	p.mu.Lock()
	p.allConns[c] = struct{}{}
	if address.IsValid() {
		p.dialledConns[address] = c
	}
	p.mu.Unlock()
	if p.OnConnect != nil {
		p.OnConnect(c.Peer)
	}
}

func (p *Pool) remove(c *Conn, address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.allConns, c)
	if p.dialledConns[address] == c {
		delete(p.dialledConns, address)
	}
}

func (p *Pool) closeIdle(now time.Time) {
	for _, c := range p.Conns() {
		if now.Sub(c.LastUsed()) > idleTimeout && !c.Busy() {
			c.Close()
		}
	}
}

// ServeHTTP accepts a connection from a peer and serves it until it is closed.
func (p *Pool) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	peer, err := decodeHello(r.Header.Get(helloHeader))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := p.authenticate(r, peer); err != nil {
		p.Log.Info("peer rejected", "peer", peer.ID, "cause", err.Error())
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	}
	hello, err := encodeHello(p.Self)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(helloHeader, hello)
	socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{subprotocol}})
	if err != nil {
		p.Log.V(1).Info("accepting the peer connection failed", "peer", peer.ID, "cause", err.Error())
		return
	}
	c := newConn(socket, p, peer)
	p.add(c, netip.AddrPort{})
	c.run(p.baseCtx)
	p.remove(c, netip.AddrPort{})
}

// authenticate checks a connecting peer's role if TLS is used.
func (p *Pool) authenticate(r *http.Request, peer rillreach.Instance) error {
	if p.TLS == nil {
		return nil
	}
	return checkRole(r.TLS, peer)
}

// checkRole checks that a peer's role matches the certificate that the TLS handshake has verified.
func checkRole(state *tls.ConnectionState, peer rillreach.Instance) error {
	if state == nil || len(state.PeerCertificates) == 0 {
		return errors.New("peer has no certificate of this fleet")
	}
	if role := CertificateRole(state.PeerCertificates[0]); role != peer.Role {
		return errors.Newf("peer says it is of role %q, its certificate says %q", peer.Role, role)
	}
	return nil
}
