package rollout

import (
	"sync"
	"time"
)

const (
	// minBadAnswers is the least number of bad answers on which a version is judged, and badFactor how many times more
	// of its answers must be bad than of the current version.
	minBadAnswers = 3
	badFactor     = 3
	// priorAnswers and priorBad stand for earlier answers of the current version, so that its rate of bad answers is
	// defined from the start.
	priorAnswers = 20
	priorBad     = 1
	// An answer is slow if it takes slowFactor times the expected time and minSlowExcess more than that.
	slowFactor    = 3
	minSlowExcess = 30 * time.Millisecond
	// minLatencySamples is the number of answers of the current version from which its latency is known.
	minLatencySamples = 5
)

// Answer is the outcome of one request at a runner of either version.
type Answer struct {
	// Route is the name of the request's route.
	Route string
	// Target reports whether the runner has the target version.
	Target bool
	// Failed reports that the runner failed the request.
	Failed bool
	// Latency is the time to the start of the answer, and Predicted the time that was predicted for this request, zero
	// if there is no prediction.
	Latency   time.Duration
	Predicted time.Duration
}

// Evidence compares the answers of the two versions. The zero value has none. It is safe for concurrent use.
type Evidence struct {
	mu      sync.Mutex
	total   comparison
	byRoute map[string]*comparison
}

// comparison holds the answers of both versions, and the total latency of those of the current version that succeeded.
type comparison struct {
	current, target outcomes
	latency         time.Duration
}

// outcomes counts answers.
type outcomes struct {
	answers, bad, failed int
}

// Record adds an answer.
func (e *Evidence) Record(a Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byRoute == nil {
		e.byRoute = map[string]*comparison{}
	}
	route := e.byRoute[a.Route]
	if route == nil {
		route = &comparison{}
		e.byRoute[a.Route] = route
	}
	bad := a.Failed || route.isSlow(a)
	route.add(a, bad)
	e.total.add(a, bad)
}

// isSlow reports whether the answer took much longer than those of the current version on the same route and than was
// predicted for it.
func (c *comparison) isSlow(a Answer) bool {
	succeeded := c.current.answers - c.current.failed
	if succeeded < minLatencySamples {
		return false
	}
	expected := max(a.Predicted, c.latency/time.Duration(succeeded))
	return a.Latency > slowFactor*expected && a.Latency-expected > minSlowExcess
}

func (c *comparison) add(a Answer, bad bool) {
	o := &c.current
	if a.Target {
		o = &c.target
	}
	o.answers++
	if bad {
		o.bad++
	}
	if a.Failed {
		o.failed++
	} else if !a.Target {
		c.latency += a.Latency
	}
}

// targetIsBad reports whether the target version gives far more bad answers than the current one.
func (c *comparison) targetIsBad() bool {
	currentRate := float64(c.current.bad+priorBad) / float64(c.current.answers+priorAnswers)
	expected := currentRate * float64(c.target.answers)
	return c.target.bad >= minBadAnswers && float64(c.target.bad) >= badFactor*expected
}

// TargetIsBad reports whether the target version is bad, on all routes together or on a single one.
func (e *Evidence) TargetIsBad() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.total.targetIsBad() {
		return true
	}
	for _, route := range e.byRoute {
		if route.targetIsBad() {
			return true
		}
	}
	return false
}

// TargetAnswers returns the number of answers of the target version, and how many of them were bad.
func (e *Evidence) TargetAnswers() (answers, bad int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.total.target.answers, e.total.target.bad
}
