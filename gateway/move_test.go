package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/standin/site"
	"github.com/rillreach/rillreach/roster"
)

// TestStreamStaysWhereOthersHaveNoRoom: an engine is about to load weights, and the only other one is full. A stream that left would
// wait there for room, with no engine left to be sent to.
func TestStreamStaysWhereOthersHaveNoRoom(t *testing.T) {
	empties := make(chan struct{})
	loads := &site.Engine{Model: site.Model, Version: 1}
	loads.ID = "loads"
	loads.Handle = func(w http.ResponseWriter, r *http.Request) {
		site.Events(w, r, 4, 0)
		<-empties
		for _, text := range []string{"id: 5\ndata: piece 5\n\n", "id: 6\ndata: piece 6\n\n"} {
			_, _ = io.WriteString(w, text)
			_ = http.NewResponseController(w).Flush()
		}
	}
	full := &site.Engine{Model: site.Model, Version: 1}
	full.ID = "full"
	w := enginesWorld(t, loads, full)
	defer w.stop()
	report := func(id rillreach.InstanceID, load deployment.Load) {
		w.gateway.state.Roster.Find(id).SetReport(roster.Report{Load: load, At: time.Now().Add(wait)})
	}
	report("full", deployment.Load{Running: 5, Used: 39000})
	conn := w.prompt(t, "/prompt/x")
	w.eventually(t, func() bool { return len(loads.Runs()) == 1 })
	report("loads", deployment.Load{Running: 1, Used: 1540, Busy: true})
	close(empties)
	got := read(t, conn, "POST")
	require.NoError(t, got.err)
	assert.Equal(t, pieces(6), got.body)
	assert.Empty(t, full.Runs())
}
