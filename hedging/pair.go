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

// The actions. KeepBoth changes nothing. Switch makes the other attempt go on with the answer and keeps this one. EndPrimary
// and EndHedge end one of the two attempts, so that the other one goes on.
const (
	KeepBoth   Action = "keep-both"
	Switch     Action = "switch"
	EndPrimary Action = "end-primary"
	EndHedge   Action = "end-hedge"
)

const (
	// MaxOverlap is how long two runners may work on one stream. The platform allows 400 ms, of which the rest is for the
	// link to the runner and for it to notice.
	MaxOverlap = 300 * time.Millisecond
	// steadyReads is the number of reads after which an attempt counts as going on. A runner that has sent data once may
	// have crashed right after it.
	steadyReads = 2
)

// Pair is the state of two concurrent attempts. Exported fields are set before use; the primary is active at first, and
// silent.
type Pair struct {
	// Relieving means that the primary's runner works but is to be relieved of the request. Otherwise it is silent.
	Relieving bool
	// WholeAnswer means that none of the answer is sent before it is complete. Both attempts then run until one of them is.
	WholeAnswer bool
	// Continuing means that the hedge was asked for the rest of a stream, of which the caller has part. Otherwise the
	// request may run at both runners until one of them has begun to answer.
	Continuing bool
	// Started is when the hedge was sent.
	Started time.Time

	active Attempt
	states [2]state
	// hedgeReady means that the hedge has answered and did not go on yet.
	hedgeReady bool
	// answered is set once the hedge has answered, and begunAt is when the first data of the two attempts arrived.
	answered bool
	begunAt  time.Time
}

// state is what is known of one attempt.
type state struct {
	// reads is the number of reads that have returned data since the attempt was last silent.
	reads int
	// ended is set once the attempt has failed or was ended for the other one.
	ended bool
}

// Evidence is what is known of the attempts that do not go on with the answer, whose data is not read.
type Evidence struct {
	// PrimaryHasData means that data of the primary waits to be read.
	PrimaryHasData bool
	// HedgeUsable means that the caller's stream can continue with the hedge's events, and that its connection is open.
	HedgeUsable bool
}

// Active returns the attempt that goes on with the answer.
func (p *Pair) Active() Attempt { return p.active }

// HasAnswered reports whether the hedge has answered.
func (p *Pair) HasAnswered() bool { return p.answered }

// PrimaryWorks reports whether the primary's runner is known to work on the request.
func (p *Pair) PrimaryWorks(e Evidence) bool {
	return p.Relieving || p.states[Primary].reads > 0 || e.PrimaryHasData
}

// HasEnded reports whether an attempt has failed or was ended for the other one.
func (p *Pair) HasEnded(a Attempt) bool { return p.states[a].ended }

// Received records that data of an attempt was read.
func (p *Pair) Received(now time.Time, from Attempt) {
	p.states[from].reads++
	if p.begunAt.IsZero() {
		p.begunAt = now
	}
}

// Answered decides once the hedge has data that can be sent on: the first event of a stream, or a whole answer.
func (p *Pair) Answered(now time.Time) Action {
	p.states[Hedge].reads = 0
	p.Received(now, Hedge)
	p.hedgeReady, p.answered = true, true
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
	if p.states[other].ended || !p.hedgeReady && !otherHasData {
		return KeepBoth
	}
	return p.switchOver()
}

// Failed decides after an attempt has failed. The other one goes on with the answer unless it has ended as well.
func (p *Pair) Failed(a Attempt) Action {
	p.states[a].ended = true
	if a != p.active || p.states[a.Other()].ended {
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

// Deadline returns when one of the attempts must be ended, at the latest. It returns false while both may go on.
func (p *Pair) Deadline() (time.Time, bool) {
	begun := p.begunAt
	if p.Continuing {
		begun = p.Started
	}
	if p.WholeAnswer || begun.IsZero() || p.states[Primary].ended || p.states[Hedge].ended {
		return time.Time{}, false
	}
	return begun.Add(MaxOverlap), true
}

// Expire decides which attempt is ended at the deadline, and does nothing before.
func (p *Pair) Expire(now time.Time, e Evidence) Action {
	deadline, limited := p.Deadline()
	if !limited || now.Before(deadline) {
		return KeepBoth
	}
	if p.hedgeGoesOn(e) {
		p.states[Primary].ended = true
		return EndPrimary
	}
	p.states[Hedge].ended = true
	return EndHedge
}

// hedgeGoesOn reports whether the hedge is the one that goes on if one of the attempts must be ended. An attempt that works
// is only ended for one that works. If both do, the one that continues the stream is left, and otherwise the one that is
// active.
func (p *Pair) hedgeGoesOn(e Evidence) bool {
	switch {
	case !p.answered:
		return !p.PrimaryWorks(e)
	case p.active == Primary:
		return p.Continuing && p.states[Hedge].reads > 0 && e.HedgeUsable
	default:
		return p.Relieving || p.states[Hedge].reads >= steadyReads || !e.PrimaryHasData
	}
}
