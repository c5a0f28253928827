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

// TestSIGHUPDoesNotStopProcess sends the daemons of our own interface the signal that asks others to read their settings again.
func TestSIGHUPDoesNotStopProcess(t *testing.T) {
	f := newFleet(t)
	_, agent := f.startEngine(rillreach.SideOld)
	key := f.createAccount("kigali", oldSideRow("m"))
	entry := f.startEntry()
	url := "http://" + entry.address("callers") + chatPath
	warm := func() (answer, error) { return trySend(http.MethodPost, url, key, chatBody("x", false)) }
	awaitStatus(t, http.StatusOK, warm)
	for name, p := range map[string]*process{"entry": entry, "agent": agent} {
		t.Run("an "+name+" goes on", func(t *testing.T) {
			p.signal(syscall.SIGHUP)
			eventually(t, func() bool { return strings.Contains(p.logText(), "settings are read only at the start") }, "it says what the signal does")
			a, err := warm()
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, a.status)
		})
	}
}
