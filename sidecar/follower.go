package sidecar

import (
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/cacheindex"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/permit"
)

// newFollower returns a follower that has been sent nothing yet.
func newFollower(p *publisher) *follower {
	return &follower{publisher: p, positions: map[*holder]uint64{}, unsent: map[*holder]backlog{}}
}

// follower is the state of the bulletins to one entry: what it has been sent and what is pending.
type follower struct {
	publisher *publisher
	// otherZone is set if the follower is in another zone, and so receives bulletins less often.
	otherZone bool
	// loadOnly is set if the follower asked for the runner's load only, and relay if it passes bulletins on; see
	// bulletin.FollowRequest.
	loadOnly bool
	relay    bool
	// positions are the tracker positions up to which the follower has been sent each holder's changes. A store that
	// was taken over again has a new holder, so that its contents are sent again in full.
	positions map[*holder]uint64
	// unsent are the changes of each holder that did not fit into the bulletins so far.
	unsent map[*holder]backlog
	// crashesVersion is the version up to which the follower has been sent crashes.
	crashesVersion uint64
	// permitShare is the follower's share of the permits for the agent's runner while that is cold.
	permitShare permit.Share
	// quotaShares are the follower's shares of the permits for runners with a rate limit.
	quotaShares map[rillreach.InstanceID]*permit.Share
	// lastSent is the last bulletin in full, and lastSentAt when it was created.
	lastSent   bulletin.Bulletin
	lastSentAt time.Time
}

// next returns the next bulletin, without what the follower already knows. It is due if it contains anything new or the
// last one is older than maxBulletinInterval.
func (f *follower) next() (b bulletin.Bulletin, due bool) {
	s, now := f.publisher.sidecar, time.Now()
	self := s.state.Roster.ByAddress(s.Settings.RunnerAddress)
	load, reportedAt, weightLoad := f.publisher.latestReport()
	if self == nil || reportedAt.IsZero() {
		return b, false
	}
	run := self.Info().Run()
	if !generationMatches(run, load) {
		load, weightLoad = unresponsiveLoad(load), weightLoadStatus{}
	}
	b = bulletin.Bulletin{Runner: run.ID, Generation: run.Generation, Load: bulletinLoad(load, weightLoad)}
	addClock(&b, load.Clock, now.Sub(reportedAt), weightLoad, now)
	f.addState(&b)
	f.addCrashes(&b, s.now())
	limits := s.quotas.active(now)
	changed := f.addCacheUpdates(&b)
	if !changed && len(b.Crashes) == 0 && f.sameLimits(limits) && f.sameLoad(&b) && now.Sub(f.lastSentAt) < maxBulletinInterval {
		return b, false
	}
	b.Permits = f.allocatePermits()
	b.Quotas = f.allocateQuotas(now, limits)
	delta := b.DeltaFrom(&f.lastSent)
	f.lastSent, f.lastSentAt = b, now
	return delta, true
}

// bulletinLoad converts the runner's report and the status of its next weight load.
func bulletinLoad(load deployment.Load, weightLoad weightLoadStatus) bulletin.Load {
	return bulletin.Load{
		Running: load.Running, Waiting: load.Waiting, UsedTokens: load.UsedTokens, AwaitingFirstEvent: load.AwaitingFirstEvent, Unresponsive: load.Unresponsive,
		LoadingWeights: weightLoad.loading, Leaving: load.Leaving, Weights: load.Weights,
	}
}

// addClock sets the runners' clock, extrapolated from a reading of the given age, and the time of the next weight load
// on that clock. It sets neither if the clock is unknown.
func addClock(b *bulletin.Bulletin, clock time.Time, age time.Duration, weightLoad weightLoadStatus, now time.Time) {
	if clock.IsZero() {
		return
	}
	b.Clock = clock.Add(age).UnixMilli()
	if !weightLoad.scheduledAt.IsZero() {
		b.Load.WeightLoadAt = b.Clock + weightLoad.scheduledAt.Sub(now).Milliseconds()
	}
}

// addState adds what the agent knows from the object store, and the number of followers.
func (f *follower) addState(b *bulletin.Bulletin) {
	s := f.publisher.sidecar
	b.DesiredWeights, b.Followers = s.state.AllDesiredWeights(), int(f.publisher.followers.Load())
	if c := s.state.Config(); c != nil {
		version := c.ConfigVersion()
		b.Config = &version
	}
	b.WeightsFirstSeen = f.publisher.weightsFirstSeen(b.Clock)
}

// allocatePermits returns the number of slow-start permits for the follower. They are allocated whether the runner is
// cold or not: the sender knows, and uses them only while it is.
func (f *follower) allocatePermits() int {
	if f.loadOnly {
		return 0
	}
	p := f.publisher
	return p.permits.Allocate(time.Now(), &f.permitShare, int(p.senders.Load()), p.sidecar.slowStartLimits().Rate())
}

// sameLoad reports whether the follower already knows the runner's state in the bulletin.
func (f *follower) sameLoad(b *bulletin.Bulletin) bool {
	before, after := f.lastSent.Load, b.Load
	return f.lastSent.Run() == b.Run() && before.Running == after.Running && before.Waiting == after.Waiting && before.LoadingWeights == after.LoadingWeights &&
		sameWeightLoadAt(before.WeightLoadAt, after.WeightLoadAt) &&
		before.AwaitingFirstEvent == after.AwaitingFirstEvent && before.Unresponsive == after.Unresponsive &&
		before.Leaving == after.Leaving && len(f.lastSent.DesiredWeights) == len(b.DesiredWeights) && f.lastSent.Followers == b.Followers
}

// sameWeightLoadAt reports whether two times on the runners' clock, in milliseconds, stand for the same scheduled load.
// The time is computed anew for each bulletin and varies slightly.
func sameWeightLoadAt(before, after int64) bool {
	return time.Duration(max(before, after)-min(before, after))*time.Millisecond < weightLoadAtTolerance
}

// addCrashes adds the next crashes that the follower has not been sent, up to maxCrashes.
func (f *follower) addCrashes(b *bulletin.Bulletin, now time.Time) {
	b.Crashes, f.crashesVersion = f.publisher.sidecar.crashes.Since(now, f.crashesVersion, maxCrashes)
}

// addCacheUpdates adds the changes of the agent's runner and of the stores that it may report on. It reports whether
// there are any changes to send.
func (f *follower) addCacheUpdates(b *bulletin.Bulletin) (changed bool) {
	s := f.publisher.sidecar
	// Other zones need the runner's contents too: an entry of any zone may have parts fetched from it. The runner's
	// link is faster than a store's, and recomputing a part takes far longer than transferring it twice.
	if !f.loadOnly && f.addCacheUpdate(b, s.runnerHolder, nil) {
		changed = true
	}
	for _, store := range s.collector.reportableStores(time.Now()) {
		if f.addCacheUpdate(b, store.holder, store.expiredSalts.Salts()) {
			changed = true
		}
	}
	return changed
}

// backlog are the changes of a holder that a follower has still to be sent; snapshot is set if they are the holder's
// whole contents.
type backlog struct {
	snapshot bool
	changes  []cacheindex.Change
}

const (
	// maxPayloadSize bounds the crashes and changes in one bulletin, in bytes: a message over 16 KiB would be split by
	// the connection.
	maxPayloadSize = 12 << 10
	// changeOverhead is the encoded size of a change without its salt and part, in bytes.
	changeOverhead = 16
	// maxCrashes is the most crashes in one bulletin, and crashSize the greatest encoded size of one, in bytes.
	maxCrashes = 48
	crashSize  = 100
)

// addCacheUpdate adds the pending changes of a holder as far as they fit, and reports whether there are any. A store
// gets an update even without changes: it counts as alive only while its agent reports it.
func (f *follower) addCacheUpdate(b *bulletin.Bulletin, h *holder, expiringSalts []string) bool {
	if !h.synced.Load() {
		return false
	}
	update := bulletin.CacheUpdate{Address: h.address, Store: h.store, Unreachable: h.unreachable.Load(), ExpiringSalts: expiringSalts}
	unsent, ok := f.unsentChanges(h, b.Generation)
	if !ok {
		return false
	}
	changed := unsent.snapshot || len(unsent.changes) > 0
	if !changed && !h.store {
		return false
	}
	if available := maxPayloadSize - payloadSize(b); available > 0 {
		n := fittingCount(unsent.changes, available)
		update.Snapshot, update.Changes = unsent.snapshot, unsent.changes[:n]
		unsent = backlog{changes: unsent.changes[n:]}
	}
	f.unsent[h] = unsent
	b.CacheUpdates = append(b.CacheUpdates, update)
	return changed
}

// unsentChanges returns the changes of a holder that the follower has not been sent, and whether they belong to the run
// with the bulletin's generation.
func (f *follower) unsentChanges(h *holder, generation rillreach.Generation) (backlog, bool) {
	position, known := f.positions[h]
	if !known {
		position = ^uint64(0) // no tracker has reached this position, so everything is sent
	}
	changes, next, snapshot, ok := h.since(position, generation)
	if !ok {
		return backlog{}, false
	}
	f.positions[h] = next
	if snapshot {
		return backlog{snapshot: true, changes: changes}, true
	}
	unsent := f.unsent[h]
	unsent.changes = append(unsent.changes, changes...)
	return unsent, true
}

// fittingCount returns how many of the changes, from the first, fit into the available bytes.
func fittingCount(changes []cacheindex.Change, available int) int {
	for n := range changes {
		available -= changeOverhead + len(changes[n].Key.Salt) + len(changes[n].Key.Part)
		if available < 0 {
			return n
		}
	}
	return len(changes)
}

// payloadSize returns the estimated encoded size of the crashes and changes in a bulletin, in bytes.
func payloadSize(b *bulletin.Bulletin) int {
	size := len(b.Crashes) * crashSize
	for _, update := range b.CacheUpdates {
		for _, c := range update.Changes {
			size += changeOverhead + len(c.Key.Salt) + len(c.Key.Part)
		}
	}
	return size
}
