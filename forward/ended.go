package forward

import (
	"context"
	"io"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ClosedByRunner reports whether the runner closed the connection before the response was complete.
func ClosedByRunner(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET)
}

// probeTimeout limits the connection attempt of RefusesConnections, for which requests wait before they are retried at
// another runner. It is about fifteen times the duration of a connection attempt between zones.
const probeTimeout = 50 * time.Millisecond

// RefusesConnections reports whether nothing listens at the address, which means that the process has ended but its
// machine is running. If the connection is accepted, it is kept for the next request.
func (p *Pool) RefusesConnections(ctx context.Context, to netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	nc, err := p.dial(ctx, to)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.addOpen(to, 1)
	p.putIdle(to, newConn(nc), 0)
	return false
}
