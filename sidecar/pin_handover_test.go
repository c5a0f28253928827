package sidecar

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/pinning"
)

// Guards against losing the beginnings of streams when all agents are stopped one after the other, after the entries that
// began them have ended.
func TestStoppedAgentTakesStreamsAlong(t *testing.T) {
	d := newSmallDeployment(t, map[string]any{"name": "s", "engine": map[string]any{
		"slots": 64, "kv_capacity_tokens": 40000, "kv_token_bytes": 18432, "link_mbps": 130000, "models": []any{map[string]any{"name": "m"}},
	}})
	const agents = 4
	all, stops := make([]*Sidecar, agents), make([]func(), agents)
	for i := range all {
		all[i], stops[i] = d.startEngine(i+1, fmt.Sprint("z", i))
	}
	for _, agent := range all {
		require.Eventually(t, func() bool { return len(agent.otherAgents()) == agents-1 }, waitTimeout, 5*time.Millisecond)
	}
	const streams = 300
	for i := range streams {
		all[0].pins.Put(time.Now(), pinning.Record{Stream: streamNumber(i), Pin: pinning.Pin{Service: "s", Software: "v1"}, Left: time.Minute})
	}
	for i, stop := range stops[:agents-1] {
		stop()
		d.store.Remove("servers", fmt.Sprintf("a-%03d", i+1))
	}
	for i := range streams {
		found := all[agents-1].pins.Find(time.Now(), pinning.Query{Stream: streamNumber(i), Service: "s"})
		assert.True(t, found.Found, "stream %d", i)
	}
}

func streamNumber(n int) pinning.Stream {
	return pinning.Stream{Request: rillreach.RequestID(fmt.Sprint("r-", n))}
}
