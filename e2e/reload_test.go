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

// TestSIGHUPDuringStart guards against a process that ends because the platform reports changed settings with SIGHUP
// while it is still starting. The settings file is a pipe, so that the test controls how long the start takes.
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
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0) // returns once the process has opened the file
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
