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

// Guards against moving a stream from an engine that is about to load weights to a full one. The stream would wait
// there for room, and the route allows no third engine.
func TestStreamMovesToFullEngine(t *testing.T) {
	sendFifth, sendSixth := make(chan struct{}), make(chan struct{})
	loads := &site.Engine{Model: site.Model, Version: 1}
	loads.ID = "loads"
	loads.Handle = func(w http.ResponseWriter, r *http.Request) {
		site.StreamEvents(w, r, 4, 0)
		writeEventAfter(w, 5, sendFifth)
		writeEventAfter(w, 6, sendSixth)
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
	w.eventually(t, func() bool { return len(loads.ReceivedRequests()) == 1 })
	report("loads", deployment.Load{Running: 1, UsedTokens: 1540, LoadingWeights: true})
	close(sendFifth)
	body := readThroughEvent(t, conn, 5) // by then the entry has decided whether to move the stream
	close(sendSixth)
	rest, err := io.ReadAll(body.rest)
	require.NoError(t, err)
	assert.Equal(t, eventsUpTo(6), body.read+string(rest))
	assert.Empty(t, full.ReceivedRequests())
}

// writeEventAfter writes an event once turn is closed.
func writeEventAfter(w http.ResponseWriter, id int, turn <-chan struct{}) {
	<-turn
	_, _ = io.WriteString(w, site.EventText(id))
	_ = http.NewResponseController(w).Flush()
}

// partialBody is the body of an answer, of which a part was read.
type partialBody struct {
	read string
	rest io.Reader
}

// readThroughEvent reads an answer up to the end of the event with the given ID.
func readThroughEvent(t *testing.T, conn net.Conn, id int) partialBody {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	require.NoError(t, err)
	b := partialBody{rest: resp.Body}
	buf := make([]byte, 256)
	for !strings.HasSuffix(b.read, site.EventText(id)) {
		n, err := resp.Body.Read(buf)
		require.NoError(t, err)
		b.read += string(buf[:n])
	}
	return b
}
