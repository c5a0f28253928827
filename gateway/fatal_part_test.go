package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach/internal/standin/site"
)

const (
	// fatalPart is a part of prompts that crashes each runner that begins to answer them.
	fatalPart = "bad1"
	// openingPart is the part with which the other prompts of a route begin.
	openingPart = "5c1e07a2"
	// maxPartCrashes is the number of runs that may end under a part before entries have to know it.
	maxPartCrashes = 5
	// fatalPartRunners is the number of runners, and fatalPartInterval the time between two requests with the part.
	fatalPartRunners  = 60
	fatalPartInterval = 100 * time.Millisecond
	// separateCrashInterval is a time between two crashes after which all entries count them as two. Those that hear of them
	// from others know their times only as exactly as messages arrive.
	separateCrashInterval = 2 * fatalPartInterval
)

// fatalPartRunner returns a runner that crashes when it begins to answer a prompt with the part.
func (l *crashLog) fatalPartRunner(id string) *site.Runner {
	r := &site.Runner{ID: id}
	r.Handle = func(w http.ResponseWriter, req *http.Request) {
		if strings.Contains(req.Header.Get("X-Rillreach-Prompt-Prefix"), fatalPart) {
			l.add()
			r.Crash()
			panic(http.ErrAbortHandler)
		}
		site.StreamEvents(w, req, 4, 0)
	}
	return r
}

// countLateAfter returns the number of crashes later than propagationTime after the given one.
func (l *crashLog) countLateAfter(permitted int) int {
	all, n := l.times(), 0
	for _, at := range all {
		if len(all) > permitted && at.Sub(all[permitted-1]) > propagationTime {
			n++
		}
	}
	return n
}

// promptHeader returns the headers of a prompt with the given shared parts and one of its own.
func promptHeader(number int, shared ...string) []string {
	var parts strings.Builder
	for _, part := range shared {
		parts.WriteString(part + ":400,")
	}
	return []string{
		"X-Rillreach-Model: " + site.Model, "X-Rillreach-Token-Usage: 1460,80", fmt.Sprintf("X-Rillreach-Prompt-Prefix: %s%08x:250", parts.String(), number),
	}
}

// partStorm sends requests with the part, no two alike, and as many sound ones of the same caller, to the entries in turn.
type partStorm struct {
	route string
	// fatal and sound return the shared parts of the prompt with the given number.
	fatal, sound func(number int) []string

	mu sync.Mutex
	// served and refused count the sound requests later than propagationTime after the last crash that is permitted.
	served, lost, heldBack int
}

// run sends the requests until all entries must have held the part back for a while.
func (s *partStorm) run(t *testing.T, crashed *crashLog, entries ...*world) {
	t.Helper()
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(fatalPartInterval)
	defer ticker.Stop()
	for number := 0; number < fatalPartRunners && len(crashed.times()) < fatalPartRunners; number++ {
		w := entries[number%len(entries)]
		wg.Go(func() {
			w.send(t, "POST", s.route+fmt.Sprint(number), fmt.Sprint("fatal ", number), promptHeader(number, s.fatal(number)...)...)
		})
		wg.Go(func() {
			late := crashed.isLate(time.Now())
			got := w.send(t, "POST", s.route+"x", fmt.Sprint("sound ", number), promptHeader(number, s.sound(number)...)...)
			s.record(got, late)
		})
		<-ticker.C
	}
}

// record counts a sound request. Those that were sent late must be served.
func (s *partStorm) record(got answer, late bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if got.status == http.StatusBadGateway && strings.HasPrefix(got.body, verdictCrashesRunners) {
		s.heldBack++
	}
	switch {
	case !late:
	case got.status == http.StatusOK && got.err == nil:
		s.served++
	default:
		s.lost++
	}
}

// isLate reports whether all entries must know of the part at the given time.
func (l *crashLog) isLate(now time.Time) bool {
	all := l.times()
	return len(all) >= maxPartCrashes && now.Sub(all[maxPartCrashes-1]) > propagationTime
}

// Guards against a part of prompts that crashes runner after runner, since no two requests with it are alike.
func TestPartCrashesRunners(t *testing.T) {
	first := func(number int) []string { return []string{fatalPart, fmt.Sprintf("c0%06x", number%7)} }
	middle := func(number int) []string { return []string{openingPart, fatalPart, fmt.Sprintf("c0%06x", number%7)} }
	sound := func(number int) []string { return []string{openingPart, fmt.Sprintf("c0%06x", number%7)} }
	unseen := func(number int) []string { return []string{openingPart, fmt.Sprintf("d0%06x", number)} }
	for _, c := range []struct {
		name, route  string
		fatal, sound func(int) []string
		entries      int
	}{
		{"the first part, on a resumable route", "/stream/", first, sound, 1},
		{"a part in the middle, on a resumable route", "/stream/", middle, sound, 1},
		{"a part in the middle, at two entries", "/stream/", middle, sound, 2},
		{"a part in the middle, on a route that may not run twice", "/flow/", middle, sound, 2},
		{"a part in the middle, beside parts that are never seen twice", "/flow/", middle, unseen, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			crashed := &crashLog{}
			var runners []*site.Runner
			for i := range fatalPartRunners {
				runners = append(runners, crashed.fatalPartRunner(fmt.Sprint("r", i)))
			}
			s := startSharedSite(t, runners...)
			var entries []*world
			for i := range c.entries {
				entries = append(entries, s.startEntry(t, fmt.Sprint("entry-", i)))
			}
			storm := &partStorm{route: c.route, fatal: c.fatal, sound: c.sound}
			storm.run(t, crashed, entries...)
			assert.LessOrEqual(t, crashed.countLateAfter(maxPartCrashes), maxLateCrashes, "%d runners ended in all", len(crashed.times()))
			assert.Less(t, len(crashed.times()), fatalPartRunners, "no runner is left")
			assert.Zero(t, storm.heldBack, "sound requests were held back")
			assert.GreaterOrEqual(t, storm.served, storm.lost, "sound requests, once the part must be known")
		})
	}
}

// quarantineFatalPart sends requests with the part until the entry holds it back.
func quarantineFatalPart(t *testing.T, w *world) {
	t.Helper()
	for number := 0; len(w.gateway.suspects.QuarantinedParts(w.gateway.Clock.Now())) == 0; number++ {
		w.send(t, "POST", "/flow/x", fmt.Sprint(number), promptHeader(number, openingPart, fatalPart)...)
		time.Sleep(separateCrashInterval)
		assert.Less(t, number, fatalPartRunners)
	}
}

// assertPartRefused asserts that a request with the part is refused at once and reaches no runner.
func (l *crashLog) assertPartRefused(t *testing.T, w *world) {
	t.Helper()
	before := len(l.times())
	w.eventually(t, func() bool { return len(w.gateway.suspects.QuarantinedParts(w.gateway.Clock.Now())) == 1 })
	got := w.send(t, "POST", "/stream/x", "another", promptHeader(1000, openingPart, fatalPart, "c0000001")...)
	assertGatewayAnswer(t, got, http.StatusBadGateway)
	assert.Equal(t, verdictCrashesRunners+"\n", got.body)
	assert.Empty(t, got.header.Get("Retry-After"))
	assert.Len(t, l.times(), before)
	assert.Equal(t, http.StatusOK, w.send(t, "POST", "/stream/x", "sound", promptHeader(1000, openingPart, "c0000001")...).status)
}

// Guards against sending requests with a quarantined part from entries that have not seen it crash runners.
func TestQuarantinedPartReachesOtherEntries(t *testing.T) {
	crashed := &crashLog{}
	var runners []*site.Runner
	for i := range fatalPartRunners {
		runners = append(runners, crashed.fatalPartRunner(fmt.Sprint("r", i)))
	}
	s := startSharedSite(t, runners...)
	one, two := s.startEntry(t, "entry-1"), s.startEntry(t, "entry-2")
	quarantineFatalPart(t, one)
	t.Run("the entry that has seen it", func(t *testing.T) { crashed.assertPartRefused(t, one) })
	t.Run("another entry", func(t *testing.T) { crashed.assertPartRefused(t, two) })
	t.Run("an entry that starts later", func(t *testing.T) { crashed.assertPartRefused(t, s.startEntry(t, "entry-3")) })
	t.Run("an entry that starts after a restart of the agent", func(t *testing.T) {
		s.restartAgent(t)
		crashed.assertPartRefused(t, s.startEntry(t, "entry-4"))
	})
}

// Guards against an account that has a part of another one held back, by adding it to requests that crash runners for a
// reason of their own.
func TestPartHeldBackForOtherAccount(t *testing.T) {
	const target = "/flow/" + fatalPath
	var crashed crashLog
	runners := crashed.runners(repeats)
	for _, r := range runners {
		handle := r.Handle
		r.Handle = func(w http.ResponseWriter, req *http.Request) {
			if !strings.Contains(req.RequestURI, fatalPath) {
				site.StreamEvents(w, req, 4, 0)
				return
			}
			handle(w, req)
		}
	}
	w := startWorld(t, configWithTwoAccounts(), runners...)
	defer w.stop()
	for number := range maxPartCrashes {
		w.sendWithKey(t, otherKey, "POST", target, fmt.Sprint(number), promptHeader(number, "c0000001")...)
		time.Sleep(fatalPartInterval)
	}
	held := w.sendWithKey(t, otherKey, "POST", "/flow/x", "mine", promptHeader(100, "c0000001")...)
	assert.Equal(t, http.StatusBadGateway, held.status, "the account's own requests are held back")
	assert.Equal(t, http.StatusOK, w.send(t, "POST", "/flow/x", "sound", promptHeader(101, "c0000001")...).status)
	cleared := w.sendWithKey(t, otherKey, "POST", "/flow/x", "mine", promptHeader(102, "c0000001")...)
	assert.Equal(t, http.StatusOK, cleared.status, "an answer clears the part")
}
