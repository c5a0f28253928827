package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/deployment"
)

const (
	repeatRatio  = 0.2
	repeatWindow = 10 * time.Second
	repeatSlack  = 100
	// repeatStep is the time between two requests.
	repeatStep = 10 * time.Millisecond
	// repeatPlay is how long requests come.
	repeatPlay = 24 * time.Second
)

// repeatPlayers is a number of entries that get requests in turn, on a clock of the test's own. Each request wants one
// repeat as long as repeats are wanted.
type repeatPlayers struct {
	now     time.Time
	entries []*Gateway
	// wanted is whether requests fail at their first runner, and target the index of the entry that gets the next request.
	wanted bool
	target int
	// wait is whether repeats wait after they were decided on, for room at a runner, and waiting those that do.
	wait    bool
	waiting []func()
	// requests and repeats are the times of those so far.
	requests, repeats []time.Time
}

func newRepeatPlayers(entries int) *repeatPlayers {
	p := &repeatPlayers{now: time.Unix(1_790_000_000, 0), wanted: true}
	for range entries {
		p.entries = append(p.entries, nil)
	}
	for i := range entries {
		p.restart(i)
	}
	return p
}

// restart replaces an entry by a process that has just started.
func (p *repeatPlayers) restart(i int) {
	g := &Gateway{
		Settings: &deployment.Settings{Zone: "z1", Bounds: deployment.Bounds{RetryRatio: repeatRatio, RetryWindow: repeatWindow, RetrySlack: repeatSlack}},
		Clock:    rillreach.ClockFunc(func() time.Time { return p.now }),
		Log:      logr.Discard(),
	}
	g.budgets = g.newBudgets()
	p.entries[i] = g
}

// restartAll replaces all entries at once.
func (p *repeatPlayers) restartAll() {
	for i := range p.entries {
		p.restart(i)
	}
}

// follow tells an entry how many entries follow an agent.
func (p *repeatPlayers) follow(i int, agent rillreach.InstanceID, followers int) {
	p.entries[i].applyBulletin(&bulletin.Bulletin{Runner: agent, Followers: followers}, p.now)
}

// followAll tells all entries that they follow one agent together.
func (p *repeatPlayers) followAll() {
	for i := range p.entries {
		p.follow(i, "common", len(p.entries))
	}
}

// request sends a request by one of the entries, in turn among the first n.
func (p *repeatPlayers) request(n int) {
	p.target = (p.target + 1) % n
	p.entries[p.target].budgets.RecordRequest(p.now, "s")
	p.requests = append(p.requests, p.now)
	if p.wanted {
		p.repeat(p.target)
	}
}

// repeat makes an entry send a request once more, if its budget allows. If repeats wait, it is only decided on.
func (p *repeatPlayers) repeat(i int) {
	g := p.entries[i]
	x := &exchange{service: &deployment.Service{Name: "s"}, sends: &sendHistory{}}
	x.sends.recordSend("first")
	if !g.reserveRepeat(x, repeatRetry) {
		return
	}
	send := func() {
		if _, allowed := g.takeRepeat(x); allowed {
			p.repeats = append(p.repeats, p.now)
		}
	}
	if p.wait {
		p.waiting = append(p.waiting, send)
		return
	}
	send()
}

// sendWaiting sends all repeats that wait.
func (p *repeatPlayers) sendWaiting() {
	for _, send := range p.waiting {
		send()
	}
	p.wait, p.waiting = false, nil
}

// assertWithinBudget checks the repeats of all entries against the published rule, in each window that begins with one.
func (p *repeatPlayers) assertWithinBudget(t *testing.T) {
	t.Helper()
	worst := ""
	excess := 0.0
	for _, from := range p.repeats {
		sent := countBetween(p.repeats, from, from.Add(repeatWindow))
		most := 0
		for _, shift := range []time.Duration{0, repeatWindow / 2, repeatWindow} {
			most = max(most, countBetween(p.requests, from.Add(-shift), from.Add(repeatWindow-shift)))
		}
		allowed := repeatRatio*float64(most) + repeatSlack
		if over := float64(sent) - allowed; over > excess {
			excess, worst = over, fmt.Sprintf("%d repeats in the window from %v, %.0f are allowed", sent, from.Sub(p.requests[0]), allowed)
		}
	}
	assert.Empty(t, worst)
}

// countBetween returns how many of the times lie in [from, to).
func countBetween(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// play lets requests come to the first n entries of each moment, and calls the step before each of them.
func (p *repeatPlayers) play(step func(elapsed time.Duration) (n int)) {
	start := p.now
	for elapsed := time.Duration(0); elapsed < repeatPlay; elapsed += repeatStep {
		p.now = start.Add(elapsed)
		p.request(step(elapsed))
	}
}

// every reports whether a period ends at a time since the start.
func every(period, elapsed time.Duration) bool { return elapsed > 0 && elapsed%period == 0 }

// Guards against entries that together repeat more requests than the retry budget allows: after restarts, with a wrong
// number of entries or none, and where requests move from one entry to another.
func TestRepeatsPileUpBeyondBudget(t *testing.T) {
	const bulletinInterval = 2 * repeatStep
	t.Run("all entries follow one agent", func(t *testing.T) {
		p := newRepeatPlayers(10)
		p.play(func(time.Duration) int {
			p.followAll()
			return len(p.entries)
		})
		p.assertWithinBudget(t)
	})
	for _, reaching := range []int{1, 3} {
		t.Run(fmt.Sprintf("an agent that no more than %d of the entries reach", reaching), func(t *testing.T) {
			p := newRepeatPlayers(10)
			p.play(func(elapsed time.Duration) int {
				p.followAll()
				if every(bulletinInterval, elapsed) {
					for i := range p.entries {
						p.follow(i, rillreach.InstanceID(fmt.Sprintf("apart-%d", i/reaching)), reaching)
					}
				}
				return len(p.entries)
			})
			p.assertWithinBudget(t)
		})
	}
	t.Run("each entry reaches an agent that it alone follows", func(t *testing.T) {
		p := newRepeatPlayers(10)
		p.play(func(time.Duration) int {
			for i := range p.entries {
				p.follow(i, rillreach.InstanceID(fmt.Sprintf("apart-%d", i)), 1)
			}
			return len(p.entries)
		})
		p.assertWithinBudget(t)
	})
	t.Run("an agent restarts again and again", func(t *testing.T) {
		p := newRepeatPlayers(10)
		p.play(func(elapsed time.Duration) int {
			p.followAll()
			if every(1500*time.Millisecond, elapsed) {
				p.follow(int(elapsed/time.Second)%len(p.entries), "common", 1)
			}
			return len(p.entries)
		})
		p.assertWithinBudget(t)
	})
	t.Run("entries restart one after the other", func(t *testing.T) {
		p := newRepeatPlayers(10)
		p.play(func(elapsed time.Duration) int {
			if every(300*time.Millisecond, elapsed) {
				p.restart(int(elapsed/(300*time.Millisecond)) % len(p.entries))
			}
			p.followAll()
			return len(p.entries)
		})
		p.assertWithinBudget(t)
	})
	t.Run("all entries restart together again and again", func(t *testing.T) {
		p := newRepeatPlayers(10)
		p.play(func(elapsed time.Duration) int {
			if every(2500*time.Millisecond, elapsed) {
				p.restartAll()
			}
			p.followAll()
			return len(p.entries)
		})
		p.assertWithinBudget(t)
	})
	t.Run("all entries restart together after they have sent what they may", func(t *testing.T) {
		p := newRepeatPlayers(10)
		p.playSpentBefore(10, p.restartAll)
		p.assertWithinBudget(t)
	})
	t.Run("requests move to other entries after the first ones have sent what they may", func(t *testing.T) {
		p := newRepeatPlayers(10)
		p.playSpentBefore(5, func() { copy(p.entries[:5], p.entries[5:]) })
		p.assertWithinBudget(t)
	})
	t.Run("repeats wait for room and are sent together", func(t *testing.T) {
		p := newRepeatPlayers(10)
		p.wait = true
		p.play(func(elapsed time.Duration) int {
			p.followAll()
			if elapsed == 12*time.Second {
				p.sendWaiting()
			}
			return len(p.entries)
		})
		p.assertWithinBudget(t)
	})
	t.Run("no agent is reachable", func(t *testing.T) {
		p := newRepeatPlayers(24)
		p.play(func(time.Duration) int { return len(p.entries) })
		p.assertWithinBudget(t)
	})
	t.Run("three entries become twenty-four", func(t *testing.T) {
		p := newRepeatPlayers(24)
		p.play(func(elapsed time.Duration) int {
			n := 3
			if elapsed >= 4*time.Second {
				n = 24
			}
			for i := range n {
				p.follow(i, "common", n)
			}
			return n
		})
		p.assertWithinBudget(t)
	})
}

// Guards against repeats that stay set aside for ever, so that others are refused.
func TestUnsentRepeatIsKept(t *testing.T) {
	begin := func() (*repeatPlayers, *Gateway, *exchange) {
		p := newRepeatPlayers(1)
		p.wanted = false
		for range 10 {
			p.request(1)
		}
		x := &exchange{service: &deployment.Service{Name: "s"}, sends: &sendHistory{}}
		return p, p.entries[0], x
	}
	assertNoneKept := func(t *testing.T, p *repeatPlayers, g *Gateway) {
		t.Helper()
		assert.Zero(t, g.budgets.Usage(p.now, "s").Reserved)
	}
	t.Run("the send turns out to be the first one", func(t *testing.T) {
		p, g, x := begin()
		assert.True(t, g.reserveRepeat(x, repeatHedge))
		_, allowed := g.takeRepeat(x)
		assert.True(t, allowed)
		assertNoneKept(t, p, g)
	})
	t.Run("too much time has passed since it was decided on", func(t *testing.T) {
		p, g, x := begin()
		g.budgets.Slack = 0
		x.sends.recordSend("first")
		assert.True(t, g.reserveRepeat(x, repeatRetry))
		p.now = p.now.Add(repeatWindow)
		_, allowed := g.takeRepeat(x)
		assert.False(t, allowed)
		assertNoneKept(t, p, g)
	})
	t.Run("a repeat is set aside once", func(t *testing.T) {
		p, g, x := begin()
		x.sends.recordSend("first")
		assert.True(t, g.reserveRepeat(x, repeatRetry))
		assert.True(t, g.reserveRepeat(x, repeatRetry))
		assert.Equal(t, 1, g.budgets.Usage(p.now, "s").Reserved)
		g.returnRepeat(x)
		assertNoneKept(t, p, g)
	})
}

// playSpentBefore lets requests come to the first n entries. After some calm these entries send all repeats that they may,
// and the event comes. From then on each request wants a repeat.
func (p *repeatPlayers) playSpentBefore(n int, event func()) {
	p.wanted = false
	p.play(func(elapsed time.Duration) int {
		if elapsed == 12*time.Second {
			p.wanted = true
			p.repeatAsOftenAsAllowed(n)
			event()
		}
		p.followAll()
		return n
	})
}

// repeatAsOftenAsAllowed makes the first n entries send all repeats that they may at this moment.
func (p *repeatPlayers) repeatAsOftenAsAllowed(n int) {
	for i := range n {
		for sent := -1; sent < len(p.repeats); {
			sent = len(p.repeats)
			p.repeat(i)
		}
	}
}
