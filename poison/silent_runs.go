package poison

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
)

const (
	// presumeProbes is the number of probes in a row without a response after which a silent run is presumed to have ended.
	// A few may be lost on the way.
	presumeProbes = 4
	// restartNoticeTime is how long a run must be reachable again until it is no longer presumed to have ended: it takes a
	// heartbeat and a watch of the list until a later run at its address is known.
	restartNoticeTime = 2500 * time.Millisecond
	// maxSilence is how long the unanswered requests of a run are remembered that is not presumed to have ended. Machines
	// that go down may take a while to come back.
	maxSilence = 30 * time.Second
	// maxUnanswered bounds the unanswered requests that are remembered. The oldest are forgotten first.
	maxUnanswered = 1024
)

// Suspicion is what is held against one request because its run has ended.
type Suspicion struct {
	Request rillreach.RequestID
	// Crashes are those that are held against the request, and against the parts of its prompt.
	Crashes []Crash
}

// Unanswered is a request that a run has received and not answered completely when it was given up, while the run may have
// ended.
type Unanswered struct {
	// Suspicion is held against the request if the run has ended.
	Suspicion
	// Sent is when the request was sent, and GivenUp when its attempt ended.
	Sent    time.Time
	GivenUp time.Time
	// LastHeard is when the run had last sent anything by then. If it has ended, it did soon after that.
	LastHeard time.Time
}

// Response is how the address of a silent run responds to a probe.
type Response int

// The responses.
const (
	// NoResponse means that nothing was heard in time.
	NoResponse Response = iota
	// Accepted means that a process accepts connections, which is the run or a later one.
	Accepted
	// Refused means that no process does, so that the run has ended.
	Refused
)

// Findings are what has become known of silent runs.
type Findings struct {
	// Confirmed is held against requests whose runs have ended.
	Confirmed []Suspicion
	// Presumed is held against requests whose runs have probably ended, until it is withdrawn.
	Presumed []Suspicion
	// Withdrawn are runs whose presumed crashes no longer count.
	Withdrawn []rillreach.InstanceRun
	// Returned are runs that have not ended although their crashes were confirmed.
	Returned []rillreach.InstanceRun
}

// add adds other findings.
func (f *Findings) add(other Findings) {
	f.Confirmed = append(f.Confirmed, other.Confirmed...)
	f.Presumed = append(f.Presumed, other.Presumed...)
	f.Withdrawn = append(f.Withdrawn, other.Withdrawn...)
	f.Returned = append(f.Returned, other.Returned...)
}

// SilentRuns remembers unanswered requests until it is known whether their runs have ended, which may become known only by
// a later run of the same runner. The zero value is empty, and it is safe for concurrent use.
type SilentRuns struct {
	mu   sync.Mutex
	runs map[rillreach.InstanceRun]*silentRun
	// unanswered is the number of requests of all runs.
	unanswered int
}

// silentRun is a run with unanswered requests.
type silentRun struct {
	id         rillreach.InstanceRun
	unanswered []*unansweredRequest
	// failedProbes counts the latest probes in a row without a response.
	failedProbes int
	// reachableSince is since when the address responds, zero if it doesn't or if that is not known.
	reachableSince time.Time
	// presumed is set while the crashes of the run are presumed, and lapsed once they are confirmed because the list lacks
	// the run, too.
	presumed bool
	lapsed   bool
	unlisted bool
}

// unansweredRequest is an unanswered request, and how far its crashes are known.
type unansweredRequest struct {
	Unanswered
	presumed  bool
	confirmed bool
}

// Add remembers an unanswered request of a run.
func (s *SilentRuns) Add(now time.Time, run rillreach.InstanceRun, u Unanswered) Findings {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = map[rillreach.InstanceRun]*silentRun{}
	}
	if s.unanswered >= maxUnanswered {
		s.forgetOldest()
	}
	r := s.runs[run]
	if r == nil {
		r = &silentRun{id: run}
		s.runs[run] = r
	}
	s.unanswered++
	r.unanswered = append(r.unanswered, &unansweredRequest{Unanswered: u})
	r.reachableSince = time.Time{} // it is asked again, since it may have ended under this request
	return r.presume(now)
}

// Empty reports whether no unanswered requests are remembered.
func (s *SilentRuns) Empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs) == 0
}

// Update forgets what is too old, and returns the runs that remain and what has become known by the time that has passed.
func (s *SilentRuns) Update(now time.Time) ([]rillreach.InstanceRun, Findings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var f Findings
	for run, r := range s.runs {
		if r.isReachable(now) {
			f.add(r.takeBack())
		}
		if now.Sub(r.givenUp()) >= r.memory() {
			s.forget(run)
		}
	}
	return slices.Collect(maps.Keys(s.runs)), f
}

// NeedsProbe reports whether it is not known whether the address of a run responds, and when the last of its requests was
// given up.
func (s *SilentRuns) NeedsProbe(run rillreach.InstanceRun) (givenUp time.Time, needed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runs[run]
	if r == nil || !r.reachableSince.IsZero() || r.lapsed {
		return time.Time{}, false
	}
	return r.givenUp(), true
}

// Probed records the response to a probe of a run's address.
func (s *SilentRuns) Probed(now time.Time, run rillreach.InstanceRun, response Response) Findings {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runs[run]
	switch {
	case r == nil:
		return Findings{}
	case response == Refused:
		return s.confirm(now, r)
	case response == Accepted:
		r.failedProbes, r.reachableSince = 0, now
		return Findings{}
	default:
		r.failedProbes++
		return r.presume(now)
	}
}

// Heard records that a run has sent data on a connection that was opened at the given time. It has not ended under requests
// that were sent later and have been given up. Data on a newer connection may be that of a later run.
func (s *SilentRuns) Heard(run rillreach.InstanceRun, opened time.Time) Findings {
	return s.acquit(run, func(u Unanswered) bool { return opened.Before(u.Sent) })
}

// Alive records that a run was running at the given time, so that it has not ended under requests given up before.
func (s *SilentRuns) Alive(run rillreach.InstanceRun, at time.Time) Findings {
	return s.acquit(run, func(u Unanswered) bool { return u.GivenUp.Before(at) })
}

// acquit forgets requests of a run that has not ended under them.
func (s *SilentRuns) acquit(run rillreach.InstanceRun, has func(Unanswered) bool) Findings {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runs[run]
	if r == nil {
		return Findings{}
	}
	before := len(r.unanswered)
	r.unanswered = slices.DeleteFunc(r.unanswered, func(u *unansweredRequest) bool { return has(u.Unanswered) })
	s.unanswered -= before - len(r.unanswered)
	if len(r.unanswered) > 0 {
		return Findings{}
	}
	delete(s.runs, run)
	return r.takeBack()
}

// Listed records whether the list has the run.
func (s *SilentRuns) Listed(now time.Time, run rillreach.InstanceRun, listed bool) Findings {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runs[run]
	if r == nil {
		return Findings{}
	}
	r.unlisted = !listed
	if listed && r.lapsed {
		return r.takeBack()
	}
	return r.presume(now)
}

// Ended records that a run is known to have ended.
func (s *SilentRuns) Ended(now time.Time, run rillreach.InstanceRun) Findings {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runs[run]; r != nil {
		return s.confirm(now, r)
	}
	return Findings{}
}

// confirm returns the crashes of a run that has ended, and forgets it. The caller must hold the lock.
func (s *SilentRuns) confirm(now time.Time, r *silentRun) Findings {
	s.forget(r.id)
	return Findings{Confirmed: r.confirmed(now)}
}

// forget forgets a run. The caller must hold the lock.
func (s *SilentRuns) forget(run rillreach.InstanceRun) {
	s.unanswered -= len(s.runs[run].unanswered)
	delete(s.runs, run)
}

// forgetOldest forgets the run whose last request was given up first. The caller must hold the lock.
func (s *SilentRuns) forgetOldest() {
	oldest := slices.MinFunc(slices.Collect(maps.Values(s.runs)), func(a, b *silentRun) int { return a.givenUp().Compare(b.givenUp()) })
	s.forget(oldest.id)
}

// givenUp returns when the last of the requests was given up.
func (r *silentRun) givenUp() time.Time { return r.unanswered[len(r.unanswered)-1].GivenUp }

// memory returns how long the run is remembered after that.
func (r *silentRun) memory() time.Duration {
	if r.presumed {
		return Window
	}
	return maxSilence
}

// isReachable reports whether the address responds for so long that a later run would be known.
func (r *silentRun) isReachable(now time.Time) bool {
	return !r.reachableSince.IsZero() && now.Sub(r.reachableSince) >= restartNoticeTime
}

// takeBack returns that the run has not ended.
func (r *silentRun) takeBack() Findings {
	var f Findings
	if r.presumed {
		f.Withdrawn = []rillreach.InstanceRun{r.id}
	}
	if r.lapsed {
		f.Returned = []rillreach.InstanceRun{r.id}
	}
	r.presumed, r.lapsed, r.failedProbes = false, false, 0
	for _, u := range r.unanswered {
		u.presumed, u.confirmed = false, false
	}
	return f
}

// presume returns the crashes of a run that has probably ended. If the list lacks the run as well, it has.
func (r *silentRun) presume(now time.Time) Findings {
	if !r.presumed && r.failedProbes < presumeProbes {
		return Findings{}
	}
	r.presumed = true
	if r.unlisted {
		r.lapsed = true
		return Findings{Confirmed: r.confirmed(now)}
	}
	var f Findings
	for _, u := range r.unanswered {
		if !u.presumed {
			u.presumed = true
			f.Presumed = append(f.Presumed, u.suspicion(now))
		}
	}
	return f
}

// confirmed returns what is held against the requests of the run and has not been confirmed before.
func (r *silentRun) confirmed(now time.Time) []Suspicion {
	var suspicions []Suspicion
	for _, u := range r.unanswered {
		if !u.confirmed {
			u.confirmed = true
			suspicions = append(suspicions, u.suspicion(now))
		}
	}
	return suspicions
}

// suspicion returns what is held against the request if the run has ended.
func (u *unansweredRequest) suspicion(now time.Time) Suspicion {
	s := Suspicion{Request: u.Request, Crashes: slices.Clone(u.Crashes)}
	for i := range s.Crashes {
		s.Crashes[i].Age = max(0, now.Sub(u.LastHeard))
	}
	return s
}
