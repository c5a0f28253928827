package sidecar

import (
	"context"
	"time"

	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/poison"
)

// handleCrashReport takes an entry's report of crashes over, and has all followers told of what is new at once.
func (s *Sidecar) handleCrashReport(_ context.Context, from *peer.Conn, report poison.Report) (poison.Receipt, error) {
	added := s.crashes.Record(s.now(), report.Crashes...)
	if added > 0 {
		s.Log.Info("crashes reported", "decision", "tell", "entry", from.Peer.ID, "crashes", len(report.Crashes), "new", added)
		s.publisher.urgent.Wake()
	}
	return poison.Receipt{New: added}, nil
}

// now is the time by which crashes grow old; before Run there is none.
func (s *Sidecar) now() time.Time {
	if s.Clock == nil {
		return time.Time{}
	}
	return s.Clock.Now()
}
