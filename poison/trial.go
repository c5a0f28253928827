package poison

import (
	"container/list"
	"slices"
	"time"
)

// Verdict says whether a request may be sent to a runner.
type Verdict int

// The verdicts.
const (
	// VerdictSend says that nothing speaks against it.
	VerdictSend Verdict = iota
	// VerdictTrial says that the request would be held back, but is sent once, since runners have answered it before or its crashes are those of
	// an outage.
	VerdictTrial
	// VerdictQuarantine says that it must not be sent.
	VerdictQuarantine
)

const (
	// firstTrial is how long after its last crash a request that runners have answered before is tried again: a popular one is under way at all
	// runners of a service that end together. trialGrowth is by how much each trial that ends its runner multiplies the wait, and trialTimeout how
	// long a trial may take before the next.
	firstTrial   = time.Second
	trialGrowth  = 2
	trialTimeout = 5 * time.Second
)

// Decide says whether a request that has come may be sent to a runner.
func (t *Tracker) Decide(now time.Time, f Fingerprint) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	n := t.count(now, f)
	switch {
	case n < MaxCrashes:
		return VerdictSend
	case !t.mayBeTried(now, f) || now.Before(t.trials[f]) || now.Before(t.nextTrial(now, f)):
		return VerdictQuarantine
	}
	if t.trials == nil {
		t.trials = map[Fingerprint]time.Time{}
	}
	t.trials[f] = now.Add(trialTimeout)
	return VerdictTrial
}

// mayBeTried reports that something speaks for a request that would be held back: runners have answered it before, or without those of an
// outage its crashes would not be enough; the lock is held.
func (t *Tracker) mayBeTried(now time.Time, f Fingerprint) bool {
	if t.wasAnswered(f) {
		return true
	}
	alone := 0
	for _, e := range t.requests[f] {
		if r := e.Value.(*record); r.counts(now) && !r.crash.Outage {
			alone++
		}
	}
	return alone < MaxCrashes
}

// WasAnswered reports that runners have answered such requests.
func (t *Tracker) WasAnswered(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.wasAnswered(f)
}

// wasAnswered reports that runners have answered such requests, as far as this process or one that told of a crash knows; the lock is held.
func (t *Tracker) wasAnswered(f Fingerprint) bool {
	return t.answered.has(f) || slices.ContainsFunc(t.requests[f], func(e *list.Element) bool { return e.Value.(*record).crash.Answered })
}

// nextTrial is when a request may be tried: some time after its last crash, and longer after each trial that ended its runner; the lock is held.
func (t *Tracker) nextTrial(now time.Time, f Fingerprint) time.Time {
	var last time.Time
	wait := firstTrial
	for _, e := range t.requests[f] {
		r := e.Value.(*record)
		if r.at.After(last) {
			last = r.at
		}
		if r.crash.Trial && r.counts(now) {
			wait = min(wait*trialGrowth, Window)
		}
	}
	return last.Add(wait + t.TrialOffset)
}
