package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/standin/site"
)

// limited is the usual configuration with other limits.
func limited(limits jsonMap) jsonMap {
	config := defaultConfig()
	all := jsonMap{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	for name, value := range limits {
		all[name] = value
	}
	config["limits"] = all
	return config
}

func TestLimitsOfTheConfiguration(t *testing.T) {
	large := "X-Large: " + strings.Repeat("x", 40<<10)
	t.Run("a head that the configuration allows is served, however large", func(t *testing.T) {
		w := startWorld(t, limited(jsonMap{"max_header_bytes": 64 << 10}))
		defer w.stop()
		assertGatewayAnswer(t, w.send(t, "GET", "/repeat/", "", large), http.StatusServiceUnavailable) // there is no runner
	})
	t.Run("a head over the configuration's limit is refused", func(t *testing.T) {
		w := startWorld(t, limited(nil))
		defer w.stop()
		assertGatewayAnswer(t, w.send(t, "GET", "/repeat/", "", large), http.StatusRequestHeaderFieldsTooLarge)
	})
	t.Run("a connection that rests too long is closed", func(t *testing.T) {
		w := startWorld(t, limited(jsonMap{"idle_timeout_ms": 1}))
		defer w.stop()
		conn, err := net.Dial("tcp", w.callerAddress)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "GET /repeat/ HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n\r\n", host, key)
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
		all, err := io.ReadAll(conn)
		require.NoError(t, err, "the entry closes the connection")
		assert.Contains(t, string(all), "503")
	})
	t.Run("a head that begins and does not end closes its connection", func(t *testing.T) {
		w := startWorld(t, limited(jsonMap{"header_timeout_ms": 1}))
		defer w.stop()
		conn := w.dial(t)
		_, err := io.WriteString(conn, "GET /repeat/ HTTP/1.1\r\n")
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
		_, err = io.ReadAll(conn)
		assert.NoError(t, err, "the entry closes the connection")
	})
	t.Run("a few bytes after an answer do not keep a connection for good", func(t *testing.T) {
		w := startWorld(t, limited(jsonMap{"header_timeout_ms": 1, "idle_timeout_ms": 1}), &site.Runner{ID: "r1"})
		defer w.stop()
		conn := w.dial(t)
		w.sendGet(t, conn, "/repeat/x")
		answers := bufio.NewReader(conn)
		resp, err := http.ReadResponse(answers, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		_, err = io.WriteString(conn, "\r\n")
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
		_, err = io.ReadAll(answers)
		assert.NoError(t, err, "the entry closes the connection")
	})
	t.Run("a head may begin just before the rest is over", func(t *testing.T) {
		w := startWorld(t, limited(jsonMap{"idle_timeout_ms": 1}), &site.Runner{ID: "r1"})
		defer w.stop()
		conn := w.dial(t)
		head := fmt.Sprintf("GET /repeat/ HTTP/1.1\r\nHost: %s\r\nX-Rillreach-Attempt-Id: a1\r\nAuthorization: Bearer %s\r\n\r\n", host, key)
		_, err := io.WriteString(conn, head[:5])
		require.NoError(t, err)
		time.Sleep(connTimeoutSlack + 300*time.Millisecond) // beyond the rest that is allowed
		_, err = io.WriteString(conn, head[5:])
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, readAnswer(t, conn, "GET").status)
	})
	t.Run("a connection may rest for as long as the configuration in force says", func(t *testing.T) {
		g := &Gateway{}
		assert.Equal(t, defaultIdleTimeout+connTimeoutSlack, g.callerIdleTimeout())
		g.state.SetConfig(&deployment.Config{Revision: rillreach.Revision{Number: 1}, Limits: deployment.Limits{IdleTimeout: time.Minute}})
		assert.Equal(t, time.Minute+connTimeoutSlack, g.callerIdleTimeout())
	})
}

func TestConnectionInUseIsNotClosed(t *testing.T) {
	ours, theirs := net.Pipe()
	defer func() { _ = theirs.Close() }()
	hour := func() time.Duration { return time.Hour }
	k := &idleCloser{IdleTimeout: hour, HeadTimeout: hour}
	k.connState(ours, http.StateIdle)
	mine := k.conns[ours]
	k.connState(ours, http.StateActive)
	k.expire(ours, mine) // the time-out fires as the request comes in
	assert.NoError(t, ours.SetDeadline(time.Now().Add(time.Hour)), "the connection is still open")
}

// TestHungWatchIsNoticedInTime: a watch that the store swallowed at the end of its trouble must be given up before the entry
// counts as undisturbed again.
func TestHungWatchIsNoticedInTime(t *testing.T) {
	const givenUpAfter = 700 * time.Millisecond // beyond its wait, by the client of the store
	for _, contact := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 10 * time.Second} {
		g := &Gateway{Settings: &deployment.Settings{Bounds: deployment.Bounds{Recovery: contact, RunnerDrainNotice: 2 * time.Second}}}
		assert.Less(t, g.watchWait()+givenUpAfter, contact)
		assert.LessOrEqual(t, g.coalesceDelay(), time.Second)
	}
}

// TestRestUnderNewerConfiguration: a rest that began under a shorter limit is measured by the one in force when it ends, since
// the caller goes by that one.
func TestRestUnderNewerConfiguration(t *testing.T) {
	w := startWorld(t, limited(jsonMap{"idle_timeout_ms": 200}), &site.Runner{ID: "r1"})
	defer w.stop()
	conn := w.dial(t)
	answers := bufio.NewReader(conn)
	assertServed := func() {
		t.Helper()
		w.sendGet(t, conn, "/repeat/x")
		resp, err := http.ReadResponse(answers, nil)
		require.NoError(t, err, "the connection was closed while it might still be used")
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, resp.StatusCode)
	}
	assertServed()
	longer := limited(jsonMap{"idle_timeout_ms": 60000})
	longer["version"] = 2
	w.store.Put("config", "main", longer)
	w.eventually(t, func() bool { return w.gateway.callerIdleTimeout() > time.Minute })
	time.Sleep(connTimeoutSlack + 400*time.Millisecond) // beyond what the configuration allowed when the rest began
	assertServed()
}
