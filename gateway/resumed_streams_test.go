package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/standin/site"
	"github.com/rillreach/rillreach/pinning"
	"github.com/rillreach/rillreach/platform"
)

// startVersionedSite starts a site whose streams are not continued within an answer, with two entries, and runners of two
// software versions. Streams that begin there break off.
func startVersionedSite(t *testing.T) (s *sharedSite, begins, continues *world) {
	t.Helper()
	s = startSharedSite(t)
	s.store.Put("config", "main", configWithSingleAttempt())
	begins, continues = s.startEntry(t, "entry-1"), s.startEntry(t, "entry-2")
	begins.addVersionedRunners(t, breakOffAtFirst, 2, 2)
	continues.eventually(t, func() bool { return continues.gateway.state.Roster.Len() == 5 })
	return s, begins, continues
}

// beginStream has a stream begin and break off, and waits until its record has replicas.
func beginStream(t *testing.T, w *world, id string) answer {
	t.Helper()
	begun := w.callStream(t, "/stream/"+id, id)
	require.Error(t, begun.err, "the stream should have broken off")
	w.eventually(t, func() bool { return w.gateway.pins.distribution.Unreplicated() == 0 })
	return begun
}

// assertTakenUp checks that an entry continues a stream where it began.
func assertTakenUp(t *testing.T, w *world, begun answer, id, resumes string) answer {
	t.Helper()
	got := w.takeUp(t, "/stream/"+resumes, id, resumes, lastEvent(begun.body))
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status, got.body)
	assertOneVersion(t, begun.body+got.body)
	return got
}

// Guards against losing the beginning of streams together with the entry that began them, or with an agent.
func TestBeginningOfStreamLost(t *testing.T) {
	t.Run("the entry that began the stream has ended", func(t *testing.T) {
		_, begins, continues := startVersionedSite(t)
		var begun [6]answer
		for i := range begun {
			begun[i] = beginStream(t, begins, fmt.Sprint("s", i))
		}
		begins.stop()
		require.NoError(t, <-begins.ended)
		for i := range begun {
			assertTakenUp(t, continues, begun[i], fmt.Sprint("next", i), fmt.Sprint("s", i))
		}
	})
	t.Run("the agent that has the record has restarted", func(t *testing.T) {
		s, begins, continues := startVersionedSite(t)
		begun := beginStream(t, begins, "s")
		s.restartAgent(t)
		begins.eventually(t, func() bool {
			got := continues.takeUp(t, "/stream/s", fmt.Sprint("next", time.Now().UnixNano()), "s", lastEvent(begun.body))
			if got.status == http.StatusOK {
				assertOneVersion(t, begun.body+got.body)
			}
			return got.status == http.StatusOK
		})
	})
	t.Run("a third request names the first or the second", func(t *testing.T) {
		s, begins, continues := startVersionedSite(t)
		for i, resumes := range []string{"s0", "t1"} {
			begun := beginStream(t, begins, fmt.Sprint("s", i))
			second := assertTakenUp(t, continues, begun, fmt.Sprint("t", i), fmt.Sprint("s", i))
			continues.eventually(t, func() bool { return continues.gateway.pins.distribution.Unreplicated() == 0 })
			third := s.startEntry(t, fmt.Sprint("entry-", i+3))
			third.eventually(t, func() bool { return third.gateway.state.Roster.Len() == 5 })
			assertTakenUp(t, third, answer{body: begun.body + second.body}, fmt.Sprint("u", i), resumes)
		}
	})
}

// Guards against taking up a stream at any software version because nobody knows where it began.
func TestUnknownStreamTakenUp(t *testing.T) {
	t.Run("no process has a record", func(t *testing.T) {
		_, _, continues := startVersionedSite(t)
		got := continues.takeUp(t, "/stream/x", "second", "unheard-of", "4")
		assertGatewayAnswer(t, got, http.StatusServiceUnavailable)
		assert.NotEmpty(t, got.header.Get("Retry-After"))
	})
	t.Run("the caller does not name the stream", func(t *testing.T) {
		_, _, continues := startVersionedSite(t)
		assertGatewayAnswer(t, continues.callStream(t, "/stream/x", "second", "Last-Event-Id: 4"), http.StatusServiceUnavailable)
	})
	t.Run("an entry that has just started knows of one version", func(t *testing.T) {
		s := startSharedSite(t)
		s.store.Put("config", "main", configWithSingleAttempt())
		w := s.startEntry(t, "entry-1")
		w.addVersionedRunnersOf(t, oldSoftware, 2)
		assertGatewayAnswer(t, w.takeUp(t, "/stream/x", "second", "unheard-of", "4"), http.StatusServiceUnavailable)
	})
	t.Run("an entry that knows of one version continues what callers do not name", func(t *testing.T) {
		w := startWorld(t, configWithSingleAttempt())
		defer w.stop()
		w.addVersionedRunnersOf(t, oldSoftware, 2)
		assert.Equal(t, http.StatusOK, w.callStream(t, "/stream/x", "second", "Last-Event-Id: 4").status)
	})
	t.Run("requests use one ID for streams of two versions", func(t *testing.T) {
		w := startWorld(t, configWithSingleAttempt())
		defer w.stop()
		w.addVersionedRunners(t, breakOffAtFirst, 2, 2)
		w.callStream(t, "/stream/x", "same")
		for range 3 {
			w.callStream(t, "/stream/x", "same")
		}
		assertGatewayAnswer(t, w.takeUp(t, "/stream/x", "second", "same", "4"), http.StatusServiceUnavailable)
	})
}

// Guards against taking up a stream at another service than the one that began it.
func TestStreamTakenUpAtOtherService(t *testing.T) {
	split := func(version int, services ...jsonMap) jsonMap {
		config := configWithRoutes(version, routeConfig("stream", "streaming", "plain", jsonMap{"resumable": true, "max_attempts": 1, "weighted_services": services}))
		config["services"] = append(config["services"].([]jsonMap), jsonMap{"name": "other", "max_connections": 100})
		return config
	}
	both := split(1, jsonMap{"service": "plain", "weight": 1}, jsonMap{"service": "other", "weight": 1})
	start := func(t *testing.T) *world {
		t.Helper()
		w := startWorld(t, both)
		w.addVersionedRunners(t, breakOffAtFirst, 1, 0)
		other := &site.Runner{ID: "other-1", Handle: func(rw http.ResponseWriter, r *http.Request) { breakOffAtFirst("of-other", rw, r) }}
		other.Start()
		t.Cleanup(other.Stop)
		record := runnerRecord(other, "ready")
		record["service"] = "other"
		w.store.Put("servers", other.ID, record)
		w.eventually(t, func() bool { return w.gateway.state.Roster.Len() == 2 })
		return w
	}
	t.Run("the route's weights choose another one for the new request", func(t *testing.T) {
		w := start(t)
		defer w.stop()
		for i := range 12 {
			id := fmt.Sprint("s", i)
			begun := w.callStream(t, "/stream/"+id, id)
			assertTakenUp(t, w, begun, fmt.Sprint("next", i), id)
		}
	})
	t.Run("the route no longer leads to the one that began it", func(t *testing.T) {
		w := start(t)
		defer w.stop()
		var begun answer
		id := ""
		for i := 0; len(softwareOf(begun.body)) == 0 || softwareOf(begun.body)[0] != "of-other"; i++ {
			id = "s" + strconv.Itoa(i)
			begun = w.callStream(t, "/stream/x", id)
		}
		w.store.Put("config", "main", split(2, jsonMap{"service": "plain", "weight": 1}))
		w.eventually(t, func() bool { return w.gateway.state.Config().Version == 2 })
		assertGatewayAnswer(t, w.takeUp(t, "/stream/x", "second", id, lastEvent(begun.body)), http.StatusServiceUnavailable)
	})
}

// Guards against refusing the rest of a stream for requests that could also be served by runners of other versions.
func TestTakenUpStreamIsShed(t *testing.T) {
	g, now := &Gateway{}, time.Now()
	x := &exchange{
		wire:  platform.Request{Prompt: &deployment.Prompt{Model: site.Model}},
		route: &deployment.Route{Timeout: time.Minute, TargetLatency: time.Second}, service: &deployment.Service{Name: "e"}, arrived: now, deadline: now.Add(time.Minute), progress: &progress{},
	}
	assert.False(t, g.admissionRequest(x).AnswerStarted)
	x.pinTo(pinning.Pin{Service: "e", Software: oldSoftware})
	w := &waitingRequest{request: g.admissionRequest(x)}
	assert.True(t, w.request.AnswerStarted)
	_, shed := newAdmissionQueue(g).shed(w, math.MaxInt32, now)
	assert.False(t, shed)
}

// Guards against rollouts that send the rest of a stream to the version that did not begin it.
func TestRolloutMovesStreams(t *testing.T) {
	start := func(t *testing.T) *rolloutWorld {
		t.Helper()
		w := startRolloutWorld(t, answerWell)
		w.store.Put("config", "main", configWithSingleAttempt())
		w.eventually(t, func() bool { return w.gateway.state.Config().Version == 2 })
		return w
	}
	pinned := func(w *rolloutWorld, software deployment.SoftwareVersion) versionFilter {
		x := &exchange{service: w.gateway.state.Config().Services["plain"], progress: &progress{}}
		x.pin.Service, x.pin.Software = "plain", software
		views := w.gateway.viewsAt(time.Now()).all("plain")
		return w.gateway.rollouts.filterFor(x, views, time.Now())
	}
	allowed := func(w *rolloutWorld, software deployment.SoftwareVersion) int {
		filter, n := pinned(w, software), 0
		for _, v := range w.gateway.viewsAt(time.Now()).all("plain").views {
			if !filter.excludes(v) {
				n++
				assertSoftware(w.world, v.ID, software)
			}
		}
		return n
	}
	t.Run("streams of both versions go on during it", func(t *testing.T) {
		w := start(t)
		w.request(t, time.Minute)
		assert.Equal(t, 2, allowed(w, "v1"))
		assert.Equal(t, 2, allowed(w, "v2"))
	})
	t.Run("those of the replaced version end when it is completed", func(t *testing.T) {
		w := start(t)
		w.request(t, time.Second)
		w.eventually(t, func() bool { return allowed(w, "v1") == 0 })
		assert.Equal(t, 2, allowed(w, "v2"))
	})
}

// assertSoftware panics if a runner has another software version.
func assertSoftware(w *world, id rillreach.InstanceID, software deployment.SoftwareVersion) {
	if got := w.gateway.state.Roster.Find(id).Info().Software; got != software {
		panic(fmt.Sprintf("runner %s has version %s, not %s", id, got, software))
	}
}

// Guards against a hedge that continues the events of another software version, because it began before the first of them
// arrived.
func TestHedgeMixesSoftwareVersions(t *testing.T) {
	w := startWorld(t, configWithRoutes(1, routeConfig("stream", "streaming", "plain", jsonMap{"resumable": true, "max_attempts": 3})))
	defer w.stop()
	hedged, hedgeAnswers, hedgeEnded := make(chan struct{}), make(chan struct{}), make(chan struct{})
	var asked atomic.Int64
	handle := func(software string, rw http.ResponseWriter, r *http.Request) {
		switch {
		case r.Header.Get("Last-Event-Id") != "":
			site.StreamVersionedEvents(rw, r, software, streamEvents)
		case asked.Add(1) == 1:
			<-hedged
			site.StreamVersionedEvents(rw, r, software, brokenAfter)
			<-hedgeEnded // the entry has given the hedge up
			panic(http.ErrAbortHandler)
		default:
			close(hedged)
			<-hedgeAnswers
			site.StreamVersionedEvents(rw, r, software, streamEvents)
			close(hedgeEnded)
		}
	}
	w.addVersionedRunners(t, handle, 1, 1)
	conn := w.sendStreamRequest(t, "/stream/x", "s")
	begun := readVersionedEvents(t, conn, brokenAfter)
	close(hedgeAnswers)
	rest, err := io.ReadAll(begun.rest)
	require.NoError(t, err)
	assertOneVersion(t, begun.read+string(rest))
	assertEventIDs(t, begun.read+string(rest), 1, streamEvents)
}

// readVersionedEvents reads an answer up to the end of the event with the given ID.
func readVersionedEvents(t *testing.T, conn net.Conn, id int) partialBody {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	require.NoError(t, err)
	b := partialBody{rest: resp.Body}
	buf := make([]byte, 256)
	for !strings.HasSuffix(b.read, "\n\n") || lastEvent(b.read) != site.EventID(id) {
		n, err := resp.Body.Read(buf)
		require.NoError(t, err)
		b.read += string(buf[:n])
	}
	return b
}
