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

// TestLeavingDuringAnOutage has an agent leave while the platform is down and a long answer keeps it there: entries hear
// of it from the agent itself, and send it nothing new.
func TestLeavingDuringAnOutage(t *testing.T) {
	f := newFleet(t)
	engine, agent := f.engine(rillreach.SideOld, "--engine-token-time", "10ms")
	key := f.account("kigali", allOld("m"))
	entry := f.entry()
	url := "http://" + entry.address("callers") + chatPath
	request := func() (answer, error) { return trySend(http.MethodPost, url, key, chatBody("warm up", false)) }
	serves(t, http.StatusOK, request)
	f.setFaults(`{"down":true}`)
	running := open(t, url, key, longAnswer("true"))
	agent.signal(syscall.SIGTERM)
	eventually(t, func() bool { return strings.Contains(agent.text(), "leaving") }, "agent leaves")
	eventually(t, func() bool {
		a, err := request()
		return err == nil && a.header.Get(rillreach.HeaderReason) == string(rillreach.ReasonNoBackend)
	}, "entry knows that the agent leaves")
	var before, after struct{ Requests int }
	get(t, "http://"+engine.address("standin")+"/stats", &before)
	refused := strings.Count(entry.text(), `"reason":"leaving"`)
	for range 5 {
		a, err := request()
		require.NoError(t, err)
		assert.Equal(t, string(rillreach.OutcomeNotRun), a.header.Get(rillreach.HeaderOutcome), a.body)
	}
	get(t, "http://"+engine.address("standin")+"/stats", &after)
	assert.Equal(t, before, after, "a leaving agent was given new work")
	assert.Equal(t, refused, strings.Count(entry.text(), `"reason":"leaving"`), "a leaving agent was sent requests")
	assert.Contains(t, readAll(t, running), "data: [DONE]")
}
