package e2e

import (
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
)

// TestSIGHUPDoesNotStopProcess sends SIGHUP to an entry and an agent that read their settings only at the start. On the
// users' platform the signal asks for a reload of the settings; here the processes must keep running.
func TestSIGHUPDoesNotStopProcess(t *testing.T) {
	f := newFleet(t)
	_, agent := f.startEngine(rillreach.SideOld)
	key := f.createAccount("kigali", oldSideRow("m"))
	entry := f.entry()
	url := "http://" + entry.address("callers") + chatPath
	warm := func() (answer, error) { return trySend(http.MethodPost, url, key, chatBody("x", false)) }
	awaitStatus(t, http.StatusOK, warm)
	for name, p := range map[string]*process{"entry": entry, "agent": agent} {
		t.Run("an "+name+" keeps running", func(t *testing.T) {
			p.signal(syscall.SIGHUP)
			eventually(t, func() bool { return strings.Contains(p.logText(), "settings are read only at the start") }, "the process logs that the signal has no effect")
			a, err := warm()
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, a.status)
		})
	}
}
