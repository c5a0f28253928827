package sidecar

import (
	"slices"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/holdings"
	"github.com/rillreach/rillreach/notify"
	"github.com/rillreach/rillreach/permit"
)

func newFollower(p *publisher) *follower {
	return &follower{publisher: p, positions: map[*holder]uint64{}, unsent: map[*holder]backlog{}}
}

// follower is what one entry has been told.
type follower struct {
	publisher *publisher
	// otherZone says that the follower is in another zone, and is told seldomer.
	otherZone bool
	// loadOnly says that it asked for little.
	loadOnly bool
	// positions are how far it has been told of each holder; one that is followed anew is told of from its beginning.
	positions map[*holder]uint64
	// unsent is what did not fit the last messages.
	unsent map[*holder]backlog
	// crashesVersion is how far it has been told of the crashesVersion that the agent knows.
	crashesVersion uint64
	// permitShare is what it has been allotted of what a cold runner bears.
	permitShare permit.Share
	// quotaShares are what it has been allotted of what runners take that name a limit.
	quotaShares map[rillreach.InstanceID]*permit.Share
	lastSent    bulletin.Bulletin
	lastSentAt  time.Time
}

// next makes the next bulletin; worth says that it tells something new, or that the follower has heard nothing for long.
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
	if !changed && len(b.Crashes) == 0 && f.sameLimits(limits) && f.sameLoad(&b) && sameNotices(f.lastSent.Notices, b.Notices) && now.Sub(f.lastSentAt) < maxBulletinInterval {
		return b, false
	}
	b.Permits = f.allocatePermits()
	b.Quotas = f.allocateQuotas(now, limits)
	delta := b.DeltaFrom(&f.lastSent)
	f.lastSent, f.lastSentAt = b, now
	return delta, true
}

// bulletinLoad is how the runner is, as followers are told.
func bulletinLoad(load deployment.Load, weightLoad weightLoadStatus) bulletin.Load {
	return bulletin.Load{
		Running: load.Running, Waiting: load.Waiting, UsedTokens: load.UsedTokens, AwaitingFirstEvent: load.AwaitingFirstEvent, Unresponsive: load.Unresponsive,
		LoadingWeights: weightLoad.loading, Leaving: load.Leaving, Weights: load.Weights,
	}
}

// addClock adds the runners' clock, as it was read some time ago, and the start of the next load by it; nothing where the clock is not known.
func addClock(b *bulletin.Bulletin, clock time.Time, age time.Duration, weightLoad weightLoadStatus, now time.Time) {
	if clock.IsZero() {
		return
	}
	b.Clock = clock.Add(age).UnixMilli()
	if !weightLoad.scheduledAt.IsZero() {
		b.Load.WeightLoadAt = b.Clock + weightLoad.scheduledAt.Sub(now).Milliseconds()
	}
}

// addState adds what the agent knows of the object store.
func (f *follower) addState(b *bulletin.Bulletin) {
	s := f.publisher.sidecar
	b.DesiredWeights, b.Followers = s.state.AllNamedWeights(), int(f.publisher.followers.Load())
	if c := s.state.Config(); c != nil {
		version := c.ConfigVersion()
		b.Config = &version
	}
	b.WeightsFirstSeen = f.publisher.weightsFirstSeen(b.Clock)
	b.Notices = f.publisher.notices()
}

// allocatePermits gives the follower its permits for the runner, whether that is cold or not: whoever sends to it knows that.
func (f *follower) allocatePermits() int {
	if f.loadOnly {
		return 0
	}
	p := f.publisher
	return p.permits.Allocate(time.Now(), &f.permitShare, int(p.senders.Load()), p.sidecar.slowStartLimits().Rate())
}

// sameLoad reports that the runner is as the follower was told.
func (f *follower) sameLoad(b *bulletin.Bulletin) bool {
	before, after := f.lastSent.Load, b.Load
	return f.lastSent.Run() == b.Run() && before.Running == after.Running && before.Waiting == after.Waiting && before.LoadingWeights == after.LoadingWeights &&
		sameWeightLoadAt(before.WeightLoadAt, after.WeightLoadAt) &&
		before.AwaitingFirstEvent == after.AwaitingFirstEvent && before.Unresponsive == after.Unresponsive &&
		before.Leaving == after.Leaving && len(f.lastSent.DesiredWeights) == len(b.DesiredWeights) && f.lastSent.Followers == b.Followers
}

// sameNotices reports that notices tell of no other changes than those before.
func sameNotices(before, after []notify.Notice) bool {
	return slices.EqualFunc(before, after, func(a, b notify.Notice) bool { return a.Kind == b.Kind && a.Revision == b.Revision })
}

// sameWeightLoadAt reports that two starts on the runners' clock are one, which is worked out anew each time.
func sameWeightLoadAt(before, after int64) bool {
	return time.Duration(max(before, after)-min(before, after))*time.Millisecond < weightLoadAtTolerance
}

// addCrashes adds the crashes that the follower hasn't been told of, as many as one bulletin takes.
func (f *follower) addCrashes(b *bulletin.Bulletin, now time.Time) {
	b.Crashes, f.crashesVersion = f.publisher.sidecar.crashes.Since(now, f.crashesVersion, maxCrashes)
}

func (f *follower) addCacheUpdates(b *bulletin.Bulletin) (changed bool) {
	s := f.publisher.sidecar
	// An entry of any zone may fetch from the runner: its link is faster than a store's, and reading a part again takes far longer
	// than twice a move.
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

// backlog is what a follower is still to be told of a holder.
type backlog struct {
	snapshot bool
	changes  []holdings.Change
}

const (
	// maxPayloadSize is how many bytes of changes one bulletin takes: a message over 16 KB would be split on its way.
	maxPayloadSize = 12 << 10
	// changeOverhead is what a change takes beside its two names, in bytes.
	changeOverhead = 16
	// maxCrashes is how many crashes one bulletin tells of, and crashSize what each takes in bytes.
	maxCrashes = 64
	crashSize  = 80
)

// addCacheUpdate adds what is new of a holder, as far as there is room; it reports whether there is anything new.
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
		return false // of a store it matters that its agent still speaks of it
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

// unsentChanges is what the follower has not been told of a holder; it reports whether that is of the run that the bulletin speaks for.
func (f *follower) unsentChanges(h *holder, generation rillreach.Generation) (backlog, bool) {
	position, known := f.positions[h]
	if !known {
		position = ^uint64(0) // a position that no tracker has reached, so that everything is told
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

// fittingCount is how many of the changes fit.
func fittingCount(changes []holdings.Change, available int) int {
	for n := range changes {
		available -= changeOverhead + len(changes[n].Key.Salt) + len(changes[n].Key.Part)
		if available < 0 {
			return n
		}
	}
	return len(changes)
}

// payloadSize is how many bytes the changes in a bulletin take.
func payloadSize(b *bulletin.Bulletin) int {
	size := len(b.Crashes) * crashSize
	for _, update := range b.CacheUpdates {
		for _, c := range update.Changes {
			size += changeOverhead + len(c.Key.Salt) + len(c.Key.Part)
		}
	}
	return size
}
