package poison

import (
	"container/list"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
)

const (
	// MaxCrashes is the number of crashes after which a request is quarantined. One crash is likely a coincidence, and a
	// harmless request can meet a second one if the runner that it is retried on ends as well. A third is allowed since
	// quarantining a harmless request denies it a response for certain.
	MaxCrashes = 3
	// Window is how long a crash counts. A quarantined request may be sent again once its first crash is older: the
	// weights or the runners may have been fixed since, and in the worst case it crashes three runs per Window.
	Window = 10 * time.Minute
	// DefaultLimit is the default maximum number of recorded crashes. They take about 1 MB. A fully loaded runner that
	// ends adds 64 of them.
	DefaultLimit = 4096
)

// Tracker records which requests were running when runs ended. Recording the same crashes in another order, repeatedly
// or late gives the same state. The zero value is ready to use, and it is safe for concurrent use.
type Tracker struct {
	// Limit is the maximum number of recorded crashes; zero means DefaultLimit. Above it, cleared crashes are evicted
	// first, then those of the requests with the fewest crashes. Among equals, the oldest go first.
	Limit int
	// TrialOffset is added to the delay before a trial. It differs between entries so that they do not all send a trial
	// at the same time.
	TrialOffset time.Duration

	mu       sync.Mutex
	requests map[Fingerprint][]*list.Element
	// records contains *record values, least recently changed first.
	records list.List
	version uint64
	// answered and answeredParts contain the requests and the parts of prompts that runners have answered.
	answered      answeredSet
	answeredParts answeredSet
	// suspectedParts are the parts of prompts with crashes that were not cleared.
	suspectedParts map[Fingerprint]struct{}
	verdicts       verdicts
	// trialDeadlines contains the time until which no further trial of a request may start.
	trialDeadlines map[Fingerprint]time.Time
	// nextExpiry is the time of the next search for expired crashes.
	nextExpiry time.Time
}

// record is a recorded crash, its time and the tracker's version at its last change. It is presumed as long as it is not
// certain that the run has ended.
type record struct {
	crash    Crash
	at       time.Time
	version  uint64
	presumed bool
}

// Record records crashes and returns how many of them were new or changed what was known.
func (t *Tracker) Record(now time.Time, crashes ...Crash) (added int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recordAll(now, crashes, false)
}

// Presume records crashes of runs that have probably ended. They count until they are withdrawn, and other processes are not
// told of them.
func (t *Tracker) Presume(now time.Time, crashes ...Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordAll(now, crashes, true)
}

// recordAll records crashes and returns how many of them were new or changed what was known. The caller must hold the lock.
func (t *Tracker) recordAll(now time.Time, crashes []Crash, presumed bool) (added int) {
	t.expire(now)
	for _, c := range crashes {
		if c.Age < Window && t.record(c, now.Add(-c.Age), presumed) {
			added++
		}
	}
	if added > 0 && t.records.Len() > t.limit() {
		t.evict(now)
	}
	return added
}

// Withdraw removes the presumed crashes of a run that has probably not ended.
func (t *Tracker) Withdraw(run rillreach.InstanceRun) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.elementsOf(run) {
		if e.Value.(*record).presumed {
			t.version++ // the verdicts no longer hold
			t.remove(e)
		}
	}
}

// ClearRun clears the crashes of a run that has not ended, and returns those that counted until now.
func (t *Tracker) ClearRun(now time.Time, run rillreach.InstanceRun) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clear(now, t.elementsOf(run))
}

// elementsOf returns the crashes of a run. The caller must hold the lock.
func (t *Tracker) elementsOf(run rillreach.InstanceRun) []*list.Element {
	var elements []*list.Element
	for e := t.records.Front(); e != nil; e = e.Next() {
		if e.Value.(*record).crash.run() == run {
			elements = append(elements, e)
		}
	}
	return elements
}

// record records one crash and reports whether it was new or changed what was known. The caller must hold the lock.
func (t *Tracker) record(c Crash, at time.Time, presumed bool) bool {
	if t.requests == nil {
		t.requests = map[Fingerprint][]*list.Element{}
	}
	for _, e := range t.requests[c.Request] {
		existing := e.Value.(*record)
		if !existing.crash.isSame(c) {
			continue
		}
		if at.Before(existing.at) {
			existing.at = at // the report with the earlier time was delayed less
		}
		merged, certain := existing.crash.merge(c), existing.presumed && !presumed
		if merged == existing.crash && !certain {
			return false
		}
		existing.crash, existing.presumed = merged, existing.presumed && presumed
		t.markChanged(e)
		return true
	}
	c.Age = 0
	e := t.records.PushBack(&record{crash: c, at: at, presumed: presumed})
	t.markChanged(e)
	t.requests[c.Request] = append(t.requests[c.Request], e)
	t.suspectPartOf(c)
	return true
}

// ClearAnswered returns the crashes, of which those are cleared whose request or part runners have answered since.
func (t *Tracker) ClearAnswered(now time.Time, crashes []Crash) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	checked := slices.Clone(crashes)
	for i, c := range checked {
		checked[i].Cleared = c.Cleared || t.answeredSince(c, now.Add(-c.Age))
	}
	return checked
}

// answeredSince reports whether runners have answered what a crash is held against since the time of the crash. The caller
// must hold the lock.
func (t *Tracker) answeredSince(c Crash, at time.Time) bool {
	answered := &t.answered
	if c.Depth > 0 {
		answered = &t.answeredParts
	}
	return answered.last(c.Request).After(at)
}

// suspectPartOf makes the part that a new crash is about a suspect. The caller must hold the lock.
func (t *Tracker) suspectPartOf(c Crash) {
	if c.Depth == 0 || c.Cleared {
		return
	}
	if t.suspectedParts == nil {
		t.suspectedParts = map[Fingerprint]struct{}{}
	}
	t.suspectedParts[c.Request] = struct{}{}
}

// markChanged assigns the next version to a record. The caller must hold the lock.
func (t *Tracker) markChanged(e *list.Element) {
	t.version++
	e.Value.(*record).version = t.version
	t.records.MoveToBack(e)
}

// RecordAnswer records that a runner has answered a request with the fingerprint. It clears the request's crashes and
// returns those that counted until now.
func (t *Tracker) RecordAnswer(now time.Time, f Fingerprint) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered.add(now, f)
	delete(t.trialDeadlines, f)
	return t.clear(now, t.requests[f])
}

// RecordProgress records how many bytes of its response a request has received. A request that was answered before, and
// now gets further than at any of its crashes, did not cause them: RecordProgress then clears the crashes and returns
// those that counted until now.
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
	delete(t.trialDeadlines, f)
	return t.clear(now, t.requests[f])
}

// clear clears crashes and returns those that counted until now. The caller must hold the lock.
func (t *Tracker) clear(now time.Time, elements []*list.Element) []Crash {
	var cleared []Crash
	for _, e := range elements {
		r := e.Value.(*record)
		if r.crash.Cleared {
			continue
		}
		r.crash.Cleared = true
		t.markChanged(e)
		cleared = append(cleared, r.message(now))
	}
	return cleared
}

// Crashes returns the number of runs that have ended while they processed the request, without cleared and expired
// ones.
func (t *Tracker) Crashes(now time.Time, f Fingerprint) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return t.activeRuns(now, f)
}

// Quarantined reports whether the request must not be sent to a runner except as a trial.
func (t *Tracker) Quarantined(now time.Time, f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return t.isQuarantined(now, f)
}

// isQuarantined implements Quarantined. The caller must hold the lock.
func (t *Tracker) isQuarantined(now time.Time, f Fingerprint) bool {
	if len(t.requests[f]) < MaxCrashes {
		return false
	}
	s := t.judge(now)[f]
	return s != nil && s.isQuarantined()
}

// activeRuns returns the number of runs with active crashes of the request. A crash without a generation counts only if
// no crash of the same runner has one, since the reports may be about the same run. The caller must hold the lock.
func (t *Tracker) activeRuns(now time.Time, f Fingerprint) int {
	if len(t.requests[f]) == 0 {
		return 0
	}
	return len(t.endedRuns(f, func(r *record) bool { return r.active(now) }))
}

// endedRuns returns the runs with those crashes of a request or a part that count. The caller must hold the lock.
func (t *Tracker) endedRuns(f Fingerprint, counts func(*record) bool) endedRuns {
	runs := endedRuns{}
	for _, e := range t.requests[f] {
		if r := e.Value.(*record); counts(r) {
			runs[r.crash.run()] = r.at
		}
	}
	maps.DeleteFunc(runs, func(run rillreach.InstanceRun, _ time.Time) bool {
		return run.Generation == 0 && runs.hasGeneration(run.ID)
	})
	return runs
}

// active reports whether the crash counts against its request.
func (r *record) active(now time.Time) bool { return !r.crash.Cleared && now.Sub(r.at) < Window }

// message returns the crash with its current age, for sending to other processes.
func (r *record) message(now time.Time) Crash {
	c := r.crash
	c.Age = max(0, now.Sub(r.at))
	return c
}

// Version returns the version of the last change, or zero if there was none.
func (t *Tracker) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Since returns up to limit crashes that changed after a version, least recently changed first, and the version for the
// next call.
func (t *Tracker) Since(now time.Time, version uint64, limit int) ([]Crash, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records.Back()
	if e == nil || e.Value.(*record).version <= version {
		return nil, max(version, t.version)
	}
	for e.Prev() != nil && e.Prev().Value.(*record).version > version {
		e = e.Prev()
	}
	var crashes []Crash
	for ; e != nil && len(crashes) < limit; e = e.Next() {
		r := e.Value.(*record)
		version = r.version
		if now.Sub(r.at) < Window && !r.presumed {
			crashes = append(crashes, r.message(now))
		}
	}
	return crashes, version
}

// Empty reports whether no crashes are recorded. Callers can then skip computing fingerprints.
func (t *Tracker) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records.Len() == 0
}

// Counts returns the number of requests with active crashes, and how many of these are quarantined. Parts of prompts are
// not counted.
func (t *Tracker) Counts(now time.Time) (suspects, quarantined int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, elements := range t.requests {
		if elements[0].Value.(*record).crash.Depth > 0 {
			continue
		}
		n := t.activeRuns(now, f)
		if n > 0 {
			suspects++
		}
		if t.isQuarantined(now, f) {
			quarantined++
		}
	}
	return suspects, quarantined
}
