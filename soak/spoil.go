package main

import (
	"net/http"
	"sync"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// faultSpoil is drawn only together with the other spoilFaults.
const faultSpoil fault = "runner spoils some of its answers"

// spoilFaults are the faults under which nothing that a runner has not sealed may reach a caller or fill an entry's memory.
var spoilFaults = []fault{
	faultSpoil, faultSpoil, faultSpoil, faultSpoil, faultKill, faultPause, faultStop, faultStopAll, faultAgentKill, faultAgentPause, faultCrash, faultEngineCrash, faultReset, faultStoreSilent, faultWeights,
}

// spoilsOneOf is the number of answers of which a runner spoils one.
const spoilsOneOf = 4

// spoiler spoils answers of a runner for some time. Its zero value spoils none.
type spoiler struct {
	mu    sync.Mutex
	until time.Time
}

// spoilFor spoils some answers for the given time.
func (s *spoiler) spoilFor(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = time.Now().Add(d)
}

// handle runs a request whose answer is spoiled, and reports whether it is one.
func (s *spoiler) handle(l *eventLog, started execution, w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	spoils := time.Now().Before(s.until)
	s.mu.Unlock()
	sum := idHash(started.ID + started.Runner)
	if !spoils || sum%spoilsOneOf != 0 {
		return false
	}
	started.Spoiled = true
	open := l.beginExecution(started)
	defer open.end(false)
	if waitOrCanceled(r, workTime) {
		site.WriteSpoiled(w, r, int(sum/spoilsOneOf%uint64(site.SpoiledForms())))
	}
	return true
}

// injectSpoil makes a plain runner or an engine spoil some of its answers.
func (c *cluster) injectSpoil(a action, p *plainRunner, n *engine) {
	control, name := &p.spoiler, p.name()
	if a.Target%2 == 1 {
		control, name = &n.spoiler, n.name()
	}
	c.recordRunnerFault(name, a.Duration)
	control.spoilFor(a.Duration)
	c.schedule(a.Duration, func() {})
}
