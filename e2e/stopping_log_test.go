package e2e

import (
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStopWithFullLogPipe guards against an entry that exceeds its grace period because the pipe of its log is full and
// never read.
func TestStopWithFullLogPipe(t *testing.T) {
	t.Parallel()
	const refusals = 1500 // their log lines exceed the capacity of a pipe
	s := newStopSite(t, 1)
	e := newPlatformEntry(t, "127.0.0.1", s.storeAddress)
	cmd := exec.Command(binary, "platform", "entry", "--settings-file", e.settingsFile)
	_, err := cmd.StdoutPipe() // never read
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	e.awaitReady(t)
	for range refusals {
		require.NotZero(t, getStatus("http://"+e.callerAddress+"/none"))
	}
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	ended := make(chan error, 1)
	go func() {
		_, err := cmd.Process.Wait()
		ended <- err
	}()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(stopGrace):
		require.Fail(t, "the process has not exited within its grace period")
	}
}
