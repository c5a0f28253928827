package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rillreach/rillreach"
)

const pollInterval = 250 * time.Millisecond

var silentTestRun = rillreach.InstanceRun{ID: "r", Generation: 1}

// silence is a run with unanswered requests, followed by a tracker as an entry does it.
type silence struct {
	SilentRuns
	tracker  Tracker
	now      time.Time
	confirms int
	returns  int
}

func newSilence() *silence { return &silence{now: start} }

// giveUp gives a request up that was sent one second before, when the run was last heard of.
func (s *silence) giveUp(request int) {
	c := testCrash(request, string(silentTestRun.ID))
	c.Generation = silentTestRun.Generation
	sent := s.now.Add(-time.Second)
	s.apply(s.Add(s.now, silentTestRun, Unanswered{Suspicion: Suspicion{Request: rillreach.RequestID(fmt.Sprint(request)), Crashes: []Crash{c}}, Sent: sent, GivenUp: s.now, LastHeard: sent}))
}

func (s *silence) apply(f Findings) {
	for _, suspicion := range f.Confirmed {
		s.confirms++
		s.tracker.Record(s.now, s.tracker.ClearAnswered(s.now, suspicion.Crashes)...)
	}
	for _, suspicion := range f.Presumed {
		s.tracker.Presume(s.now, suspicion.Crashes...)
	}
	for _, run := range f.Withdrawn {
		s.tracker.Withdraw(run)
	}
	for _, run := range f.Returned {
		s.returns++
		s.tracker.ClearRun(s.now, run)
	}
}

// poll lets time pass until the next check, in which the address is probed if needed.
func (s *silence) poll(response Response) {
	s.now = s.now.Add(pollInterval)
	_, f := s.Update(s.now)
	s.apply(f)
	if _, needed := s.NeedsProbe(silentTestRun); needed {
		s.apply(s.Probed(s.now, silentTestRun, response))
	}
}

func (s *silence) polls(n int, response Response) {
	for range n {
		s.poll(response)
	}
}

func (s *silence) assertCrashes(t *testing.T, request, want int) {
	t.Helper()
	assert.Equal(t, want, s.tracker.Crashes(s.now, testFingerprint(request)))
}

func TestSilentRuns(t *testing.T) {
	t.Run("nothing counts while the run may be running", func(t *testing.T) {
		s := newSilence()
		s.giveUp(1)
		s.assertCrashes(t, 1, 0)
		s.polls(presumeProbes-1, NoResponse)
		s.polls(1, Accepted)
		s.polls(presumeProbes, NoResponse)
		s.assertCrashes(t, 1, 0)
	})
	t.Run("a later run shows that the run has ended, also if its address responded meanwhile", func(t *testing.T) {
		s := newSilence()
		s.giveUp(1)
		s.polls(2, Accepted)
		s.apply(s.Ended(s.now, silentTestRun))
		s.assertCrashes(t, 1, 1)
		assert.True(t, s.Empty())
	})
	t.Run("the crash is as old as the silence", func(t *testing.T) {
		s := newSilence()
		s.giveUp(1)
		s.tracker.RecordAnswer(s.now, testFingerprint(1))
		s.polls(4, Accepted)
		s.apply(s.Ended(s.now, silentTestRun))
		s.assertCrashes(t, 1, 0)
	})
	t.Run("an address that refuses connections shows it as well", func(t *testing.T) {
		s := newSilence()
		s.giveUp(1)
		s.poll(Refused)
		s.assertCrashes(t, 1, 1)
	})
	t.Run("a run that can't be reached is presumed to have ended until it is reachable for a while", func(t *testing.T) {
		s := newSilence()
		s.giveUp(1)
		s.polls(presumeProbes, NoResponse)
		s.assertCrashes(t, 1, 1)
		s.giveUp(2)
		s.assertCrashes(t, 2, 1)
		s.polls(int(restartNoticeTime/pollInterval), Accepted)
		s.assertCrashes(t, 1, 1)
		s.polls(1, Accepted)
		s.assertCrashes(t, 1, 0)
		s.assertCrashes(t, 2, 0)
		assert.Zero(t, s.confirms)
	})
	t.Run("it has ended if the list lacks it as well", func(t *testing.T) {
		s := newSilence()
		s.giveUp(1)
		s.apply(s.Listed(s.now, silentTestRun, false))
		s.assertCrashes(t, 1, 0)
		s.polls(presumeProbes, NoResponse)
		s.apply(s.Listed(s.now, silentTestRun, false))
		assert.Equal(t, 1, s.confirms)
		s.giveUp(2)
		assert.Equal(t, 2, s.confirms)
	})
	t.Run("a run that is listed again has not ended", func(t *testing.T) {
		s := newSilence()
		s.giveUp(1)
		s.polls(presumeProbes, NoResponse)
		s.apply(s.Listed(s.now, silentTestRun, false))
		s.assertCrashes(t, 1, 1)
		s.apply(s.Listed(s.now, silentTestRun, true))
		s.assertCrashes(t, 1, 0)
		assert.Equal(t, 1, s.returns)
	})
	t.Run("data on a connection from before the request shows that the run goes on", func(t *testing.T) {
		s := newSilence()
		s.giveUp(1)
		s.polls(presumeProbes, NoResponse)
		s.apply(s.Heard(silentTestRun, start.Add(-time.Millisecond)))
		s.assertCrashes(t, 1, 1)
		s.apply(s.Heard(silentTestRun, start.Add(-time.Minute)))
		s.assertCrashes(t, 1, 0)
		assert.True(t, s.Empty())
	})
	t.Run("a report from after the request shows it as well", func(t *testing.T) {
		s := newSilence()
		s.giveUp(1)
		s.apply(s.Alive(silentTestRun, start))
		assert.False(t, s.Empty())
		s.apply(s.Alive(silentTestRun, start.Add(1)))
		assert.True(t, s.Empty())
	})
	t.Run("a silent run is forgotten in the end", func(t *testing.T) {
		s := newSilence()
		s.giveUp(1)
		s.polls(int(maxSilence/pollInterval)-1, Accepted)
		assert.False(t, s.Empty())
		s.poll(Accepted)
		assert.True(t, s.Empty())
	})
	t.Run("one that can't be reached is remembered for as long as its crashes count", func(t *testing.T) {
		s := newSilence()
		s.giveUp(1)
		s.polls(int((Window-2*time.Second)/pollInterval), NoResponse)
		s.assertCrashes(t, 1, 1)
		s.polls(int(restartNoticeTime/pollInterval)+1, Accepted)
		s.assertCrashes(t, 1, 0)
	})
	t.Run("memory is bounded", func(t *testing.T) {
		var s SilentRuns
		for i := range 2 * maxUnanswered {
			now := start.Add(time.Duration(i) * time.Millisecond)
			s.Add(now, rillreach.InstanceRun{ID: rillreach.InstanceID(fmt.Sprint(i))}, Unanswered{GivenUp: now})
		}
		assert.LessOrEqual(t, s.unanswered, maxUnanswered)
		assert.Len(t, s.runs, s.unanswered)
		assert.Contains(t, s.runs, rillreach.InstanceRun{ID: rillreach.InstanceID(fmt.Sprint(2*maxUnanswered - 1))})
	})
}

// TestRunsThatGoOnAreNotBlamed checks that nothing counts in the end against requests of a run that goes on, whatever was cut
// off meanwhile, and that a crash counts once a later run is known.
func TestRunsThatGoOnAreNotBlamed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSilence()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"give up", "cut", "reachable", "unlisted", "listed"}).Draw(t, "event") {
			case "give up":
				s.giveUp(1)
			case "cut":
				s.polls(rapid.IntRange(1, 2*presumeProbes).Draw(t, "probes"), NoResponse)
			case "reachable":
				s.poll(Accepted)
			case "unlisted":
				s.apply(s.Listed(s.now, silentTestRun, false))
			case "listed":
				s.apply(s.Listed(s.now, silentTestRun, true))
			}
		}
		s.giveUp(2)
		if rapid.Bool().Draw(t, "ends") {
			s.apply(s.Ended(s.now, silentTestRun))
			require.Equal(t, 1, s.tracker.Crashes(s.now, testFingerprint(2)))
			return
		}
		s.apply(s.Listed(s.now, silentTestRun, true))
		s.polls(int(restartNoticeTime/pollInterval)+2, Accepted)
		require.Zero(t, s.tracker.Crashes(s.now, testFingerprint(1)))
		require.Zero(t, s.tracker.Crashes(s.now, testFingerprint(2)))
	})
}

func TestPresumedCrashes(t *testing.T) {
	c := testCrash(1, "a")
	c.Generation = 1
	t.Run("they count, and other processes are not told", func(t *testing.T) {
		var tracker Tracker
		tracker.Presume(start, c)
		assert.Equal(t, 1, tracker.Crashes(start, c.Request))
		told, _ := tracker.Since(start, 0, 10)
		assert.Empty(t, told)
	})
	t.Run("they can be withdrawn", func(t *testing.T) {
		var tracker Tracker
		tracker.Presume(start, c, testCrash(1, "b"), testCrash(1, "c"))
		assert.True(t, tracker.Quarantined(start, c.Request))
		tracker.Withdraw(c.run())
		assert.False(t, tracker.Quarantined(start, c.Request))
		assert.Equal(t, 2, tracker.Crashes(start, c.Request))
	})
	t.Run("they can become certain", func(t *testing.T) {
		var tracker Tracker
		tracker.Presume(start, c)
		assert.Equal(t, 1, tracker.Record(start, c))
		tracker.Withdraw(c.run())
		tracker.Presume(start, c)
		tracker.Withdraw(c.run())
		assert.Equal(t, 1, tracker.Crashes(start, c.Request))
		told, _ := tracker.Since(start, 0, 10)
		assert.Equal(t, []Crash{c}, told)
	})
	t.Run("certain ones can be taken back if the run has not ended", func(t *testing.T) {
		var tracker Tracker
		tracker.Record(start, c, testCrash(1, "b"))
		cleared := tracker.ClearRun(start, c.run())
		require.Len(t, cleared, 1)
		assert.True(t, cleared[0].Cleared)
		assert.Equal(t, 1, tracker.Crashes(start, c.Request))
	})
}

// Guards against a crash that counts against a request which runners have answered since, because it became known late.
func TestLateCrashOfAnsweredRequest(t *testing.T) {
	part := testCrash(2, "a")
	part.Depth = 1
	var tracker Tracker
	tracker.RecordAnswer(start, testFingerprint(1))
	tracker.RecordPartAnswers(start, []Fingerprint{part.Request})
	for _, c := range []Crash{testCrash(1, "a"), part} {
		for age, cleared := range map[time.Duration]bool{0: false, time.Second: false, 3 * time.Second: true} {
			c.Age = age
			assert.Equal(t, cleared, tracker.ClearAnswered(start.Add(2*time.Second), []Crash{c})[0].Cleared, "a crash of %s before", age)
		}
	}
}
