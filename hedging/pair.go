// Package hedging decides which of two concurrent attempts of a request goes on with its answer, and when the other one
// is ended.
//
// The package does no I/O.
package hedging

import "time"

// Attempt is one of the two attempts of a pair.
type Attempt int

// The attempts of a pair: the one that was made first, and the hedge that was started beside it.
const (
	Primary Attempt = iota
	Hedge
)

// Other returns the other attempt of the pair.
func (a Attempt) Other() Attempt { return Hedge - a }

// Action is what a decision asks for.
type Action string

// The actions. KeepBoth changes nothing. Switch makes the other attempt go on with the answer and keeps this one. EndOther
// ends the attempt that does not go on with the answer.
const (
	KeepBoth Action = "keep-both"
	Switch   Action = "switch"
	EndOther Action = "end-other"
)

const (
	// steadyReads is the number of reads after which an attempt is relied on alone. A runner that has sent data once may
	// have crashed right after it.
	steadyReads = 2
	// SteadyTime is how long an attempt must have gone on without a pause before it is relied on alone instead of a
	// silent one. Data that a runner sent before it crashed may arrive that much later than sent, and the end of the
	// connection after it.
	SteadyTime = time.Second
	// RelievedSteadyTime is the same for an attempt that goes on instead of a working one, whose runner waits for its end.
	RelievedSteadyTime = 300 * time.Millisecond
)

// Pair is the state of two concurrent attempts. The zero value is the state at the start of a hedge, with the primary
// active and silent.
type Pair struct {
	// Relieving means that the primary's runner works but is to be relieved of the request. Otherwise it is silent.
	Relieving bool
	// WholeAnswer means that none of the answer is sent before it is complete.
	WholeAnswer bool

	active Attempt
	states [2]state
	// hedgeReady means that the hedge has answered and did not go on yet.
	hedgeReady bool
}

// state is what is known of one attempt.
type state struct {
	// reads is the number of reads that have returned data since the attempt was last silent, and since the time of the
	// first of them.
	reads  int
	since  time.Time
	failed bool
}

// Active returns the attempt that goes on with the answer.
func (p *Pair) Active() Attempt { return p.active }

// Received decides after data of an attempt was read. Open reports whether the connection is then known to be open with
// nothing left to read, so that the runner has not ended right after the data.
func (p *Pair) Received(now time.Time, from Attempt, open bool) Action {
	s := &p.states[from]
	s.add(now)
	if from != p.active || p.WholeAnswer || !open || !p.isSteady(now, s) {
		return KeepBoth
	}
	if p.Relieving && from == Primary {
		return KeepBoth
	}
	return EndOther
}

// add records a read that has returned data.
func (s *state) add(now time.Time) {
	if s.reads == 0 {
		s.since = now
	}
	s.reads++
}

// isSteady reports whether an attempt can be relied on alone.
func (p *Pair) isSteady(now time.Time, s *state) bool {
	needed := SteadyTime
	if p.Relieving {
		needed = RelievedSteadyTime
	}
	return s.reads >= steadyReads && now.Sub(s.since) >= needed
}

// Answered decides once the hedge has data that can be sent on: the first event of a stream, or a whole answer.
func (p *Pair) Answered(now time.Time) Action {
	p.states[Hedge].reads = 0
	p.states[Hedge].add(now)
	p.hedgeReady = true
	primaryContinues := p.states[Primary].reads > 0 && !p.Relieving && !p.WholeAnswer
	if p.active == Hedge || primaryContinues {
		return KeepBoth
	}
	return p.switchOver()
}

// Silent decides once the active attempt has been silent for too long. OtherHasData reports whether data of the other one
// is waiting to be read.
func (p *Pair) Silent(otherHasData bool) Action {
	p.states[p.active].reads = 0
	other := p.active.Other()
	if p.states[other].failed || !p.hedgeReady && !otherHasData {
		return KeepBoth
	}
	return p.switchOver()
}

// Failed decides after an attempt has failed. The other one goes on with the answer unless it has failed as well.
func (p *Pair) Failed(a Attempt) Action {
	p.states[a].failed = true
	if a != p.active || p.states[a.Other()].failed {
		return KeepBoth
	}
	return p.switchOver()
}

func (p *Pair) switchOver() Action {
	p.active, p.hedgeReady = p.active.Other(), false
	if p.active == Primary {
		p.Relieving = false // the hedge has not relieved it
	}
	return Switch
}
