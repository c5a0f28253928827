package e2e

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/internal/standin"
	"github.com/rillreach/rillreach/internal/standin/site"
)

// platformEntry is an entry on the users' platform that runs as a separate process.
type platformEntry struct {
	*process
	callerAddress    string
	readinessAddress string
	metricsAddress   string
	settingsFile     string
	validSettings    string
}

// ports gives out the ports of the entries. Test programs that run at the same time begin at different ones.
var ports = standin.Ports{Next: uint16(rand.IntN(standin.PortCount))}

// freeAddress returns an address that stays free until a process listens there.
func freeAddress(t *testing.T, host string) string {
	t.Helper()
	address, err := ports.Free(netip.MustParseAddr(host))
	require.NoError(t, err)
	return address.String()
}

func startPlatformEntry(t *testing.T, store string) *platformEntry {
	t.Helper()
	e := newPlatformEntry(t, "127.0.0.1", store)
	e.start(t)
	e.awaitReady(t)
	return e
}

// newPlatformEntry chooses the addresses of an entry and writes its settings file, but does not start a process.
func newPlatformEntry(t *testing.T, host, store string) *platformEntry {
	t.Helper()
	e := &platformEntry{
		callerAddress: freeAddress(t, host), readinessAddress: freeAddress(t, host), metricsAddress: freeAddress(t, host),
		settingsFile: filepath.Join(t.TempDir(), "boot.toml"),
	}
	e.validSettings = (&site.Settings{
		Name: "entry-1", Host: netip.MustParseAddr(host), PeerPort: 7580, FrontendAddress: e.callerAddress, ReadinessAddress: e.readinessAddress,
		PlatformAddress: netip.MustParseAddrPort(store),
	}).TOML()
	e.writeSettings(t, e.validSettings)
	return e
}

// start starts or restarts the process of the entry.
func (e *platformEntry) start(t *testing.T) {
	t.Helper()
	_, port, err := net.SplitHostPort(e.metricsAddress)
	require.NoError(t, err)
	e.process = startWithLogPipe(t, (*exec.Cmd).StdoutPipe, "platform", "entry", "--settings-file", e.settingsFile, "--metrics-port", port)
}

func (e *platformEntry) awaitReady(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool { return getStatus("http://"+e.readinessAddress+"/ready") == http.StatusOK }, waitTimeout, 10*time.Millisecond)
}

func (e *platformEntry) writeSettings(t *testing.T, text string) {
	t.Helper()
	require.NoError(t, os.WriteFile(e.settingsFile, []byte(text), 0o600))
}

// getStatus returns the status code of the answer to a GET request, or zero if there is no answer.
func getStatus(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// call sends one request on a new connection. closes reports that the entry asked to close the connection.
func (e *platformEntry) call(t *testing.T) (got int, closes bool) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+e.callerAddress+"/r/x", http.NoBody)
	require.NoError(t, err)
	req.Header.Set("X-Rillreach-Attempt-Id", "a1")
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Do(req)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode, resp.Close
}

func TestPlatformEntry(t *testing.T) {
	store, runner := site.NewStore(), &site.Runner{ID: "r1"}
	runner.Start()
	t.Cleanup(runner.Stop)
	store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "r", "host": "127.0.0.1", "path_prefix": "/r/", "kind": "idempotent", "timeout_ms": 5000, "service": "s", "max_attempts": 1,
		}},
		"services": []map[string]any{{"name": "s"}},
		"limits":   map[string]any{"max_body_bytes": 1000},
	})
	store.Put("servers", "r1", site.NewRunnerRecord(runner.Address(), "ready"))
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	e := startPlatformEntry(t, strings.TrimPrefix(server.URL, "http://"))
	// Requests here carry the port in the Host header, so the route must name the host with its port.
	store.Put("config", "main", map[string]any{
		"version": 2,
		"routes": []map[string]any{{
			"name": "r", "host": e.callerAddress, "path_prefix": "/r/", "kind": "idempotent", "timeout_ms": 5000, "service": "s", "max_attempts": 1,
		}},
		"services": []map[string]any{{"name": "s"}},
		"limits":   map[string]any{"max_body_bytes": 1000},
	})
	require.Eventually(t, func() bool { got, _ := e.call(t); return got == http.StatusOK }, waitTimeout, 10*time.Millisecond)

	t.Run("an invalid settings file leaves the last valid settings in force", func(t *testing.T) {
		e.writeSettings(t, "= =")
		e.signal(syscall.SIGHUP)
		require.Eventually(t, func() bool { return strings.Contains(e.logText(), "settings refused") }, waitTimeout, 10*time.Millisecond)
		got, closes := e.call(t)
		assert.Equal(t, http.StatusOK, got)
		assert.False(t, closes)
		e.writeSettings(t, e.validSettings)
		e.signal(syscall.SIGHUP)
		require.Eventually(t, func() bool { return strings.Contains(e.logText(), "settings read again") }, waitTimeout, 10*time.Millisecond)
	})
	t.Run("requests are answered from the known configuration while the store is down", func(t *testing.T) {
		store.FailWithStatus(http.StatusServiceUnavailable)
		require.Eventually(t, func() bool { return strings.Contains(e.logText(), "dependency lost") }, waitTimeout, 10*time.Millisecond)
		got, _ := e.call(t)
		assert.Equal(t, http.StatusOK, got)
		store.FailWithStatus(0)
		require.Eventually(t, func() bool { return strings.Contains(e.logText(), "dependency regained") }, waitTimeout, 10*time.Millisecond)
	})
	t.Run("metrics are served", func(t *testing.T) {
		resp, err := http.Get("http://" + e.metricsAddress + "/metrics")
		require.NoError(t, err)
		text, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		for _, name := range []string{"rillreach_requests_total", "rillreach_config_version", "rillreach_runners", "rillreach_step_duration"} {
			assert.Contains(t, string(text), name)
		}
	})
	t.Run("a stopping entry reports not ready at once and still answers requests", func(t *testing.T) {
		e.signal(syscall.SIGTERM)
		require.Eventually(t, func() bool { return getStatus("http://"+e.readinessAddress+"/ready") == http.StatusServiceUnavailable }, waitTimeout, 5*time.Millisecond)
		got, closes := e.call(t)
		assert.Equal(t, http.StatusOK, got)
		assert.True(t, closes)
		<-e.exited
		assert.Zero(t, e.cmd.ProcessState.ExitCode())
	})
	t.Run("each log line is JSON, and start and stop are logged", func(t *testing.T) {
		for line := range strings.Lines(e.logText()) {
			assert.True(t, json.Valid([]byte(line)), line)
		}
		for _, message := range []string{`"msg":"starting"`, `"msg":"stopping"`, `"msg":"stopped"`, `"msg":"answered"`} {
			assert.Contains(t, e.logText(), message)
		}
	})
}

func TestInvalidPlatformSettingsAreRejected(t *testing.T) {
	file := filepath.Join(t.TempDir(), "boot.toml")
	require.NoError(t, os.WriteFile(file, []byte("ip = \"nowhere\"\n[platform]\naddress = \"bad\"\n"), 0o600))
	for _, args := range [][]string{{"platform", "entry", "--settings-file", file}, {"platform", "agent", "--settings-file", file}, {"platform", "check", file}} {
		_, errOut, code := runCommand(t, "", args...)
		assert.Equal(t, 2, code, args)
		assert.Contains(t, errOut, `"nowhere" is not an IP address`)
		assert.Contains(t, errOut, `"bad" is not an IP address with a port`)
	}
}
