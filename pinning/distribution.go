package pinning

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// retryDelay is how long a replica that could not be reached gets no records. An agent that restarts is back within that
// time.
const retryDelay = 300 * time.Millisecond

const (
	// maxReportRecords bounds the records of one report.
	maxReportRecords = 256
	// maxDistributed bounds the records that a process distributes, which take about 6 MB. Above it, the oldest are given
	// up.
	maxDistributed = 1 << 13
)

// Distribution decides which records of a process go to which replicas, and again to others when replicas are lost. The
// zero value has no records and is ready to use, and it is safe for concurrent use.
type Distribution struct {
	mu        sync.Mutex
	placement *Placement
	records   map[Stream]*distributed
	// order contains the streams of the records, oldest first.
	order []Stream
	// pending contains the streams whose record may have to be sent to a replica.
	pending map[Stream]bool
	// unavailableUntil is when a replica that could not be reached is tried again, and busy contains those to which a
	// report is under way.
	unavailableUntil map[netip.AddrPort]time.Time
	busy             map[netip.AddrPort]bool
}

// distributed is a record and the replicas that have acknowledged it.
type distributed struct {
	record    Record
	expiresAt time.Time
	holders   map[netip.AddrPort]bool
}

// Add adds a record that replicas have to hold.
func (d *Distribution) Add(now time.Time, r Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.records == nil {
		d.records, d.pending = map[Stream]*distributed{}, map[Stream]bool{}
		d.unavailableUntil, d.busy = map[netip.AddrPort]time.Time{}, map[netip.AddrPort]bool{}
	}
	if _, ok := d.records[r.Stream]; ok {
		return
	}
	d.expire(now)
	if len(d.order) >= maxDistributed {
		d.removeOldest()
	}
	d.order = append(d.order, r.Stream)
	d.records[r.Stream] = &distributed{record: r, expiresAt: now.Add(r.Left), holders: map[netip.AddrPort]bool{}}
	d.pending[r.Stream] = true
}

// SetPlacement sets the replicas of all streams.
func (d *Distribution) SetPlacement(p *Placement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.placement != nil && d.placement.equal(p) {
		return
	}
	d.placement = p
	for stream := range d.records {
		d.pending[stream] = true
	}
}

// Lost records that a replica may have lost its records, because its connection has ended.
func (d *Distribution) Lost(address netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lost(address)
}

// lost is Lost for callers that hold the lock.
func (d *Distribution) lost(address netip.AddrPort) {
	for stream, one := range d.records {
		if one.holders[address] {
			delete(one.holders, address)
			d.pending[stream] = true
		}
	}
}

// Due returns the reports to send now, and marks their replicas as busy until Delivered or Failed is called.
func (d *Distribution) Due(now time.Time) map[netip.AddrPort]Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	maps.DeleteFunc(d.unavailableUntil, func(_ netip.AddrPort, until time.Time) bool { return !now.Before(until) })
	due := map[netip.AddrPort]Report{}
	for stream := range d.pending {
		one := d.records[stream]
		if d.isReplicated(one) || !now.Before(one.expiresAt) {
			delete(d.pending, stream)
			continue
		}
		for _, address := range d.missingAt(one) {
			report := due[address]
			if len(report.Records) == maxReportRecords {
				continue
			}
			r := one.record
			r.Left = one.expiresAt.Sub(now)
			report.Records = append(report.Records, r)
			due[address] = report
		}
	}
	for address := range due {
		d.busy[address] = true
	}
	return due
}

// missingAt returns the replicas to which a record is to be sent now: those of the first available ones that do not hold
// it. The caller must hold the lock.
func (d *Distribution) missingAt(one *distributed) []netip.AddrPort {
	var missing []netip.AddrPort
	available := 0
	for _, r := range d.replicasOf(one.record.Stream) {
		if available == Copies {
			break
		}
		if _, unavailable := d.unavailableUntil[r.Address]; unavailable {
			continue
		}
		available++
		if !one.holders[r.Address] && !d.busy[r.Address] {
			missing = append(missing, r.Address)
		}
	}
	return missing
}

// isReplicated reports whether the first replicas hold the record, which all processes ask. While one of them is
// unavailable, others hold it as well. The caller must hold the lock.
func (d *Distribution) isReplicated(one *distributed) bool {
	replicas := d.replicasOf(one.record.Stream)
	for _, r := range replicas[:min(Copies, len(replicas))] {
		if !one.holders[r.Address] {
			return false
		}
	}
	return len(replicas) > 0
}

// replicasOf returns the agents in the order in which they are used for a stream. The caller must hold the lock.
func (d *Distribution) replicasOf(s Stream) []Replica {
	if d.placement == nil {
		return nil
	}
	return d.placement.For(s)
}

// Delivered records that a replica has acknowledged a report.
func (d *Distribution) Delivered(address netip.AddrPort, report Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.busy, address)
	for _, r := range report.Records {
		if one := d.records[r.Stream]; one != nil {
			one.holders[address] = true
		}
	}
}

// Failed records that a replica could not be reached, so that others hold what it held.
func (d *Distribution) Failed(now time.Time, address netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.busy, address)
	d.unavailableUntil[address] = now.Add(retryDelay)
	d.lost(address)
}

// expire forgets the records of streams that can no longer be taken up, oldest first. The caller must hold the lock.
func (d *Distribution) expire(now time.Time) {
	for len(d.order) > 0 && !now.Before(d.records[d.order[0]].expiresAt) {
		d.removeOldest()
	}
}

// removeOldest removes the oldest record. The caller must hold the lock.
func (d *Distribution) removeOldest() {
	delete(d.records, d.order[0])
	delete(d.pending, d.order[0])
	d.order = d.order[1:]
}

// ReplicasOf returns the replicas to ask for the record of a stream. Those that could not be reached come last, since they
// may be back.
func (d *Distribution) ReplicasOf(now time.Time, s Stream) []Replica {
	d.mu.Lock()
	defer d.mu.Unlock()
	var available, unavailable []Replica
	for _, r := range d.replicasOf(s) {
		if now.Before(d.unavailableUntil[r.Address]) {
			unavailable = append(unavailable, r)
		} else {
			available = append(available, r)
		}
	}
	all := slices.Concat(available, unavailable)
	return all[:min(Asked, len(all))]
}

// Unreplicated returns the number of records that too few replicas hold.
func (d *Distribution) Unreplicated() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.pending)
}
