package standin

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// FirstPort is the first port that Ports gives out.
	FirstPort = 12000
	// PortCount is the number of ports from there on. They lie below the ephemeral port range, so that no outgoing
	// connection and no listener on port zero takes one before its use.
	PortCount = 20000
)

// Ports gives out free ports for processes that are started, or restarted, later. It is safe for concurrent use.
type Ports struct {
	// Next is the offset from FirstPort of the next port to try, below PortCount. It must be set before use.
	Next uint16

	mu sync.Mutex
}

// Free returns a port of the host on which nothing listens. Each port is given out once until all others were.
func (p *Ports) Free(host netip.Addr) (netip.AddrPort, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var err error
	for range PortCount {
		address := netip.AddrPortFrom(host, FirstPort+p.Next)
		p.Next = (p.Next + 1) % PortCount
		var l net.Listener
		if l, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", address.String()); err == nil {
			return address, errors.Wrap(l.Close(), "close listener")
		}
	}
	return netip.AddrPort{}, errors.Wrap(err, "find a free port")
}
