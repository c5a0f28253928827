package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/internal/standin/site"
)

const (
	// lateInterval is the time between two requests to a stopping entry.
	lateInterval = 250 * time.Millisecond
	// lastRequestMargin is the time between the last of them and the deadline of the stop.
	lastRequestMargin = 500 * time.Millisecond
)

// slowOnceStopping returns a handler that answers at once until the entry stops, and then begins answers and does not end
// them.
func slowOnceStopping(stopping func() bool, begin func(http.ResponseWriter, *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !stopping() {
			site.WriteResponse(w, r, "whole")
			return
		}
		begin(w, r)
		<-r.Context().Done()
	}
}

func beginNothing(http.ResponseWriter, *http.Request) {}

func beginPart(w http.ResponseWriter, r *http.Request) {
	site.SetSealHeaders(w, r)
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "part")
	_ = http.NewResponseController(w).Flush()
}

func beginUnframed(w http.ResponseWriter, r *http.Request) {
	site.SetSealHeaders(w, r)
	_, _ = io.WriteString(w, "part")
	_ = http.NewResponseController(w).Flush()
}

// Guards against requests that arrive late in a planned stop, are passed on, and are cut without an answer at its end.
func TestLateRequestCutByShutdown(t *testing.T) {
	for name, begin := range map[string]func(http.ResponseWriter, *http.Request){
		"the runner is silent": beginNothing, "the runner has sent a part": beginPart, "the runner has sent a part in chunks": beginUnframed,
	} {
		for _, body := range []string{"", strings.Repeat("x", 40<<10)} {
			t.Run(fmt.Sprintf("%s, body of %d bytes", name, len(body)), func(t *testing.T) {
				t.Parallel()
				var w *world
				runner := &site.Runner{ID: "r", Handle: slowOnceStopping(func() bool { return w.gateway.shuttingDown.Load() }, begin)}
				w = startWorld(t, defaultConfig(), runner)
				w.gateway.Settings.Bounds.GracePeriod = shortGrace
				t.Cleanup(w.stop)
				assertBody(t, w.send(t, "POST", "/once/early", body), "whole")
				w.stop()
				w.eventually(t, w.gateway.shuttingDown.Load)
				answers := w.sendUntil(t, w.gateway.shutdown.Deadline.Add(-lastRequestMargin), body)
				sent := sentTargets(runner)
				require.NotEmpty(t, sent, "no late request was passed on")
				for target, got := range answers {
					require.NoError(t, got.err, "%s was cut", target)
					assert.NotEqual(t, http.StatusOK, got.status)
					if got.status == http.StatusServiceUnavailable {
						assert.NotContains(t, sent, target, "a request that has run is said not to have")
					}
				}
			})
		}
	}
}

// sendUntil sends requests that must not run twice at intervals, each on a new connection, and returns their answers.
func (w *world) sendUntil(t *testing.T, until time.Time, body string) map[string]answer {
	t.Helper()
	conns := map[string]net.Conn{}
	for time.Now().Before(until) {
		conn, target := w.dial(t), fmt.Sprint("/once/", len(conns))
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Rillreach-Attempt-Id: a1\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", target, host, key, len(body), body)
		require.NoError(t, err)
		conns[target] = conn
		time.Sleep(lateInterval)
	}
	answers := map[string]answer{}
	for target, conn := range conns {
		answers[target] = readAnswer(t, conn, http.MethodPost)
	}
	return answers
}

// sentTargets returns the targets of the requests that a runner has received.
func sentTargets(r *site.Runner) map[string]bool {
	targets := map[string]bool{}
	for _, received := range r.ReceivedRequests() {
		targets[received.Target] = true
	}
	delete(targets, "/once/early")
	return targets
}
