package forward

import (
	"context"
	"io"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ClosedByRunner reports that the runner's side closed the connection before the answer was whole.
func ClosedByRunner(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET)
}

// probeTimeout bounds the question whether anybody listens: some fifteen times what the answer takes between zones. Requests wait for it
// before another runner is asked.
const probeTimeout = 50 * time.Millisecond

// RefusesConnections reports that nobody listens at the address: the process there has ended, and its machine runs. A connection that is taken is kept
// for the next request.
func (p *Pool) RefusesConnections(ctx context.Context, to netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	nc, err := p.dial(ctx, to)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.count(to, 1)
	p.park(to, newConn(nc), 0)
	return false
}
