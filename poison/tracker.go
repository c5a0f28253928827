package poison

import (
	"container/list"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
)

const (
	// MaxCrashes is how many runs may end under a request before it is held back. One is an accident, and an innocent request is at a second
	// crash where the runner that it moves to ends as well; a third is allowed since holding back what is innocent costs an answer for certain.
	MaxCrashes = 3
	// Window is for how long a crash counts. A request that is held back may be sent again once the first of its crashes is older: weights or
	// runners may have been mended meanwhile, and at the worst three runs end in each window.
	Window = 10 * time.Minute
	// DefaultLimit bounds the crashes that are remembered, some 1 MB. The end of a full runner brings 64 of them.
	DefaultLimit = 4096
)

// Tracker remembers under which requests runs have ended. Taking over the same crashes in another order, twice or late gives the same. Its
// zero value is ready, and it may be used by several goroutines.
type Tracker struct {
	// Limit is how many crashes are remembered; zero means DefaultLimit. Past it those go first that were cleared, then those of the
	// requests with the fewest crashes, the oldest before others.
	Limit int
	// TrialOffset is added to the wait before a trial; it differs from entry to entry, so that not all try at once.
	TrialOffset time.Duration

	mu       sync.Mutex
	requests map[Fingerprint][]*list.Element
	// changes holds a *record each, in the order in which they last changed.
	changes list.List
	version uint64
	// answered are the requests that runners have answered, trials until when one is being tried.
	answered answered
	trials   map[Fingerprint]time.Time
	// expires is when the old ones are looked for next.
	expires time.Time
}

// record is one crash that is remembered.
type record struct {
	crash   Crash
	at      time.Time
	version uint64
}

// Record takes over crashes, and returns how many of them were new.
func (t *Tracker) Record(now time.Time, crashes ...Crash) (added int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	for _, c := range crashes {
		if c.Age < Window && t.record(c, now.Add(-c.Age)) {
			added++
		}
	}
	if added > 0 && t.changes.Len() > t.limit() {
		t.shrink(now)
	}
	return added
}

// record takes over one crash, and reports whether it was new; the lock is held.
func (t *Tracker) record(c Crash, at time.Time) bool {
	if t.requests == nil {
		t.requests = map[Fingerprint][]*list.Element{}
	}
	for _, e := range t.requests[c.Request] {
		known := e.Value.(*record)
		if known.crash.Runner != c.Runner || known.crash.Generation != c.Generation {
			continue
		}
		if at.Before(known.at) {
			known.at = at // told twice, one of them later on its way
		}
		merged := known.crash.merge(c)
		if merged == known.crash {
			return false
		}
		known.crash = merged
		t.touch(e)
		return true
	}
	c.Age = 0
	e := t.changes.PushBack(&record{crash: c, at: at})
	t.touch(e)
	t.requests[c.Request] = append(t.requests[c.Request], e)
	return true
}

// touch makes a record the latest change; the lock is held.
func (t *Tracker) touch(e *list.Element) {
	t.version++
	e.Value.(*record).version = t.version
	t.changes.MoveToBack(e)
}

// RecordAnswer records that a runner has answered such a request, and returns the crashes that no longer count.
func (t *Tracker) RecordAnswer(now time.Time, f Fingerprint) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered.add(now, f)
	delete(t.trials, f)
	return t.clear(now, f)
}

// RecordProgress records that such a request has so much of its answer, in bytes, and returns the crashes that no longer count: one that was
// answered before, and now gets further than any that ended with its runner, has not ended them.
func (t *Tracker) RecordProgress(now time.Time, f Fingerprint, bytes int64) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.requests[f]) == 0 || !t.wasAnswered(f) {
		return nil
	}
	for _, e := range t.requests[f] {
		if e.Value.(*record).crash.Received >= bytes {
			return nil
		}
	}
	delete(t.trials, f)
	return t.clear(now, f)
}

// clear lifts the crashes of a request, and returns those that counted; the lock is held.
func (t *Tracker) clear(now time.Time, f Fingerprint) []Crash {
	var cleared []Crash
	for _, e := range t.requests[f] {
		r := e.Value.(*record)
		if r.crash.Cleared {
			continue
		}
		r.crash.Cleared = true
		t.touch(e)
		cleared = append(cleared, r.message(now))
	}
	return cleared
}

// Crashes is how many runs have ended under the request.
func (t *Tracker) Crashes(now time.Time, f Fingerprint) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return t.count(now, f)
}

// Quarantined reports that the request must not be sent to a runner, unless as a trial.
func (t *Tracker) Quarantined(now time.Time, f Fingerprint) bool {
	return t.Crashes(now, f) >= MaxCrashes
}

// count is how many runs have ended under the request; the lock is held. A run whose generation only some know counts once.
func (t *Tracker) count(now time.Time, f Fingerprint) int {
	known := t.requests[f]
	if len(known) == 0 {
		return 0
	}
	runs := map[rillreach.InstanceRun]bool{}
	for _, e := range known {
		if r := e.Value.(*record); r.counts(now) {
			runs[rillreach.InstanceRun{ID: r.crash.Runner, Generation: r.crash.Generation}] = true
		}
	}
	n := 0
	for run := range runs {
		if run.Generation != 0 || !hasGeneration(runs, run.ID) {
			n++
		}
	}
	return n
}

// hasGeneration reports that a run of the runner is there whose generation is known.
func hasGeneration(runs map[rillreach.InstanceRun]bool, id rillreach.InstanceID) bool {
	for run := range runs {
		if run.ID == id && run.Generation != 0 {
			return true
		}
	}
	return false
}

// counts reports that the crash is held against its request.
func (r *record) counts(now time.Time) bool { return !r.crash.Cleared && now.Sub(r.at) < Window }

// message is the crash as others are told of it now.
func (r *record) message(now time.Time) Crash {
	c := r.crash
	c.Age = max(0, now.Sub(r.at))
	return c
}

// Version is that of the last change; zero says that there was none.
func (t *Tracker) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Since returns the crashes that changed after a version, so many at the most and the first of them first, and the version to ask from next.
func (t *Tracker) Since(now time.Time, version uint64, most int) ([]Crash, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.changes.Back()
	if e == nil || e.Value.(*record).version <= version {
		return nil, max(version, t.version)
	}
	for e.Prev() != nil && e.Prev().Value.(*record).version > version {
		e = e.Prev()
	}
	var crashes []Crash
	for ; e != nil && len(crashes) < most; e = e.Next() {
		r := e.Value.(*record)
		version = r.version
		if now.Sub(r.at) < Window {
			crashes = append(crashes, r.message(now))
		}
	}
	return crashes, version
}

// Empty reports that no crash is remembered, so that no request needs to be looked up.
func (t *Tracker) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes.Len() == 0
}

// Counts are how many requests are under suspicion, and how many of these are held back.
func (t *Tracker) Counts(now time.Time) (suspects, quarantined int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f := range t.requests {
		n := t.count(now, f)
		if n > 0 {
			suspects++
		}
		if n >= MaxCrashes {
			quarantined++
		}
	}
	return suspects, quarantined
}
