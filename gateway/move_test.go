package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/standin/site"
	"github.com/rillreach/rillreach/roster"
)

// TestStreamMovesToFullEngine: an engine is about to load weights, and the only other one is full. A stream that left would
// wait there for room, with no engine left to be sent to.
func TestStreamMovesToFullEngine(t *testing.T) {
	empties, seen := make(chan struct{}), make(chan struct{})
	loads := &site.Engine{Model: site.Model, Version: 1}
	loads.ID = "loads"
	loads.Handle = func(w http.ResponseWriter, r *http.Request) {
		site.Events(w, r, 4, 0)
		writeEventAfter(w, 5, empties)
		writeEventAfter(w, 6, seen)
	}
	full := &site.Engine{Model: site.Model, Version: 1}
	full.ID = "full"
	w := enginesWorld(t, loads, full)
	defer w.stop()
	report := func(id rillreach.InstanceID, load deployment.Load) {
		w.gateway.state.Roster.Find(id).SetReport(roster.Report{Load: load, ReceivedAt: time.Now().Add(wait)})
	}
	report("full", deployment.Load{Running: 5, UsedTokens: 39000})
	conn := w.prompt(t, "/prompt/x")
	w.eventually(t, func() bool { return len(loads.Runs()) == 1 })
	report("loads", deployment.Load{Running: 1, UsedTokens: 1540, LoadingWeights: true})
	close(empties)
	body := readThroughEvent(t, conn, 5) // so that the entry has decided whether the stream moves
	close(seen)
	rest, err := io.ReadAll(body.rest)
	require.NoError(t, err)
	assert.Equal(t, pieces(6), body.read+string(rest))
	assert.Empty(t, full.Runs())
}

// writeEventAfter has a runner make an event once it is its turn.
func writeEventAfter(w http.ResponseWriter, id int, turn <-chan struct{}) {
	<-turn
	_, _ = io.WriteString(w, site.Piece(id))
	_ = http.NewResponseController(w).Flush()
}

// partialBody is an answer of which the caller has read a part.
type partialBody struct {
	read string
	rest io.Reader
}

// readThroughEvent reads an answer up to the end of an event.
func readThroughEvent(t *testing.T, conn net.Conn, id int) partialBody {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	require.NoError(t, err)
	b := partialBody{rest: resp.Body}
	buf := make([]byte, 256)
	for !strings.HasSuffix(b.read, site.Piece(id)) {
		n, err := resp.Body.Read(buf)
		require.NoError(t, err)
		b.read += string(buf[:n])
	}
	return b
}
