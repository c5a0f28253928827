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

// probeTimeout limits the connection attempt of Probe, for which requests wait before they are retried at
// another runner. It is about fifteen times the duration of a connection attempt between zones.
const probeTimeout = 50 * time.Millisecond

// ProbeResult is how an address responds to a connection attempt.
type ProbeResult int

const (
	// NoResponse means that it did not respond in time.
	NoResponse ProbeResult = iota
	// Accepts means that it accepted the connection.
	Accepts
	// Refuses means that nothing listens there: the process has ended but its machine is running.
	Refuses
)

// Probe opens a connection to the address. If it is accepted, it is kept for the next request.
func (p *Pool) Probe(ctx context.Context, to netip.AddrPort) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	nc, err := p.dial(ctx, to)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refuses
	case err != nil:
		return NoResponse
	}
	p.addOpen(to, 1)
	p.putIdle(to, newConn(nc), 0)
	return Accepts
}
