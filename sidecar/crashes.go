package sidecar

import (
	"context"
	"time"

	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/poison"
)

// handleCrashReport records the crashes that an entry reports, and wakes all followers if any of them are new.
func (s *Sidecar) handleCrashReport(_ context.Context, from *peer.Conn, report poison.Report) (poison.Receipt, error) {
	added := s.crashes.Record(s.now(), report.Crashes...)
	if added > 0 {
		s.Log.Info("crashes reported", "decision", "tell", "entry", from.Peer.ID, "crashes", len(report.Crashes), "new", added)
		s.publisher.urgent.Wake()
	}
	return poison.Receipt{New: added}, nil
}

// now returns the time by which the age of crashes is measured, or the zero time before Run.
func (s *Sidecar) now() time.Time {
	if s.Clock == nil {
		return time.Time{}
	}
	return s.Clock.Now()
}
