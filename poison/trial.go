package poison

import "time"

// Verdict says whether a request may be sent to a runner.
type Verdict int

// The verdicts.
const (
	// VerdictSend says that nothing speaks against it.
	VerdictSend Verdict = iota
	// VerdictTrial says that the request would be held back, but is sent once, since runners have answered it before.
	VerdictTrial
	// VerdictQuarantine says that it must not be sent.
	VerdictQuarantine
)

const (
	// firstTrial is how long after its last crash a request that runners have answered before is tried again: a popular one is under way at all
	// runners of a service that end together. trialGrowth is by how much each further crash multiplies the wait, and trialTimeout how long a
	// trial may take before the next.
	firstTrial   = time.Second
	trialGrowth  = 8
	trialTimeout = 5 * time.Second
)

// Decide says whether a request that has come may be sent to a runner.
func (t *Tracker) Decide(now time.Time, f Fingerprint) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	n := t.count(now, f)
	switch {
	case n < MostCrashes:
		return VerdictSend
	case !t.answered.has(f) || now.Before(t.trials[f]) || now.Sub(t.lastCrash(f)) < t.trialAfter(n):
		return VerdictQuarantine
	}
	if t.trials == nil {
		t.trials = map[Fingerprint]time.Time{}
	}
	t.trials[f] = now.Add(trialTimeout)
	return VerdictTrial
}

// trialAfter is how long after the last of so many crashes a request is tried.
func (t *Tracker) trialAfter(crashes int) time.Duration {
	wait := firstTrial
	for range crashes - MostCrashes {
		wait = min(wait*trialGrowth, Window)
	}
	return wait + t.Offset
}

// lastCrash is when the last run ended under the request; the lock is held.
func (t *Tracker) lastCrash(f Fingerprint) time.Time {
	var last time.Time
	for _, e := range t.requests[f] {
		if at := e.Value.(*record).at; at.After(last) {
			last = at
		}
	}
	return last
}
