package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rillreach/rillreach"
)

// suspect is a request, or a part of prompts, under which runs have ended.
type suspect struct {
	id Fingerprint
	// runs are those that have ended. For a part, accounts are the client accounts whose requests with the part ran there,
	// and depth is its position in prompts, from 1 on; depth is zero for a request.
	runs     endedRuns
	accounts map[Fingerprint]struct{}
	depth    int
	// answered is set if runners have answered it.
	answered bool
	// unexplained is the number of crashes that no stronger suspect explains.
	unexplained int
	// companions are the other parts under which just the same runs have ended.
	companions []Fingerprint
}

// verdicts are what is held against all suspects at a version of the tracker, until the first crash expires.
type verdicts struct {
	version    uint64
	validUntil time.Time
	suspects   map[Fingerprint]*suspect
}

func (s *suspect) isPart() bool { return s.depth > 0 }

func (s *suspect) isQuarantined() bool {
	if s.isPart() {
		return s.unexplained >= MaxPartCrashes
	}
	return s.unexplained >= MaxCrashes
}

// isHeld reports whether a quarantined part is held back now.
func (s *suspect) isHeld(now time.Time) bool {
	if !s.answered {
		return true
	}
	for _, at := range s.runs {
		if now.Sub(at) < answeredPartHold {
			return true
		}
	}
	return false
}

// isWithCompanions reports whether the parts of a prompt include those that can't be told from this one.
func (s *suspect) isWithCompanions(parts []Fingerprint) bool {
	return !slices.ContainsFunc(s.companions, func(companion Fingerprint) bool { return !slices.Contains(parts, companion) })
}

// concerns reports whether the part is held back for requests of the account.
func (s *suspect) concerns(account Fingerprint) bool {
	_, ok := s.accounts[account]
	return ok || len(s.accounts) > 1
}

// judge returns what is held against the suspected parts, and against the requests with enough crashes to be quarantined.
// The caller must hold the lock.
func (t *Tracker) judge(now time.Time) map[Fingerprint]*suspect {
	v := &t.verdicts
	if v.suspects != nil && v.version == t.version && now.Before(v.validUntil) {
		return v.suspects
	}
	v.version, v.validUntil, v.suspects = t.version, now.Add(Window), map[Fingerprint]*suspect{}
	for _, s := range t.findSuspects(now) {
		v.suspects[s.id] = s
		for _, at := range s.runs {
			if expiry := at.Add(Window); expiry.Before(v.validUntil) {
				v.validUntil = expiry
			}
		}
	}
	explain(v.suspects)
	return v.suspects
}

// findSuspects returns the parts with crashes, and the requests with enough of them to be quarantined. The caller must hold
// the lock.
func (t *Tracker) findSuspects(now time.Time) []*suspect {
	var suspects []*suspect
	for part := range t.suspectedParts {
		if s := t.suspectPart(now, part); s != nil {
			suspects = append(suspects, s)
		}
	}
	for request, elements := range t.requests {
		if isPart := elements[0].Value.(*record).crash.Depth > 0; isPart || len(elements) < MaxCrashes {
			continue
		}
		runs := t.endedRuns(request, func(r *record) bool { return r.active(now) })
		if len(runs) >= MaxCrashes {
			suspects = append(suspects, &suspect{id: request, runs: runs, answered: t.wasAnswered(request)})
		}
	}
	return suspects
}

// explanation collects the runs that suspects explain.
type explanation struct {
	byParts, byRequests endedRuns
	// bySuspects are those that may be due to parts that runners have never answered.
	bySuspects endedRuns
}

// explain finds a small set of suspects that explains the ended runs. From the strongest one on, each that enough runs have
// ended under that are not explained yet explains all of its runs.
func explain(suspects map[Fingerprint]*suspect) {
	e := explanation{byParts: endedRuns{}, byRequests: endedRuns{}, bySuspects: endedRuns{}}
	ordered := slices.SortedFunc(maps.Values(suspects), compareStrength)
	for _, s := range ordered {
		if s.isPart() {
			e.explainPart(s)
			s.findCompanions(ordered)
		} else {
			e.explainRequest(s)
		}
	}
}

// findCompanions finds the parts that can't be told from a quarantined one, since no request had one of them alone.
func (s *suspect) findCompanions(suspects []*suspect) {
	if !s.isQuarantined() {
		return
	}
	for _, other := range suspects {
		if other != s && other.isPart() && other.answered == s.answered && len(other.runs) == len(s.runs) && len(other.runs.without(s.runs)) == 0 {
			s.companions = append(s.companions, other.id)
		}
	}
}

// explainPart counts the crashes of a part that no stronger suspect explains. Those of a part that runners have answered
// before are also explained by a part that they haven't, even if that is not quarantined yet.
func (e *explanation) explainPart(s *suspect) {
	rest := s.runs.without(e.byParts).without(e.byRequests)
	if s.answered {
		rest = rest.without(e.bySuspects)
	}
	s.unexplained = rest.countCrashes()
	if s.isQuarantined() {
		maps.Copy(e.byParts, s.runs)
	}
	if !s.answered && s.unexplained >= SuspectPartCrashes {
		maps.Copy(e.bySuspects, s.runs)
	}
}

// explainRequest counts the crashes of a request that no stronger part explains. Requests don't explain each other's.
func (e *explanation) explainRequest(s *suspect) {
	s.unexplained = len(s.runs.without(e.byParts))
	if s.isQuarantined() {
		maps.Copy(e.byRequests, s.runs)
	}
}

// compareStrength orders suspects, the strongest first: those that runners have never answered, then those that most runs
// have ended under, then requests, then parts that fewer prompts share because they come later.
func compareStrength(a, b *suspect) int {
	if a.answered != b.answered {
		if a.answered {
			return 1
		}
		return -1
	}
	if byRuns := cmp.Compare(len(b.runs), len(a.runs)); byRuns != 0 {
		return byRuns
	}
	if a.isPart() != b.isPart() {
		if a.isPart() {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(b.depth, a.depth), slices.Compare(a.id[:], b.id[:]))
}

// endedRuns are runs that have ended, and when.
type endedRuns map[rillreach.InstanceRun]time.Time

// hasGeneration reports whether any of the runner's runs has a known generation.
func (e endedRuns) hasGeneration(id rillreach.InstanceID) bool {
	for run := range e {
		if run.ID == id && run.Generation != 0 {
			return true
		}
	}
	return false
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
