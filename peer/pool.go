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
	"github.com/rillreach/rillreach/internal/pause"
)

const (
	// Path is where a process accepts connections of its peers.
	Path = "/peer"
	// DefaultMessageLimit bounds one message on a connection, in bytes.
	DefaultMessageLimit = 9 << 20

	helloHeader  = "Rillreach-Hello"
	dialTimeout  = 2 * time.Second
	idleTimeout  = 2 * time.Minute
	sweepEvery   = 30 * time.Second
	subprotocol  = "rillreach.peer.v1"
	maxHelloSize = 4 << 10
)

// Traffic counts what a process has sent to its peers.
type Traffic struct {
	// Connections counts those that were dialled.
	Connections atomic.Int64
	// Frames, Messages and Bytes count what was written on all connections.
	Frames   atomic.Int64
	Messages atomic.Int64
	Bytes    atomic.Int64
}

// Pool holds one connection to each peer that is in use, dials on demand and closes the idle ones.
type Pool struct {
	// Self is what this process says of itself.
	Self rillreach.Instance
	// Mux answers the streams that peers open.
	Mux *Mux
	// TLS authenticates both sides; nil means plain TCP.
	TLS *tls.Config
	// Log takes connects and disconnects.
	Log logr.Logger
	// OnConnect is called with what each peer says of itself when it connects; it may be nil.
	OnConnect func(rillreach.Instance)
	// MessageLimit bounds one message; zero means DefaultMessageLimit.
	MessageLimit int64
	// Dial makes the connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Traffic counts what goes out to peers.
	Traffic Traffic

	client *http.Client
	flight singleflight.Group
	base   context.Context

	mu    sync.Mutex
	conns map[netip.AddrPort]*Conn
	all   map[*Conn]struct{}
}

// Start readies the pool; its connections end with the context.
func (p *Pool) Start(ctx context.Context) {
	p.base = ctx
	p.conns = map[netip.AddrPort]*Conn{}
	p.all = map[*Conn]struct{}{}
	p.client = &http.Client{Transport: &http.Transport{TLSClientConfig: p.TLS, DialContext: p.Dial}}
	if p.MessageLimit == 0 {
		p.MessageLimit = DefaultMessageLimit
	}
}

// Name is the controller's name.
func (p *Pool) Name() string { return "connections" }

// Run closes connections that have been idle for long, until the context ends.
func (p *Pool) Run(ctx context.Context) error {
	pause.Every(ctx, sweepEvery, func(context.Context) { p.sweep(time.Now()) })
	return nil
}

// Get returns the connection to a peer and dials it when there is none.
func (p *Pool) Get(ctx context.Context, address netip.AddrPort) (*Conn, error) {
	if c := p.known(address); c != nil {
		return c, nil
	}
	dialled := p.flight.DoChan(address.String(), func() (any, error) { return p.dial(address) })
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

// Conns returns the connections that are open now, dialled and accepted.
func (p *Pool) Conns() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := make([]*Conn, 0, len(p.all))
	for c := range p.all {
		conns = append(conns, c)
	}
	return conns
}

// Drain waits until all peers have read the answers to what they asked, or the context ends; what they ask meanwhile counts.
func (p *Pool) Drain(ctx context.Context) {
	var wg conc.WaitGroup
	for _, c := range p.Conns() {
		wg.Go(func() {
			if err := c.settle(ctx); err != nil {
				p.Log.Info("peer may not have all answers", "peer", c.Peer.ID, "cause", err.Error())
			}
		})
	}
	wg.Wait()
}

func (p *Pool) known(address netip.AddrPort) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[address]
}

func (p *Pool) dial(address netip.AddrPort) (*Conn, error) {
	if c := p.known(address); c != nil {
		return c, nil
	}
	hello, err := encodeHello(p.Self)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(p.base, dialTimeout)
	defer cancel()
	socket, resp, err := websocket.Dial( //nolint:bodyclose // the library says that this body is not to be closed
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
		c.run(p.base)
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
	p.all[c] = struct{}{}
	if address.IsValid() {
		p.conns[address] = c
	}
	p.mu.Unlock()
	if p.OnConnect != nil {
		p.OnConnect(c.Peer)
	}
}

func (p *Pool) remove(c *Conn, address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.all, c)
	if p.conns[address] == c {
		delete(p.conns, address)
	}
}

func (p *Pool) sweep(now time.Time) {
	for _, c := range p.Conns() {
		if now.Sub(c.LastUsed()) > idleTimeout && !c.Busy() {
			c.Close()
		}
	}
}

// ServeHTTP accepts the connection of a peer.
func (p *Pool) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	peer, err := decodeHello(r.Header.Get(helloHeader))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := p.authenticate(r, peer); err != nil {
		p.Log.Info("peer refused", "peer", peer.ID, "cause", err.Error())
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
		p.Log.V(1).Info("peer not accepted", "peer", peer.ID, "cause", err.Error())
		return
	}
	c := newConn(socket, p, peer)
	p.add(c, netip.AddrPort{})
	c.run(p.base)
	p.remove(c, netip.AddrPort{})
}

// authenticate holds what the peer says of itself against its certificate.
func (p *Pool) authenticate(r *http.Request, peer rillreach.Instance) error {
	if p.TLS == nil {
		return nil
	}
	return checkRole(r.TLS, peer)
}

// checkRole holds a peer's role against the certificate that the handshake has verified.
func checkRole(state *tls.ConnectionState, peer rillreach.Instance) error {
	if state == nil || len(state.PeerCertificates) == 0 {
		return errors.New("peer has no certificate of this fleet")
	}
	if role := CertificateRole(state.PeerCertificates[0]); role != peer.Role {
		return errors.Newf("peer says it is of role %q, its certificate says %q", peer.Role, role)
	}
	return nil
}
