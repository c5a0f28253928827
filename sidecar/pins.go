package sidecar

import (
	"context"
	"time"

	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/pinning"
)

// handlePinReport keeps the records of streams that an entry reports, as one of their replicas.
func (s *Sidecar) handlePinReport(_ context.Context, _ *peer.Conn, report pinning.Report) (pinning.Receipt, error) {
	now := time.Now()
	for _, r := range report.Records {
		s.pins.Put(now, r)
	}
	return pinning.Receipt{}, nil
}

// handlePinQuery tells an entry at which software version a stream began.
func (s *Sidecar) handlePinQuery(_ context.Context, _ *peer.Conn, query pinning.Query) (pinning.Answer, error) {
	return s.pins.Find(time.Now(), query), nil
}
