package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
)

// inTurn returns a handler that hands each request to the next of the runners.
func inTurn(runners ...*steppedRunner) http.HandlerFunc {
	var next atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) { runners[next.Add(1)-1].serve(w, r) }
}

// Guards against losing a stream whose first runner works, since it was given up for a second one that breaks off later, and
// the route allows no third one.
func TestRunnerNotAskedAgain(t *testing.T) {
	s := hedgedStream(t, 4)
	s.sendUntilCancelled(s.second, s.first)
	s.second.breakOff()
	s.again.await(s.again.reached, "the first runner was not asked again")
	s.again.complete()
	s.assertComplete()
}
