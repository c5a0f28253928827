package poison

import (
	"cmp"
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
	// answeredPartWindow is how long a crash counts against a part that runners have answered before. Such a part may
	// belong to every request of a service whose runners crash for a reason of their own.
	answeredPartWindow = 30 * time.Second
	// partCheckInterval is how long the verdicts on parts hold if no crash changes, since crashes expire.
	partCheckInterval = time.Second
)

// partVerdicts are the verdicts on the suspected parts, by the tracker's version and the time at which they were made.
type partVerdicts struct {
	version    uint64
	validUntil time.Time
	byPart     map[Fingerprint]*suspectedPart
}

// suspectedPart is a part under which runs have ended.
type suspectedPart struct {
	part Fingerprint
	// runs are those that have ended, accounts the client accounts whose requests with the part ran there.
	runs     endedRuns
	accounts map[Fingerprint]struct{}
	answered bool
	depth    int
	// unexplained is the number of crashes, at least crashInterval apart, of runs that no stronger suspect explains.
	unexplained int
}

// QuarantinedPart returns a quarantined part of a prompt, if there is one, for a request of the given account. A part is
// held back for the accounts whose requests have crashed runners with it; for all others as well, once these are several.
func (t *Tracker) QuarantinedPart(now time.Time, parts []Fingerprint, account Fingerprint) (Fingerprint, bool) {
	return t.findPart(now, parts, func(s *suspectedPart) bool { return s.isQuarantined() && s.concerns(account) })
}

// SuspectedPart returns a part of a prompt, if there is one, that runners have never answered and that may crash those that
// begin to.
func (t *Tracker) SuspectedPart(now time.Time, parts []Fingerprint) (Fingerprint, bool) {
	return t.findPart(now, parts, func(s *suspectedPart) bool { return !s.answered && s.unexplained >= SuspectPartCrashes })
}

// findPart returns the first of the parts that is suspected and for which the condition holds.
func (t *Tracker) findPart(now time.Time, parts []Fingerprint, condition func(*suspectedPart) bool) (Fingerprint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.suspectedParts) == 0 {
		return Fingerprint{}, false
	}
	verdicts := t.judgeParts(now)
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
	for part, s := range t.judgeParts(now) {
		if !s.isQuarantined() {
			continue
		}
		for run := range s.runs {
			quarantined[part] = append(quarantined[part], run)
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
		cleared = append(cleared, t.clear(now, part)...)
		delete(t.suspectedParts, part)
	}
	return cleared
}

func (s *suspectedPart) isQuarantined() bool { return s.unexplained >= MaxPartCrashes }

// concerns reports whether the part is held back for requests of the account.
func (s *suspectedPart) concerns(account Fingerprint) bool {
	_, ok := s.accounts[account]
	return ok || len(s.accounts) > 1
}

// judgeParts returns the verdicts on the suspected parts. The caller must hold the lock.
func (t *Tracker) judgeParts(now time.Time) map[Fingerprint]*suspectedPart {
	v := &t.partVerdicts
	if v.byPart != nil && v.version == t.version && now.Before(v.validUntil) {
		return v.byPart
	}
	v.version, v.validUntil, v.byPart = t.version, now.Add(partCheckInterval), map[Fingerprint]*suspectedPart{}
	for part := range t.suspectedParts {
		if s := t.suspectPart(now, part); s != nil {
			v.byPart[part] = s
		}
	}
	explain(v.byPart, t.runsOfQuarantinedRequests(now))
	return v.byPart
}

// suspectPart returns what is held against a part, or nil if nothing is. The caller must hold the lock.
func (t *Tracker) suspectPart(now time.Time, part Fingerprint) *suspectedPart {
	s := &suspectedPart{part: part, accounts: map[Fingerprint]struct{}{}, answered: t.wasAnswered(part)}
	s.runs = t.endedRuns(part, func(r *record) bool {
		counts := r.countsAgainstPart(now, s.answered)
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

// countsAgainstPart reports whether the crash counts against its part.
func (r *record) countsAgainstPart(now time.Time, answered bool) bool {
	return r.active(now) && (!answered || now.Sub(r.at) < answeredPartWindow)
}

// runsOfQuarantinedRequests returns the runs that have ended under requests that are quarantined themselves. The caller
// must hold the lock.
func (t *Tracker) runsOfQuarantinedRequests(now time.Time) endedRuns {
	all := endedRuns{}
	for f, elements := range t.requests {
		if elements[0].Value.(*record).crash.Depth > 0 || len(elements) < MaxCrashes {
			continue
		}
		if runs := t.endedRuns(f, func(r *record) bool { return r.active(now) }); len(runs) >= MaxCrashes {
			maps.Copy(all, runs)
		}
	}
	return all
}

// explain finds a small set of parts that explains the ended runs: from the strongest suspect on, each one that enough runs
// have ended under that are not explained yet explains all of its runs.
func explain(suspects map[Fingerprint]*suspectedPart, explained endedRuns) {
	ordered := make([]*suspectedPart, 0, len(suspects))
	for _, s := range suspects {
		ordered = append(ordered, s)
	}
	slices.SortFunc(ordered, compareStrength)
	for _, s := range ordered {
		s.unexplained = s.runs.without(explained).countCrashes()
		if s.isQuarantined() {
			maps.Copy(explained, s.runs)
		}
	}
}

// compareStrength orders suspects, the strongest first: those that runners have never answered, then those that most runs
// have ended under, then those that fewer prompts share because they come later.
func compareStrength(a, b *suspectedPart) int {
	if a.answered != b.answered {
		if a.answered {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(len(b.runs), len(a.runs)), cmp.Compare(b.depth, a.depth), slices.Compare(a.part[:], b.part[:]))
}

// without returns the runs that are not among others.
func (e endedRuns) without(others endedRuns) endedRuns {
	rest := maps.Clone(e)
	maps.DeleteFunc(rest, func(run rillreach.InstanceRun, _ time.Time) bool {
		_, ok := others[run]
		return ok
	})
	return rest
}

// countCrashes returns the number of crashes that are at least crashInterval apart.
func (e endedRuns) countCrashes() int {
	n := 0
	var last time.Time
	for _, at := range slices.SortedFunc(maps.Values(e), time.Time.Compare) {
		if n == 0 || at.Sub(last) >= crashInterval {
			n, last = n+1, at
		}
	}
	return n
}
