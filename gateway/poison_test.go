package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/standin/site"
	"github.com/rillreach/rillreach/poison"
)

// These tests guard against a request that crashes every runner that starts it, and that its caller retries at any
// entry. If entries keep no record of crashes and do not share it, each retry is a new request to them and is sent to
// another healthy runner: with twelve runners, twelve retries crash all of them, along with the other requests there.
// Within twelve seconds, such a request can crash 15 of 18 runners.

const (
	// maxCrashes is the number of runners that a request may crash before it is quarantined.
	maxCrashes = 3
	// propagationTime is how soon all entries must know of the quarantine. maxLateCrashes is how many runners may
	// crash after that.
	propagationTime = 3 * time.Second
	maxLateCrashes  = 3
	// fatalPath marks requests that crash the runner that starts them.
	fatalPath = "fatal"
)

// repeats is how often a fatal request is sent, and the number of runners.
const repeats = 12

func TestRequestCrashesRunners(t *testing.T) {
	for _, path := range []string{"/repeat/", "/once/", "/stream/", "/flow/"} {
		t.Run("at one entry, on the route "+path, func(t *testing.T) {
			var crashed crashLog
			w := startWorld(t, defaultConfig(), crashed.runners(repeats)...)
			defer w.stop()
			for range repeats {
				w.send(t, "POST", path+fatalPath, "body")
				assert.Equal(t, http.StatusOK, w.send(t, "POST", path+"x", "body").status, "other requests are served")
			}
			assert.LessOrEqual(t, len(crashed.times()), maxCrashes)
		})
	}
	t.Run("a quarantined request gets a 502 without Retry-After", func(t *testing.T) {
		var crashed crashLog
		w := startWorld(t, defaultConfig(), crashed.runners(repeats)...)
		defer w.stop()
		for range repeats {
			w.send(t, "POST", "/once/"+fatalPath, "body")
		}
		got := w.send(t, "POST", "/once/"+fatalPath, "body")
		assertGatewayAnswer(t, got, http.StatusBadGateway)
		assert.Empty(t, got.header.Get("Retry-After"))
	})
	t.Run("at two entries alternately", func(t *testing.T) {
		var crashed crashLog
		s := startSharedSite(t, crashed.runners(5*repeats)...)
		one, two := s.startEntry(t, "entry-1"), s.startEntry(t, "entry-2")
		ticker := time.NewTicker(propagationTime / 40)
		defer ticker.Stop()
		for start := time.Now(); time.Since(start) < propagationTime+time.Second; <-ticker.C {
			one.send(t, "POST", "/once/"+fatalPath, "body")
			one, two = two, one
		}
		assert.LessOrEqual(t, crashed.countLate(), maxLateCrashes, "%d crashed in total", len(crashed.times()))
	})
	t.Run("a runner that closes connections but keeps running does not quarantine a request", func(t *testing.T) {
		closing := &site.Runner{ID: "cut", Handle: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }}
		w := startWorld(t, defaultConfig(), closing)
		defer w.stop()
		for range repeats {
			assert.Equal(t, http.StatusBadGateway, w.send(t, "POST", "/once/x", "body").status)
		}
		assert.Len(t, closing.ReceivedRequests(), repeats)
	})
	t.Run("a runner that has announced to leave does not make a request suspect", func(t *testing.T) {
		var crashed crashLog
		runners := crashed.runners(repeats)
		w := startWorld(t, defaultConfig(), runners...)
		defer w.stop()
		for i := range runners[1:] {
			w.store.Put("servers", runners[i].ID, runnerRecord(runners[i], "draining"))
			w.eventually(t, func() bool { return w.gateway.state.Roster.Find(rillreach.InstanceID(runners[i].ID)).Info().Leaving })
		}
		last := runners[repeats-1]
		leaving := make(chan struct{})
		last.Handle = func(http.ResponseWriter, *http.Request) {
			w.store.Put("servers", last.ID, runnerRecord(last, "draining"))
			w.eventually(t, func() bool { return w.gateway.state.Roster.Find(rillreach.InstanceID(last.ID)).Info().Leaving })
			close(leaving)
			last.Crash()
			panic(http.ErrAbortHandler)
		}
		w.send(t, "POST", "/once/x", "body")
		<-leaving
		assert.True(t, w.gateway.suspects.Empty())
	})
	t.Run("a request that a runner answers is no longer suspect", func(t *testing.T) {
		var crashed crashLog
		w := startWorld(t, defaultConfig(), append(crashed.runners(1), &site.Runner{ID: "sound"})...)
		defer w.stop()
		w.eventually(t, func() bool {
			assert.Equal(t, http.StatusOK, w.send(t, "POST", "/repeat/"+fatalPath, "body").status)
			return len(crashed.times()) == 1
		})
		suspects, _ := w.gateway.suspects.Counts(w.gateway.Clock.Now())
		assert.Zero(t, suspects)
	})
	t.Run("the same request of another client account is not quarantined", func(t *testing.T) {
		var crashed crashLog
		w := startWorld(t, configWithTwoAccounts(), crashed.runners(repeats)...)
		defer w.stop()
		for range repeats {
			w.send(t, "POST", "/once/"+fatalPath, "body")
		}
		require.Len(t, crashed.times(), maxCrashes)
		w.sendWithKey(t, otherKey, "POST", "/once/"+fatalPath, "body")
		assert.Len(t, crashed.times(), maxCrashes+1)
	})
}

// The crashes that one entry observes must be known to the others, and to entries that start later.
func TestCrashesReachOtherEntries(t *testing.T) {
	var crashed crashLog
	s := startSharedSite(t, crashed.runners(repeats)...)
	one, two := s.startEntry(t, "entry-1"), s.startEntry(t, "entry-2")
	for range maxCrashes {
		one.send(t, "POST", "/once/"+fatalPath, "body")
	}
	assertRefused := func(t *testing.T, w *world) {
		t.Helper()
		w.eventually(t, func() bool {
			_, quarantined := w.gateway.suspects.Counts(w.gateway.Clock.Now())
			return quarantined == 1
		})
		assertGatewayAnswer(t, w.send(t, "POST", "/once/"+fatalPath, "body"), http.StatusBadGateway)
		assert.Len(t, crashed.times(), maxCrashes)
	}
	t.Run("another entry refuses the request", func(t *testing.T) { assertRefused(t, two) })
	t.Run("an entry that starts later refuses it", func(t *testing.T) { assertRefused(t, s.startEntry(t, "entry-3")) })
	t.Run("an entry that starts after a restart of the agent refuses it", func(t *testing.T) {
		s.restartAgent(t)
		assertRefused(t, s.startEntry(t, "entry-4"))
	})
}

// If one more crash would quarantine a request, no second attempt must be made while the first is silent.
func TestSuspectIsNotHedged(t *testing.T) {
	for crashes, attempts := range map[int]int{0: 2, 1: 2, 2: 1} {
		t.Run(fmt.Sprint("after ", crashes, " crashes"), func(t *testing.T) {
			release := make(chan struct{})
			waitForRelease := func(w http.ResponseWriter, req *http.Request) {
				<-release
				site.WriteResponse(w, req, "late")
			}
			a, b := &site.Runner{ID: "a", Handle: waitForRelease}, &site.Runner{ID: "b", Handle: waitForRelease}
			w := startWorld(t, defaultConfig(), a, b)
			defer w.stop()
			suspected := poison.Request{Caller: "account shop", Method: "GET", Host: host, Target: "/repeat/x"}
			for i := range crashes {
				w.gateway.suspects.Record(w.gateway.Clock.Now(), poison.Crash{Request: suspected.Fingerprint(), Runner: rillreach.InstanceID(fmt.Sprint("gone", i))})
			}
			time.AfterFunc(3*firstByteTimeout(&deployment.Route{TargetLatency: 300 * time.Millisecond})/2, func() { close(release) })
			assert.Equal(t, http.StatusOK, w.send(t, "GET", "/repeat/x", "").status)
			assert.Equal(t, attempts, len(a.ReceivedRequests())+len(b.ReceivedRequests()))
		})
	}
}

// All runners of a service crash at once, for a reason of their own, while each of them serves the same popular
// request, which runners have answered before. These crashes look like those of a request that crashes its runners. If
// the entry does not recognize the outage, it quarantines the request, and callers get 502 for ten minutes although
// the runners are back after a second: a quarantined request is not sent, so no answer can clear it.
func TestOutageQuarantinesPopularRequest(t *testing.T) {
	started, fail := make(chan struct{}, maxCrashes), make(chan struct{})
	w := startWorld(t, defaultConfig(), newRunnersFailingTogether(started, fail)...)
	defer w.stop()
	require.Equal(t, http.StatusOK, w.send(t, "POST", "/once/popular", "body", "X-Plain: first").status)
	assertAnsweredAfterOutage(t, w, started, fail)
}

// The same outage, while the runners serve a request that none has answered before. Nothing tells it from a request
// that crashes its runners, so only a trial can clear it before the ten minutes are over.
func TestOutageQuarantinesNewRequest(t *testing.T) {
	started, fail := make(chan struct{}, maxCrashes), make(chan struct{})
	w := startWorld(t, defaultConfig(), newRunnersFailingTogether(started, fail)...)
	defer w.stop()
	assertAnsweredAfterOutage(t, w, started, fail)
}

// newRunnersFailingTogether returns runners that report on the channel when they start a popular request, and crash
// together.
func newRunnersFailingTogether(started chan<- struct{}, fail <-chan struct{}) []*site.Runner {
	var runners []*site.Runner
	for i := range maxCrashes {
		r := &site.Runner{ID: fmt.Sprint("r", i)}
		r.Handle = func(w http.ResponseWriter, req *http.Request) {
			if !strings.Contains(req.RequestURI, "popular") {
				site.WriteResponse(w, req, "sound")
				return
			}
			if req.Header.Get("X-Plain") == "first" {
				site.WriteResponse(w, req, "sound")
				return
			}
			started <- struct{}{}
			<-fail
			r.Crash()
			panic(http.ErrAbortHandler)
		}
		runners = append(runners, r)
	}
	return runners
}

// assertAnsweredAfterOutage crashes all runners while they serve the request, and asserts that a runner that starts
// afterwards gets to answer it.
func assertAnsweredAfterOutage(t *testing.T, w *world, started <-chan struct{}, fail chan struct{}) {
	t.Helper()
	var wg sync.WaitGroup
	for range maxCrashes {
		wg.Go(func() { w.send(t, "POST", "/once/popular", "body") })
		<-started
	}
	close(fail)
	wg.Wait()
	_, quarantined := w.gateway.suspects.Counts(w.gateway.Clock.Now())
	require.Equal(t, 1, quarantined, "all three runners were serving it")
	sound := &site.Runner{ID: "sound"}
	sound.Start()
	t.Cleanup(sound.Stop)
	w.store.Put("servers", sound.ID, runnerRecord(sound, "ready"))
	w.eventually(t, func() bool { return w.send(t, "POST", "/once/popular", "body").status == http.StatusOK })
	assert.Equal(t, http.StatusOK, w.send(t, "POST", "/once/popular", "body").status, "an answer clears the request")
}
