package e2e

import (
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

	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// TestSIGHUPDuringStart: the platform may say that the settings have changed while a process is only starting. The settings file
// is a pipe here, so that the process waits in its start for as long as the test likes.
func TestSIGHUPDuringStart(t *testing.T) {
	store := site.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	store.Put("config", "main", site.NewConfig(1, nil))
	callers, ready := freeAddress(t, "127.0.0.1"), freeAddress(t, "127.0.0.1")
	file := filepath.Join(t.TempDir(), "boot.toml")
	require.NoError(t, syscall.Mkfifo(file, 0o600))
	_, port, err := net.SplitHostPort(freeAddress(t, "127.0.0.1"))
	require.NoError(t, err)
	p := startWithLogPipe(t, (*exec.Cmd).StdoutPipe, "platform", "entry", "--settings-file", file, "--metrics-port", port)
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0) // returns once the process has begun to read
	require.NoError(t, err)
	p.signal(syscall.SIGHUP)
	_, err = pipe.WriteString((&site.Settings{
		Name: "entry-1", Host: netip.MustParseAddr("127.0.0.1"), PeerPort: 7580, FrontendAddress: callers, ReadinessAddress: ready,
		PlatformAddress: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
	}).TOML())
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	require.Eventually(t, func() bool { return getStatus("http://"+ready+"/ready") == http.StatusOK }, waitTimeout, 10*time.Millisecond)
}
