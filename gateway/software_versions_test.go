package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/standin/site"
)

const (
	oldSoftware = "v1"
	newSoftware = "v1.1"
	// versionedStreams is the number of streams in each of these tests: with runners of two versions taken at random,
	// hardly any run would have only streams of one version.
	versionedStreams = 10
)

// Guards against streams that hold events from runners of two software versions.
func TestStreamMixesSoftwareVersions(t *testing.T) {
	withinAnswer := map[string]struct {
		handle  versionedHandler
		streams int
	}{
		"a runner breaks off, and the entry continues the answer":   {breakOffAtFirst, versionedStreams},
		"a runner falls silent, and the entry continues the answer": {fallSilentAtFirst, versionedStreams / 2},
	}
	for name, c := range withinAnswer {
		t.Run(name, func(t *testing.T) {
			w := startWorld(t, defaultConfig())
			defer w.stop()
			w.addVersionedRunners(t, c.handle, 2, 2)
			for i := range c.streams {
				got := w.callStream(t, fmt.Sprint("/stream/", i), fmt.Sprint("s", i))
				require.NoError(t, got.err)
				assertOneVersion(t, got.body)
				assertEventIDs(t, got.body, 1, streamEvents)
			}
		})
	}
	t.Run("the caller takes the stream up at the entry that began it", func(t *testing.T) {
		w := startWorld(t, configWithSingleAttempt())
		defer w.stop()
		w.addVersionedRunners(t, breakOffAtFirst, 3, 3)
		assertTakenUpStreams(t, w, w)
	})
	t.Run("the caller takes the stream up at another entry", func(t *testing.T) {
		s := startSharedSite(t)
		s.store.Put("config", "main", configWithSingleAttempt())
		begins, continues := s.startEntry(t, "entry-1"), s.startEntry(t, "entry-2")
		begins.addVersionedRunners(t, breakOffAtFirst, 3, 3)
		continues.eventually(t, func() bool { return continues.gateway.state.Roster.Len() == 7 })
		assertTakenUpStreams(t, begins, continues)
	})
}

// Guards against a stream that goes on at another software version, or waits, because no runner of its own is left.
func TestStreamOutlivesItsSoftwareVersion(t *testing.T) {
	t.Run("within the answer", func(t *testing.T) {
		w := startWorld(t, defaultConfig())
		defer w.stop()
		release := make(chan struct{})
		only := w.addVersionedRunner(t, oldSoftware, func(software string, rw http.ResponseWriter, r *http.Request) {
			site.StreamVersionedEvents(rw, r, software, brokenAfter)
			<-release
			panic(http.ErrAbortHandler)
		})
		conn := w.sendStreamRequest(t, "/stream/x", "s")
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
		w.eventually(t, func() bool { return len(only.ReceivedRequests()) == 1 })
		w.addVersionedRunnersOf(t, newSoftware, 3)
		w.store.Remove("servers", only.ID)
		w.eventually(t, func() bool { return w.gateway.state.Roster.Len() == 3 })
		close(release)
		got := readAnswer(t, conn, http.MethodPost)
		require.ErrorIs(t, got.err, io.ErrUnexpectedEOF, "the answer must end at once, and not look complete")
		assertOneVersion(t, got.body)
	})
	t.Run("taken up by the caller", func(t *testing.T) {
		w := startWorld(t, configWithSingleAttempt())
		defer w.stop()
		only := w.addVersionedRunner(t, oldSoftware, breakOffAtFirst)
		begun := w.callStream(t, "/stream/x", "first")
		require.Error(t, begun.err)
		w.addVersionedRunnersOf(t, newSoftware, 3)
		w.store.Remove("servers", only.ID)
		w.eventually(t, func() bool { return w.gateway.state.Roster.Len() == 3 })
		asked := time.Now()
		got := w.takeUp(t, "/stream/x", "second", "first", lastEvent(begun.body))
		assertGatewayAnswer(t, got, http.StatusServiceUnavailable)
		assert.Less(t, time.Since(asked), time.Second, "a request that cannot be served waits")
	})
}

// configWithSingleAttempt returns a configuration whose streams are not continued within an answer.
func configWithSingleAttempt() jsonMap {
	config := configWithRoutes(
		2, routeConfig("stream", "streaming", "plain", jsonMap{"resumable": true, "max_attempts": 1}), routeConfig("repeat", "idempotent", "plain", nil),
	)
	config["services"] = append(config["services"].([]jsonMap), engineServiceConfig())
	return config
}

// versionedHandler answers requests for streams at a runner of the given software version.
type versionedHandler func(software string, w http.ResponseWriter, r *http.Request)

const brokenAfter = 4

// breakOffAtFirst breaks off streams that begin after event brokenAfter, and completes those that continue.
func breakOffAtFirst(software string, w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Last-Event-Id") != "" {
		site.StreamVersionedEvents(w, r, software, streamEvents)
		return
	}
	site.StreamVersionedEvents(w, r, software, brokenAfter)
	panic(http.ErrAbortHandler)
}

// fallSilentAtFirst sends nothing after event brokenAfter of streams that begin, and completes those that continue.
func fallSilentAtFirst(software string, w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Last-Event-Id") != "" {
		site.StreamVersionedEvents(w, r, software, streamEvents)
		return
	}
	site.StreamVersionedEvents(w, r, software, brokenAfter)
	<-r.Context().Done()
}

// addVersionedRunners starts runners of the old and of the new software version.
func (w *world) addVersionedRunners(t *testing.T, handle versionedHandler, before, after int) {
	t.Helper()
	for range before {
		w.addVersionedRunner(t, oldSoftware, handle)
	}
	for range after {
		w.addVersionedRunner(t, newSoftware, handle)
	}
}

// addVersionedRunnersOf starts runners of one software version that complete all streams.
func (w *world) addVersionedRunnersOf(t *testing.T, software string, n int) {
	t.Helper()
	for range n {
		w.addVersionedRunner(t, software, func(software string, rw http.ResponseWriter, r *http.Request) {
			site.StreamVersionedEvents(rw, r, software, streamEvents)
		})
	}
}

// addVersionedRunner starts a runner of a software version and waits until the entry knows it.
func (w *world) addVersionedRunner(t *testing.T, software string, handle versionedHandler) *site.Runner {
	t.Helper()
	r := &site.Runner{ID: fmt.Sprintf("%s-%d", software, w.gateway.state.Roster.Len()+1)}
	r.Handle = func(rw http.ResponseWriter, req *http.Request) { handle(software, rw, req) }
	r.Start()
	t.Cleanup(r.Stop)
	before := w.gateway.state.Roster.Len()
	record := runnerRecord(r, "ready")
	record["version"] = software
	w.store.Put("servers", r.ID, record)
	w.eventually(t, func() bool { return w.gateway.state.Roster.Len() == before+1 })
	return r
}

// callStream sends a request for a stream with an ID and further headers, and reads the answer.
func (w *world) callStream(t *testing.T, target, id string, header ...string) answer {
	t.Helper()
	return readAnswer(t, w.sendStreamRequest(t, target, id, header...), http.MethodPost)
}

// sendStreamRequest sends a request for a stream with an ID and further headers on a new connection.
func (w *world) sendStreamRequest(t *testing.T, target, id string, header ...string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", w.callerAddress)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	lines := append([]string{
		fmt.Sprintf("POST %s HTTP/1.1", target), "Host: " + host, "X-Rillreach-Attempt-Id: " + id, "Authorization: Bearer " + key, "Content-Length: 6",
	}, header...)
	_, err = io.WriteString(conn, strings.Join(lines, "\r\n")+"\r\n\r\nprompt")
	require.NoError(t, err)
	return conn
}

// takeUp sends a request that takes up the stream that another request began, after the last event that its caller has.
func (w *world) takeUp(t *testing.T, target, id, resumes, lastEventID string) answer {
	t.Helper()
	return w.callStream(t, target, id, "Resumes: "+resumes, "Last-Event-Id: "+lastEventID)
}

// assertTakenUpStreams has streams begin at one entry and taken up at another, and checks that each goes on at its software
// version.
func assertTakenUpStreams(t *testing.T, begins, continues *world) {
	t.Helper()
	var begun [versionedStreams]answer
	for i := range begun {
		begun[i] = begins.callStream(t, fmt.Sprint("/stream/", i), fmt.Sprint("begun-", i))
		require.Error(t, begun[i].err, "the stream should have broken off")
	}
	for i := range slices.Backward(begun[:]) { // in another order, so that a round robin doesn't choose the same runners again
		got := continues.takeUp(t, fmt.Sprint("/stream/", i), fmt.Sprint("taken-up-", i), fmt.Sprint("begun-", i), lastEvent(begun[i].body))
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status, got.body)
		assertOneVersion(t, begun[i].body+got.body)
		assertEventIDs(t, begun[i].body+got.body, 1, streamEvents)
	}
}

var (
	eventIDs       = regexp.MustCompile(`(?m)^id: (\d+)$`)
	eventsVersions = regexp.MustCompile(`(?m)^data: piece \d+ of (\S+)$`)
)

// lastEvent returns the ID of the last event of a stream.
func lastEvent(body string) string {
	all := eventIDs.FindAllStringSubmatch(body, -1)
	if len(all) == 0 {
		return ""
	}
	return all[len(all)-1][1]
}

// softwareOf returns the software versions that a stream's events name, each once.
func softwareOf(body string) []string {
	var versions []string
	for _, match := range eventsVersions.FindAllStringSubmatch(body, -1) {
		if !slices.Contains(versions, match[1]) {
			versions = append(versions, match[1])
		}
	}
	return versions
}

func assertOneVersion(t *testing.T, body string) {
	t.Helper()
	assert.Len(t, softwareOf(body), 1, "the stream is of several software versions: %s", body)
}

func assertEventIDs(t *testing.T, body string, first, last int) {
	t.Helper()
	var want, got []string
	for id := first; id <= last; id++ {
		want = append(want, strconv.Itoa(id))
	}
	for _, match := range eventIDs.FindAllStringSubmatch(body, -1) {
		got = append(got, match[1])
	}
	assert.Equal(t, want, got)
}

// Guards against refusing the rest of a stream while runners of its software version, all of which are leaving, serve on.
func TestRestOfStreamRefusedByLeavingRunners(t *testing.T) {
	store := site.NewStore()
	store.Put("config", "main", configWithSingleAttempt())
	w := startWithSettings(t, store, func(s *deployment.Settings) { s.Bounds.RunnerDrainDelay = time.Minute })
	defer w.stop()
	w.awaitReady(t)
	runner := w.addVersionedRunner(t, oldSoftware, breakOffAtFirst)
	begun := w.callStream(t, "/stream/x", "first")
	require.Error(t, begun.err)
	w.addVersionedRunnersOf(t, newSoftware, 2)
	record := runnerRecord(runner, "draining")
	record["version"] = oldSoftware
	w.store.Put("servers", runner.ID, record)
	w.eventually(t, func() bool { return w.gateway.state.Roster.Find(rillreach.InstanceID(runner.ID)).Info().Leaving })
	got := w.takeUp(t, "/stream/x", "second", "first", lastEvent(begun.body))
	require.NoError(t, got.err)
	assert.Equal(t, http.StatusOK, got.status)
	assertOneVersion(t, begun.body+got.body)
	before := len(runner.ReceivedRequests())
	w.callStream(t, "/stream/y", "third")
	assert.Len(t, runner.ReceivedRequests(), before, "a new stream must not begin at a runner that is leaving")
}

// Guards against an entry that chooses a leaving runner again and again for the rest of a stream though it asks for backoff.
func TestRestOfStreamWaitsForLeavingRunnerInBackoff(t *testing.T) {
	store := site.NewStore()
	store.Put("config", "main", configWithSingleAttempt())
	w := startWithSettings(t, store, func(s *deployment.Settings) { s.Bounds.RunnerDrainDelay = time.Minute })
	defer w.stop()
	w.awaitReady(t)
	runner := w.addVersionedRunner(t, oldSoftware, breakOffAtFirst)
	begun := w.callStream(t, "/stream/x", "first")
	record := runnerRecord(runner, "draining")
	record["version"] = oldSoftware
	w.store.Put("servers", runner.ID, record)
	known := w.gateway.state.Roster.Find(rillreach.InstanceID(runner.ID))
	w.eventually(t, func() bool { return known.Info().Leaving })
	known.BackOff(time.Now().Add(2 * time.Second))
	conn := w.sendStreamRequest(t, "/stream/x", "second", "Resumes: first", "Last-Event-Id: "+lastEvent(begun.body))
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
	assertGatewayAnswer(t, readAnswer(t, conn, http.MethodPost), http.StatusServiceUnavailable)
}
