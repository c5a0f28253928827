package poison

import (
	"maps"
	"slices"
	"time"

	"github.com/rillreach/rillreach"
)

const (
	// MaxPartCrashes is the number of crashes after which a part is quarantined. It exceeds MaxCrashes, since requests that
	// share a harmless part are more often there by coincidence than one request.
	MaxPartCrashes = 4
	// SuspectPartCrashes is the number of crashes after which a request with the part gets no second attempt.
	SuspectPartCrashes = 2
	// crashInterval is the time after a crash in which others count as part of it: runs that end at the same time probably
	// have one cause, and it takes up to half of this until each of them is known to have ended.
	crashInterval = 100 * time.Millisecond
	// BeginTime is how long a runner may take to crash once it has begun to answer a request with a fatal part. Requests
	// that it has been answering for longer are not the cause.
	BeginTime = time.Second
	// answeredPartHold is how long a part is held back, after a crash, that runners have answered before. Such a part may
	// belong to every request of a service whose runners crash for a reason of their own. One more crash then holds it
	// back again.
	answeredPartHold = 30 * time.Second
)

// QuarantinedPart returns a quarantined part of a prompt, if there is one, for a request of the given account. A part is
// held back for the accounts whose requests have crashed runners with it; for all others as well, once these are several.
// If it has never come without certain others, it is held back only together with them.
func (t *Tracker) QuarantinedPart(now time.Time, parts []Fingerprint, account Fingerprint) (Fingerprint, bool) {
	return t.findPart(now, parts, func(s *suspect) bool {
		return s.isQuarantined() && s.isHeld(now) && s.concerns(account) && s.isWithCompanions(parts)
	})
}

// SuspectedPart returns a part of a prompt, if there is one, that runners have never answered and that may crash those that
// begin to.
func (t *Tracker) SuspectedPart(now time.Time, parts []Fingerprint) (Fingerprint, bool) {
	return t.findPart(now, parts, func(s *suspect) bool { return !s.answered && s.unexplained >= SuspectPartCrashes })
}

// findPart returns the first of the parts that is suspected and for which the condition holds.
func (t *Tracker) findPart(now time.Time, parts []Fingerprint, condition func(*suspect) bool) (Fingerprint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.suspectedParts) == 0 {
		return Fingerprint{}, false
	}
	verdicts := t.judge(now)
	for _, part := range parts {
		if s := verdicts[part]; s != nil && condition(s) {
			return part, true
		}
	}
	return Fingerprint{}, false
}

// QuarantinedParts returns the quarantined parts and the runs that have ended under them.
func (t *Tracker) QuarantinedParts(now time.Time) map[Fingerprint][]rillreach.InstanceRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.suspectedParts) == 0 {
		return nil
	}
	quarantined := map[Fingerprint][]rillreach.InstanceRun{}
	for id, s := range t.judge(now) {
		if s.isPart() && s.isQuarantined() && s.isHeld(now) {
			quarantined[id] = slices.Collect(maps.Keys(s.runs))
		}
	}
	return quarantined
}

// RecordPartAnswers records that a runner has answered a request with the parts, or has been answering it for longer than
// BeginTime. It clears their crashes and returns those that counted until now.
func (t *Tracker) RecordPartAnswers(now time.Time, parts []Fingerprint) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	var cleared []Crash
	for _, part := range parts {
		t.answeredParts.add(now, part)
		cleared = append(cleared, t.clear(now, t.requests[part])...)
		delete(t.suspectedParts, part)
	}
	return cleared
}

// suspectPart returns what is held against a part, or nil if nothing is. The caller must hold the lock.
func (t *Tracker) suspectPart(now time.Time, part Fingerprint) *suspect {
	s := &suspect{id: part, accounts: map[Fingerprint]struct{}{}, answered: t.wasAnswered(part)}
	s.runs = t.endedRuns(part, func(r *record) bool {
		counts := r.active(now)
		if counts {
			s.accounts[r.crash.Account] = struct{}{}
			s.depth = max(s.depth, r.crash.Depth)
		}
		return counts
	})
	if len(s.runs) == 0 {
		return nil
	}
	return s
}
