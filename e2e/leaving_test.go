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

// TestAgentLeavesDuringPlatformOutage guards against new requests for an agent that leaves while the platform is down.
// A long answer keeps the agent running, and entries must learn from the agent itself that it is leaving.
func TestAgentLeavesDuringPlatformOutage(t *testing.T) {
	f := newFleet(t)
	engine, agent := f.startEngine(rillreach.SideOld, "--engine-token-time", "10ms")
	key := f.createAccount("kigali", oldSideRow("m"))
	entry := f.entry()
	url := "http://" + entry.address("callers") + chatPath
	request := func() (answer, error) { return trySend(http.MethodPost, url, key, chatBody("warm up", false)) }
	awaitStatus(t, http.StatusOK, request)
	f.setFaults(`{"down":true}`)
	running := openStream(t, url, key, longAnswerRequest("true"))
	agent.signal(syscall.SIGTERM)
	eventually(t, func() bool { return strings.Contains(agent.logText(), "leaving") }, "agent starts leaving")
	eventually(t, func() bool {
		a, err := request()
		return err == nil && a.header.Get(rillreach.HeaderReason) == string(rillreach.ReasonNoBackend)
	}, "entry knows that the agent is leaving")
	var before, after struct{ Requests int }
	getJSON(t, "http://"+engine.address("standin")+"/stats", &before)
	refused := strings.Count(entry.logText(), `"reason":"leaving"`)
	for range 5 {
		a, err := request()
		require.NoError(t, err)
		assert.Equal(t, string(rillreach.OutcomeNotRun), a.header.Get(rillreach.HeaderOutcome), a.body)
	}
	getJSON(t, "http://"+engine.address("standin")+"/stats", &after)
	assert.Equal(t, before, after, "a leaving agent received new work")
	assert.Equal(t, refused, strings.Count(entry.logText(), `"reason":"leaving"`), "a leaving agent was sent requests")
	assert.Contains(t, readAll(t, running), "data: [DONE]")
}
