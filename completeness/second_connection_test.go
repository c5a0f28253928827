package completeness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var responseEnded = time.Unix(1_800_000_000, 0)

// after returns a time relative to the end of the response.
func after(d time.Duration) time.Time { return responseEnded.Add(d) }

func TestSecondConnection(t *testing.T) {
	recently := after(-time.Second)
	for _, c := range []struct {
		name     string
		evidence SecondConnection
		process  Process
		known    bool
		useless  bool
	}{
		{"nothing is known yet", SecondConnection{LastUsed: recently}, ProcessUnresponsive, false, false},
		{"data is received", SecondConnection{LastUsed: recently, NotLater: true, Received: true}, ProcessRunning, true, false},
		{"a later process may have received it", SecondConnection{LastUsed: recently, NotEarlier: true, Received: true}, ProcessUnresponsive, false, true},
		{"it is closed after data was received", SecondConnection{LastUsed: recently, NotEarlier: true, NotLater: true, Received: true, Closed: after(time.Second)}, ProcessRunning, true, false},
		{"it is closed with the response", SecondConnection{LastUsed: recently, NotEarlier: true, Closed: after(time.Millisecond)}, ProcessEnded, true, false},
		{"it is closed just before the response", SecondConnection{LastUsed: recently, NotEarlier: true, Closed: after(-ExitTime)}, ProcessEnded, true, false},
		{"its close arrives late", SecondConnection{LastUsed: recently, NotEarlier: true, Closed: after(2 * ExitTime)}, ProcessEnded, true, false},
		{"it was closed before", SecondConnection{LastUsed: recently, NotEarlier: true, Closed: after(-2 * ExitTime)}, ProcessUnresponsive, false, true},
		{"it was not used for long", SecondConnection{LastUsed: after(-minIdleTime), NotEarlier: true, Closed: after(0)}, ProcessUnresponsive, false, true},
		{"an earlier process may have accepted it", SecondConnection{LastUsed: recently, Closed: after(0)}, ProcessUnresponsive, false, true},
		{"it fails", SecondConnection{LastUsed: recently, NotEarlier: true, Failed: true}, ProcessUnresponsive, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.evidence.ResponseEnded = responseEnded
			process, known := c.evidence.Process()
			assert.Equal(t, c.known, known)
			if known {
				assert.Equal(t, c.process.String(), process.String())
			}
			assert.Equal(t, c.useless, c.evidence.IsUseless())
		})
	}
}

// lifetime is what becomes of a process and of the second connection to it. Times are relative to the end of the response.
type lifetime struct {
	// exits is set if the process ends with the response.
	exits bool
	// lastUsed is when the connection was used before, and closes when the process closes it.
	lastUsed time.Duration
	closes   time.Duration
	// closeDelay is how long the close takes to become known, and dataDelay how long the data that is sent takes to arrive.
	closeDelay time.Duration
	dataDelay  time.Duration
}

// evidenceAt returns what is known at a time.
func (l *lifetime) evidenceAt(now time.Duration) SecondConnection {
	s := SecondConnection{ResponseEnded: responseEnded, NotEarlier: true, NotLater: true, LastUsed: after(l.lastUsed)}
	arrives := ExitTime + l.dataDelay
	s.Received = arrives < l.closes && arrives <= now
	if known := l.closes + l.closeDelay; known <= now {
		s.Closed = after(known)
	}
	return s
}

// drawLifetime returns a process that ends with the response, or one that may close the connection once it has been idle for
// minIdleTime.
func drawLifetime(t *rapid.T) lifetime {
	draw := func(name string, from, to time.Duration) time.Duration {
		return time.Duration(rapid.Int64Range(int64(from), int64(to)).Draw(t, name))
	}
	l := lifetime{
		exits: rapid.Bool().Draw(t, "exits"), lastUsed: draw("last used", -10*time.Second, 0),
		closeDelay: draw("close delay", 0, 2*time.Second), dataDelay: draw("data delay", 0, 2*time.Second),
	}
	if l.exits {
		l.closes = draw("closes as it ends", 0, ExitTime)
		return l
	}
	l.closes = l.lastUsed + minIdleTime + draw("closes when idle", 0, time.Minute)
	return l
}

// TestVerdictsMatchProcess checks that a verdict agrees with what becomes of the process, whatever is delayed.
func TestVerdictsMatchProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLifetime(t)
		for now := time.Duration(0); now < 4*time.Second; now += 20 * time.Millisecond {
			process, known := l.evidenceAt(now).Process()
			if !known {
				continue
			}
			want := ProcessRunning
			if l.exits {
				want = ProcessEnded
			}
			assert.Equal(t, want.String(), process.String(), "at %s", now)
			return // who asks takes the first verdict
		}
	})
}
