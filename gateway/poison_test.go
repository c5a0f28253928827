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

// One request ended each runner that began it, and its caller sent it again and again, to any entry. Runners were replaced within seconds, and
// 15 of 18 ended in twelve seconds, each with all that it was answering: other callers saw streams cut and answers of 502.
//
// An entry kept nothing of a request once it was answered, and told no other entry of it, so that each repeat was a new request to it. The
// closed connection was held against the runner, which was left alone for 0.3 s, and the repeat was sent to one that was still sound. For each of
// the ended runners an entry logged "runner chosen attempt=1", "attempt failed cause=unexpected EOF avoidedFor=300ms" and "request given up
// sends=1"; before twelve runners of one service, twelve repeats end twelve, at one entry as at two.

const (
	// maxCrashes is how many runners a request may end before it is held back.
	maxCrashes = 3
	// propagationTime is within which time all entries know that, and mostLate how many sends of it may reach runners after that.
	propagationTime = 3 * time.Second
	maxLateCrashes  = 3
	// fatalPath is the path under which a request ends the runner that begins it.
	fatalPath = "fatal"
)

// repeats is how often a fatal request comes where there are more runners than it may end.
const repeats = 12

func TestRequestThatEndsRunners(t *testing.T) {
	for _, path := range []string{"/repeat/", "/once/", "/stream/", "/flow/"} {
		t.Run("at one entry, on the route "+path, func(t *testing.T) {
			var crashed crashLog
			w := startWorld(t, defaultConfig(), crashed.runners(repeats)...)
			defer w.stop()
			for range repeats {
				w.send(t, "POST", path+fatalPath, "body")
				assert.Equal(t, http.StatusOK, w.send(t, "POST", path+"x", "body").status, "others are served")
			}
			assert.LessOrEqual(t, len(crashed.times()), maxCrashes)
		})
	}
	t.Run("what is held back gets its last answer, which promises nothing", func(t *testing.T) {
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
	t.Run("at two entries in turn", func(t *testing.T) {
		var crashed crashLog
		s := startSharedSite(t, crashed.runners(5*repeats)...)
		one, two := s.startEntry(t, "entry-1"), s.startEntry(t, "entry-2")
		pace := time.NewTicker(propagationTime / 40)
		defer pace.Stop()
		for begun := time.Now(); time.Since(begun) < propagationTime+time.Second; <-pace.C {
			one.send(t, "POST", "/once/"+fatalPath, "body")
			one, two = two, one
		}
		assert.LessOrEqual(t, crashed.countLate(), maxLateCrashes, "%d ended in all", len(crashed.times()))
	})
	t.Run("a runner that closes its connections and goes on is no ground to hold a request back", func(t *testing.T) {
		cut := &site.Runner{ID: "cut", Handle: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }}
		w := startWorld(t, defaultConfig(), cut)
		defer w.stop()
		for range repeats {
			assert.Equal(t, http.StatusBadGateway, w.send(t, "POST", "/once/x", "body").status)
		}
		assert.Len(t, cut.Runs(), repeats)
	})
	t.Run("a runner that has announced its end is none, either", func(t *testing.T) {
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
			last.End()
			panic(http.ErrAbortHandler)
		}
		w.send(t, "POST", "/once/x", "body")
		<-leaving
		assert.True(t, w.gateway.suspects.Empty())
	})
	t.Run("a request that a runner answers is no longer suspected", func(t *testing.T) {
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
	t.Run("other callers are served the same path and body", func(t *testing.T) {
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

// TestCrashesAreTold: what one entry sees of a request, the others know, and those that start later.
func TestCrashesAreTold(t *testing.T) {
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
	t.Run("another entry holds the request back", func(t *testing.T) { assertRefused(t, two) })
	t.Run("one that starts later does", func(t *testing.T) { assertRefused(t, s.startEntry(t, "entry-3")) })
	t.Run("one that starts later does, though the agent has started anew", func(t *testing.T) {
		s.restartAgent(t)
		assertRefused(t, s.startEntry(t, "entry-4"))
	})
}

// TestSuspectIsNotAskedTwiceAtOnce: where one more end would hold a request back, no second attempt is made beside a silent first.
func TestSuspectIsNotAskedTwiceAtOnce(t *testing.T) {
	for crashes, attempts := range map[int]int{0: 2, 1: 2, 2: 1} {
		t.Run(fmt.Sprint("after ", crashes, " crashes"), func(t *testing.T) {
			release := make(chan struct{})
			hang := func(w http.ResponseWriter, req *http.Request) {
				<-release
				site.Answer(w, req, "late")
			}
			a, b := &site.Runner{ID: "a", Handle: hang}, &site.Runner{ID: "b", Handle: hang}
			w := startWorld(t, defaultConfig(), a, b)
			defer w.stop()
			suspected := poison.Request{Caller: "account shop", Method: "GET", Host: host, Target: "/repeat/x"}
			for i := range crashes {
				w.gateway.suspects.Record(w.gateway.Clock.Now(), poison.Crash{Request: suspected.Fingerprint(), Runner: rillreach.InstanceID(fmt.Sprint("gone", i))})
			}
			time.AfterFunc(3*firstWordAfter(&deployment.Route{TargetLatency: 300 * time.Millisecond})/2, func() { close(release) })
			assert.Equal(t, http.StatusOK, w.send(t, "GET", "/repeat/x", "").status)
			assert.Equal(t, attempts, len(a.Runs())+len(b.Runs()))
		})
	}
}

// All runners of a service ended at once, for a reason of their own, and each was answering the same popular request, which had been answered
// thousands of times before. Three ends without an answer in between look like those of a request that ends its runners, and since nothing is
// sent that is held back, no answer could lift the suspicion: callers got 502 for ten minutes, with sound runners back after one second.
func TestPopularRequestOutlivesAnOutage(t *testing.T) {
	started, fail := make(chan struct{}, maxCrashes), make(chan struct{})
	w := startWorld(t, defaultConfig(), newRunnersFailingTogether(started, fail)...)
	defer w.stop()
	require.Equal(t, http.StatusOK, w.send(t, "POST", "/once/popular", "body", "X-Plain: first").status)
	assertAnsweredAfterOutage(t, w, started, fail)
}

// The same outage came over a request of which none had been answered yet: nothing tells it from one that ends each runner that begins it, and
// it is refused for ten minutes.
func TestNewRequestOutlivesAnOutage(t *testing.T) {
	started, fail := make(chan struct{}, maxCrashes), make(chan struct{})
	w := startWorld(t, defaultConfig(), newRunnersFailingTogether(started, fail)...)
	defer w.stop()
	assertAnsweredAfterOutage(t, w, started, fail)
}

// newRunnersFailingTogether are runners that say when they begin a popular request, and end together.
func newRunnersFailingTogether(started chan<- struct{}, fail <-chan struct{}) []*site.Runner {
	var runners []*site.Runner
	for i := range maxCrashes {
		r := &site.Runner{ID: fmt.Sprint("r", i)}
		r.Handle = func(w http.ResponseWriter, req *http.Request) {
			if !strings.Contains(req.RequestURI, "popular") {
				site.Answer(w, req, "sound")
				return
			}
			if req.Header.Get("X-Plain") == "first" {
				site.Answer(w, req, "sound")
				return
			}
			started <- struct{}{}
			<-fail
			r.End()
			panic(http.ErrAbortHandler)
		}
		runners = append(runners, r)
	}
	return runners
}

// assertAnsweredAfterOutage has all runners end under the request, and asserts that one that starts then answers it.
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
	require.Equal(t, 1, quarantined, "all three were answering it")
	sound := &site.Runner{ID: "sound"}
	sound.Start()
	t.Cleanup(sound.Stop)
	w.store.Put("servers", sound.ID, runnerRecord(sound, "ready"))
	w.eventually(t, func() bool { return w.send(t, "POST", "/once/popular", "body").status == http.StatusOK })
	assert.Equal(t, http.StatusOK, w.send(t, "POST", "/once/popular", "body").status, "an answer lifts the suspicion")
}
