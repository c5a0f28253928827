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
	again := newSteppedRunner(t)
	s := &streamOfTwo{t: t, first: newSteppedRunner(t), second: newSteppedRunner(t)}
	s.world = silentWorld(t, inTurn(s.first, again), s.second.serve)
	t.Cleanup(s.world.stop)
	s.caller = s.world.dial(t)
	s.world.sendGet(t, s.caller, "/stream/x")
	s.first.sendEvents(4)
	s.assertReceived(4)
	s.second.await(s.second.reached, "the second runner was not tried")
	s.sendUntilCancelled(s.second, s.first)
	s.second.breakOff()
	again.await(again.reached, "the first runner was not asked again")
	again.complete()
	s.assertComplete()
}
