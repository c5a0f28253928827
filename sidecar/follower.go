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
	return &follower{publisher: p, positions: map[*holder]uint64{}, untold: map[*holder]backlog{}}
}

// follower is what one entry has been told.
type follower struct {
	publisher *publisher
	// far says that the follower is in another zone, and is told seldomer.
	far bool
	// sparse says that it asked for little.
	sparse bool
	// positions are how far it has been told of each holder; one that is followed anew is told of from its beginning.
	positions map[*holder]uint64
	// untold is what did not fit the last messages.
	untold map[*holder]backlog
	// crashes is how far it has been told of the crashes that the agent knows.
	crashes uint64
	// permits is what it has been allotted of what a cold runner bears.
	permits permit.Share
	// quotas are what it has been allotted of what runners take that name a limit.
	quotas map[rillreach.InstanceID]*permit.Share
	told   bulletin.Bulletin
	toldAt time.Time
}

// next makes the next bulletin; worth says that it tells something new, or that the follower has heard nothing for long.
func (f *follower) next() (b bulletin.Bulletin, worth bool) {
	s, now := f.publisher.sidecar, time.Now()
	self := s.state.Roster.ByAddress(s.Settings.RunnerAddress)
	load, at, next := f.publisher.get()
	if self == nil || at.IsZero() {
		return b, false
	}
	run := self.Info().Run()
	if !reports(run, load) {
		load, next = unreported(load), rollout{}
	}
	b = bulletin.Bulletin{Runner: run.ID, Generation: run.Generation, Load: loadOf(load, next)}
	tellClock(&b, load.Clock, now.Sub(at), next, now)
	f.addState(&b)
	f.addCrashes(&b, s.now())
	limits := s.quotas.current(now)
	changed := f.addHolders(&b)
	if !changed && len(b.Crashes) == 0 && f.sameLimits(limits) && f.sameLoad(&b) && sameRevisions(f.told.Notices, b.Notices) && now.Sub(f.toldAt) < quietMost {
		return b, false
	}
	b.Permits = f.allot()
	b.Quotas = f.allotQuotas(now, limits)
	slim := b.DeltaFrom(&f.told)
	f.told, f.toldAt = b, now
	return slim, true
}

// loadOf is how the runner is, as followers are told.
func loadOf(load deployment.Load, next rollout) bulletin.Load {
	return bulletin.Load{
		Running: load.Running, Waiting: load.Waiting, UsedTokens: load.UsedTokens, AwaitingFirstEvent: load.AwaitingFirstEvent, Unresponsive: load.Unresponsive,
		LoadingWeights: next.loading, Leaving: load.Leaving, Weights: load.Weights,
	}
}

// tellClock adds the runners' clock, as it was read some time ago, and the start of the next load by it; nothing where the clock is not known.
func tellClock(b *bulletin.Bulletin, clock time.Time, ago time.Duration, next rollout, now time.Time) {
	if clock.IsZero() {
		return
	}
	b.Clock = clock.Add(ago).UnixMilli()
	if !next.start.IsZero() {
		b.Load.WeightLoadAt = b.Clock + next.start.Sub(now).Milliseconds()
	}
}

// addState adds what the agent knows of the object store.
func (f *follower) addState(b *bulletin.Bulletin) {
	s := f.publisher.sidecar
	b.DesiredWeights, b.Followers = s.state.AllNamedWeights(), int(f.publisher.followers.Load())
	if c := s.state.Config(); c != nil {
		name := c.ConfigVersion()
		b.Config = &name
	}
	b.WeightsFirstSeen = f.publisher.namings(b.Clock)
	b.Notices = f.publisher.notices()
}

// allot gives the follower its permits for the runner, whether that is cold or not: whoever sends to it knows that.
func (f *follower) allot() int {
	if f.sparse {
		return 0
	}
	p := f.publisher
	return p.permits.Allocate(time.Now(), &f.permits, int(p.sending.Load()), p.sidecar.slowStart().Rate())
}

// sameLoad reports that the runner is as the follower was told.
func (f *follower) sameLoad(b *bulletin.Bulletin) bool {
	was, is := f.told.Load, b.Load
	return f.told.Run() == b.Run() && was.Running == is.Running && was.Waiting == is.Waiting && was.LoadingWeights == is.LoadingWeights &&
		sameStart(was.WeightLoadAt, is.WeightLoadAt) &&
		was.AwaitingFirstEvent == is.AwaitingFirstEvent && was.Unresponsive == is.Unresponsive &&
		was.Leaving == is.Leaving && len(f.told.DesiredWeights) == len(b.DesiredWeights) && f.told.Followers == b.Followers
}

// sameRevisions reports that notices tell of no other changes than those before.
func sameRevisions(was, is []notify.Notice) bool {
	return slices.EqualFunc(was, is, func(a, b notify.Notice) bool { return a.Kind == b.Kind && a.Revision == b.Revision })
}

// sameStart reports that two starts on the runners' clock are one, which is worked out anew each time.
func sameStart(was, is int64) bool {
	return time.Duration(max(was, is)-min(was, is))*time.Millisecond < startMoved
}

// addCrashes adds the crashes that the follower hasn't been told of, as many as one bulletin takes.
func (f *follower) addCrashes(b *bulletin.Bulletin, now time.Time) {
	b.Crashes, f.crashes = f.publisher.sidecar.crashes.Since(now, f.crashes, mostCrashes)
}

func (f *follower) addHolders(b *bulletin.Bulletin) (changed bool) {
	s := f.publisher.sidecar
	// An entry of any zone may fetch from the runner: its link is faster than a store's, and reading a part again takes far longer
	// than twice a move.
	if !f.sparse && f.addHolder(b, s.own, nil) {
		changed = true
	}
	for _, k := range s.stores.owned(time.Now()) {
		if f.addHolder(b, k.holder, k.expired.Salts()) {
			changed = true
		}
	}
	return changed
}

// backlog is what a follower is still to be told of a holder.
type backlog struct {
	whole   bool
	changes []holdings.Change
}

const (
	// room is how many bytes of changes one bulletin takes: a message over 16 KB would be split on its way.
	room = 12 << 10
	// changeSize is what a change takes beside its two names, in bytes.
	changeSize = 16
	// mostCrashes is how many crashes one bulletin tells of, and crashSize what each takes in bytes.
	mostCrashes = 64
	crashSize   = 80
)

// addHolder adds what is new of a holder, as far as there is room; it reports whether there is anything new.
func (f *follower) addHolder(b *bulletin.Bulletin, h *holder, expired []string) bool {
	if !h.listed.Load() {
		return false
	}
	told := bulletin.CacheUpdate{Address: h.place, Store: h.store, Unreachable: h.down.Load(), ExpiringSalts: expired}
	rest, ok := f.unheard(h, b.Generation)
	if !ok {
		return false
	}
	news := rest.whole || len(rest.changes) > 0
	if !news && !h.store {
		return false // of a store it matters that its agent still speaks of it
	}
	if left := room - sizeOf(b); left > 0 {
		n := fitting(rest.changes, left)
		told.Snapshot, told.Changes = rest.whole, rest.changes[:n]
		rest = backlog{changes: rest.changes[n:]}
	}
	f.untold[h] = rest
	b.CacheUpdates = append(b.CacheUpdates, told)
	return news
}

// unheard is what the follower has not been told of a holder; it reports whether that is of the run that the bulletin speaks for.
func (f *follower) unheard(h *holder, generation rillreach.Generation) (backlog, bool) {
	before, known := f.positions[h]
	if !known {
		before = ^uint64(0) // a position that no tracker has reached, so that everything is told
	}
	changes, next, whole, ok := h.since(before, generation)
	if !ok {
		return backlog{}, false
	}
	f.positions[h] = next
	if whole {
		return backlog{whole: true, changes: changes}, true
	}
	rest := f.untold[h]
	rest.changes = append(rest.changes, changes...)
	return rest, true
}

// fitting is how many of the changes fit.
func fitting(changes []holdings.Change, room int) int {
	for n := range changes {
		room -= changeSize + len(changes[n].Key.Salt) + len(changes[n].Key.Part)
		if room < 0 {
			return n
		}
	}
	return len(changes)
}

// sizeOf is how many bytes the changes in a bulletin take.
func sizeOf(b *bulletin.Bulletin) int {
	size := len(b.Crashes) * crashSize
	for _, h := range b.CacheUpdates {
		for _, c := range h.Changes {
			size += changeSize + len(c.Key.Salt) + len(c.Key.Part)
		}
	}
	return size
}
