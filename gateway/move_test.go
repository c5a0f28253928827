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

// TestStreamStaysWhereOthersHaveNoRoom: an engine is about to load weights, and the only other one is full. A stream that left would
// wait there for room, with no engine left to be sent to.
func TestStreamStaysWhereOthersHaveNoRoom(t *testing.T) {
	empties, seen := make(chan struct{}), make(chan struct{})
	loads := &site.Engine{Model: site.Model, Version: 1}
	loads.ID = "loads"
	loads.Handle = func(w http.ResponseWriter, r *http.Request) {
		site.Events(w, r, 4, 0)
		passEvent(w, 5, empties)
		passEvent(w, 6, seen)
	}
	full := &site.Engine{Model: site.Model, Version: 1}
	full.ID = "full"
	w := startWithEngines(t, loads, full)
	defer w.stop()
	report := func(id rillreach.InstanceID, load deployment.Load) {
		w.gateway.state.Roster.Find(id).SetReport(roster.Report{Load: load, ReceivedAt: time.Now().Add(testTimeout)})
	}
	report("full", deployment.Load{Running: 5, UsedTokens: 39000})
	conn := w.sendPrompt(t, "/prompt/x")
	w.eventually(t, func() bool { return len(loads.Runs()) == 1 })
	report("loads", deployment.Load{Running: 1, UsedTokens: 1540, LoadingWeights: true})
	close(empties)
	body := awaitPiece(t, conn, 5) // so that the entry has decided whether the stream moves
	close(seen)
	rest, err := io.ReadAll(body.rest)
	require.NoError(t, err)
	assert.Equal(t, eventsUpTo(6), body.read+string(rest))
	assert.Empty(t, full.Runs())
}

// passEvent has a runner make an event once it is its turn.
func passEvent(w http.ResponseWriter, id int, turn <-chan struct{}) {
	<-turn
	_, _ = io.WriteString(w, site.Piece(id))
	_ = http.NewResponseController(w).Flush()
}

// begunBody is an answer of which the caller has read a part.
type begunBody struct {
	read string
	rest io.Reader
}

// awaitPiece reads an answer up to the end of an event.
func awaitPiece(t *testing.T, conn net.Conn, id int) begunBody {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	require.NoError(t, err)
	b := begunBody{rest: resp.Body}
	buf := make([]byte, 256)
	for !strings.HasSuffix(b.read, site.Piece(id)) {
		n, err := resp.Body.Read(buf)
		require.NoError(t, err)
		b.read += string(buf[:n])
	}
	return b
}
