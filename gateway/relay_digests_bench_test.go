package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/digest"
)

// BenchmarkApplyDigestWithoutChanges measures a digest that only confirms the reports of all engines.
func BenchmarkApplyDigestWithoutChanges(b *testing.B) {
	for _, engines := range []int{625, 4200} {
		b.Run(fmt.Sprint(engines, " engines"), func(b *testing.B) {
			g, _ := gatewayWithEngines(engines)
			f := &digestFollower{gateway: g, reports: map[rillreach.InstanceID]digest.Report{}}
			for _, r := range g.state.Roster.ByService("s") {
				info := r.Info()
				f.reports[info.ID] = digest.Report{Runner: info.ID, Zone: info.Zone, Load: bulletin.Load{Running: 1}}
			}
			now := time.Now().Add(2 * time.Hour) // later than the reports that the engines have
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(digest.TickInterval)
				f.applyReports(nil, now)
			}
		})
	}
}
