package digest

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/entrycount"
)

const (
	// AgentTimeout is how long an agent may be silent before its report counts as lost.
	AgentTimeout = 2 * time.Second
	// forgetAfter is how long a lost report is kept, so that all subscribers learn of the loss.
	forgetAfter = 30 * time.Second
	// tokenTolerance is the difference of used tokens up to which two loads count as equal.
	tokenTolerance = 2048
	// storeTicks is how many ticks apart a store is reported without changes. Its contents may be used only for a short
	// time after each report.
	storeTicks = 2
)

// Table holds the latest reports that a relay knows, by tick. Exported fields are set before use; it is safe for
// concurrent use.
type Table struct {
	// Zone is the relay's own zone.
	Zone rillreach.ZoneID

	mu sync.Mutex
	// tick is the number of the last tick.
	tick    uint64
	reports map[rillreach.InstanceID]*reportEntry
	stores  map[netip.AddrPort]*storeEntry
	// entries holds the number of entries in each zone.
	entries map[rillreach.ZoneID]*entrycount.Peak
}

// reportEntry is a report, and when it was received. The report is passed on at the tick changedAt.
type reportEntry struct {
	report     Report
	receivedAt time.Time
	changedAt  uint64
	// pendingLoad means that the load has changed since then.
	pendingLoad bool
}

// ApplyBulletin records the report of an agent of the relay's own zone.
func (t *Table) ApplyBulletin(b *bulletin.Bulletin, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyReport(Report{Runner: b.Runner, Generation: b.Generation, Zone: t.Zone, Load: b.Load, Clock: b.Clock}, now)
	for i := range b.CacheUpdates {
		if u := &b.CacheUpdates[i]; u.Store {
			t.applyStore(StoreReport{Agent: b.Runner, Zone: t.Zone, Clock: b.Clock, Update: *u})
		}
	}
}

// ApplyDigest records the digest of a relay of another zone. Reports that are not of that zone are ignored, and counted in
// the result.
func (t *Table) ApplyDigest(zone rillreach.ZoneID, d *Digest, now time.Time) (ignored int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmZone(zone, now)
	for _, r := range d.Reports {
		if r.Zone != zone || zone == t.Zone {
			ignored++
			continue
		}
		t.applyReport(r, now)
	}
	for _, s := range d.Stores {
		if s.Zone != zone || zone == t.Zone {
			ignored++
			continue
		}
		t.applyStore(s)
	}
	for _, e := range d.Entries {
		if e.Zone == zone && zone != t.Zone {
			t.countEntries(e.Zone, e.Count, now)
		}
	}
	return ignored
}

// confirmZone records that the reports of another zone which are not lost still hold.
func (t *Table) confirmZone(zone rillreach.ZoneID, now time.Time) {
	for _, e := range t.reports {
		if e.report.Zone == zone && !e.report.Lost {
			e.receivedAt = now
		}
	}
}

// applyReport records a report. It is passed on at the next tick, or with the next loads if only its load has changed.
func (t *Table) applyReport(r Report, now time.Time) {
	if t.reports == nil {
		t.reports = map[rillreach.InstanceID]*reportEntry{}
	}
	e := t.reports[r.Runner]
	switch {
	case e == nil:
		e = &reportEntry{changedAt: t.tick + 1}
		t.reports[r.Runner] = e
	case e.report.Run().Supersedes(r.Run()):
		return // of an earlier run
	case !sameState(&e.report, &r):
		e.changedAt = t.tick + 1
	case !sameLoad(&e.report.Load, &r.Load):
		e.pendingLoad = true
	}
	e.report, e.receivedAt = r, now
}

// sameState reports whether two reports differ in nothing but the load and the time.
func sameState(a, b *Report) bool {
	return a.Run() == b.Run() && a.Lost == b.Lost && a.Zone == b.Zone && a.Load.LoadingWeights == b.Load.LoadingWeights && a.Load.Leaving == b.Load.Leaving &&
		a.Load.Unresponsive == b.Load.Unresponsive && (a.Load.WeightLoadAt == 0) == (b.Load.WeightLoadAt == 0) && maps.Equal(a.Load.Weights, b.Load.Weights)
}

func sameLoad(a, b *bulletin.Load) bool {
	return a.Running == b.Running && a.Waiting == b.Waiting && a.AwaitingFirstEvent == b.AwaitingFirstEvent && max(a.UsedTokens-b.UsedTokens, b.UsedTokens-a.UsedTokens) <= tokenTolerance
}

// CountEntries records the number of entries in the relay's own zone.
func (t *Table) CountEntries(count int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countEntries(t.Zone, count, now)
}

func (t *Table) countEntries(zone rillreach.ZoneID, count int, now time.Time) {
	if t.entries == nil {
		t.entries = map[rillreach.ZoneID]*entrycount.Peak{}
	}
	if t.entries[zone] == nil {
		t.entries[zone] = &entrycount.Peak{}
	}
	t.entries[zone].Observe(count, now)
}

// Tick ends a tick: it passes on changed loads that are due, marks silent agents as lost, and returns the tick's number.
func (t *Table) Tick(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tick++
	for id, e := range t.reports {
		silence := now.Sub(e.receivedAt)
		switch {
		case silence > forgetAfter:
			delete(t.reports, id)
		case silence > AgentTimeout && !e.report.Lost:
			e.report.Lost, e.changedAt = true, t.tick
		case e.pendingLoad && t.tick%t.loadTicks(e.report.Zone) == 0:
			e.pendingLoad, e.changedAt = false, t.tick
		}
	}
	for _, s := range t.stores {
		s.endTick(t.tick)
	}
	return t.tick
}

// loadTicks returns how many ticks apart loads of a zone are passed on.
func (t *Table) loadTicks(zone rillreach.ZoneID) uint64 {
	if zone == t.Zone {
		return ownZoneLoadTicks
	}
	return otherZoneLoadTicks
}

// Since returns what has changed after a tick, up to the last one; tick zero stands for everything. If ownZone is set, only
// the relay's own zone is included.
func (t *Table) Since(after uint64, ownZone bool) Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	included := func(zone rillreach.ZoneID) bool { return !ownZone || zone == t.Zone }
	var d Digest
	for _, e := range t.reports {
		if included(e.report.Zone) && e.dueAfter(after, t.tick) {
			d.Reports = append(d.Reports, e.report)
		}
	}
	slices.SortFunc(d.Reports, func(a, b Report) int { return cmp.Compare(a.Runner, b.Runner) })
	for address, s := range t.stores {
		if !included(s.zone) {
			continue
		}
		if update, due := s.since(address, after, t.tick); due {
			d.Stores = append(d.Stores, update)
		}
	}
	for zone, e := range t.entries {
		if included(zone) {
			d.Entries = append(d.Entries, ZoneEntries{Zone: zone, Count: e.Value()})
		}
	}
	return d
}

// dueAfter reports whether the report is passed on to a subscriber that knows the reports up to a tick. One that knows none
// need not be told of those that are lost.
func (e *reportEntry) dueAfter(known, tick uint64) bool {
	if known == 0 && e.report.Lost {
		return false
	}
	return e.changedAt > known && e.changedAt <= tick
}
