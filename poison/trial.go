package poison

import (
	"container/list"
	"slices"
	"time"
)

// Verdict determines whether a request may be sent to a runner.
type Verdict int

const (
	// VerdictSend means that the request may be sent.
	VerdictSend Verdict = iota
	// VerdictTrial means that the request is quarantined but may be sent this once, since runners have answered it before
	// or its crashes belong to an outage.
	VerdictTrial
	// VerdictQuarantine means that the request must not be sent.
	VerdictQuarantine
)

const (
	// initialTrialDelay is the delay between the last crash of a quarantined request and its first trial. Harmless
	// requests can be quarantined: a popular one is running on every runner of a service when these end together.
	initialTrialDelay = time.Second
	// trialBackoffFactor multiplies the delay after each trial that crashes its runner.
	trialBackoffFactor = 2
	// trialTimeout is the time after which a trial without a result is followed by another.
	trialTimeout = 5 * time.Second
)

// Decide returns whether a newly arrived request may be sent to a runner.
func (t *Tracker) Decide(now time.Time, f Fingerprint) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	switch {
	case !t.isQuarantined(now, f):
		return VerdictSend
	case !t.trialAllowed(now, f) || now.Before(t.trialDeadlines[f]) || now.Before(t.nextTrial(now, f)):
		return VerdictQuarantine
	}
	if t.trialDeadlines == nil {
		t.trialDeadlines = map[Fingerprint]time.Time{}
	}
	t.trialDeadlines[f] = now.Add(trialTimeout)
	return VerdictTrial
}

// CancelTrial makes the next request with the fingerprint a trial again, because the trial has reached no runner.
func (t *Tracker) CancelTrial(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.trialDeadlines, f)
}

// trialAllowed reports whether a quarantined request may be sent as a trial: runners have answered it before, or it
// would not be quarantined without the crashes that belong to an outage. The caller must hold the lock.
func (t *Tracker) trialAllowed(now time.Time, f Fingerprint) bool {
	if t.wasAnswered(f) {
		return true
	}
	outsideOutage := 0
	for _, e := range t.requests[f] {
		if r := e.Value.(*record); r.active(now) && !r.crash.Outage {
			outsideOutage++
		}
	}
	return outsideOutage < MaxCrashes
}

// WasAnswered reports whether runners have answered requests with the fingerprint, as far as this process or one that
// reported a crash of the request knows.
func (t *Tracker) WasAnswered(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.wasAnswered(f)
}

// wasAnswered implements WasAnswered. The caller must hold the lock.
func (t *Tracker) wasAnswered(f Fingerprint) bool {
	return t.answered.contains(f) || t.answeredParts.contains(f) || slices.ContainsFunc(t.requests[f], func(e *list.Element) bool { return e.Value.(*record).crash.Answered })
}

// nextTrial returns the time of the next trial of a request. The delay after the last crash grows with each trial that
// crashed its runner. The caller must hold the lock.
func (t *Tracker) nextTrial(now time.Time, f Fingerprint) time.Time {
	var last time.Time
	delay := initialTrialDelay
	for _, e := range t.requests[f] {
		r := e.Value.(*record)
		if r.at.After(last) {
			last = r.at
		}
		if r.crash.Trial && r.active(now) {
			delay = min(delay*trialBackoffFactor, Window)
		}
	}
	return last.Add(delay + t.TrialOffset)
}
