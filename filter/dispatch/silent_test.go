package dispatch

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/node"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/retry"
)

// newListeningFleet returns the filter of an entry that knows two agents of one model, which both use the given
// handler.
func newListeningFleet(t *testing.T, serve peer.Handler) *Filter {
	t.Helper()
	entry := &node.Node{
		Self: rillreach.Instance{ID: "entry", Role: rillreach.RoleEntry, Incarnation: "1", Address: netip.MustParseAddrPort("127.0.0.1:1")},
		Log:  logr.Discard(), Clock: rillreach.ClockFunc(time.Now),
	}
	entry.Init()
	entry.Pool.Start(t.Context())
	for i := range 2 {
		self := rillreach.Instance{
			ID: rillreach.InstanceID(fmt.Sprint("agent-", i)), Role: rillreach.RoleAgent, Incarnation: "1",
			Side: rillreach.SideOld, Model: "m", Versions: []rillreach.VersionID{"v1"},
		}
		pool := &peer.Pool{Mux: &peer.Mux{Log: logr.Discard()}, Log: logr.Discard()}
		pool.Mux.Handle(peer.MethodDispatch, serve)
		pool.Start(t.Context())
		server := httptest.NewServer(pool)
		t.Cleanup(server.Close)
		self.Address = netip.MustParseAddrPort(server.Listener.Addr().String())
		pool.Self = self
		entry.Members.Upsert(self)
	}
	return &Filter{Node: entry, Budget: &retry.Budget{}, AckTimeout: 100 * time.Millisecond, Log: logr.Discard()}
}

// sendResponse sends a complete response.
func sendResponse(ctx context.Context, call *peer.ServerStream, body string) error {
	ack, err := fleet.EncodePart(fleet.PartAck, fleet.Ack{})
	if err != nil {
		return err
	}
	head, err := fleet.EncodePart(fleet.PartHead, fleet.Head{Status: 200})
	if err != nil {
		return err
	}
	for _, part := range [][]byte{ack, head, fleet.BodyPart([]byte(body))} {
		if err := call.Send(ctx, part); err != nil {
			return err
		}
	}
	return nil
}

// An agent that does not acknowledge a request in time may only be stalled. Its response was lost if the other agents
// refused the request.
func TestLateAckIsUsedIfOtherAgentRefuses(t *testing.T) {
	var calls atomic.Int64
	refused := make(chan struct{})
	f := newListeningFleet(t, func(ctx context.Context, call *peer.ServerStream) error {
		if calls.Add(1) > 1 {
			defer close(refused)
			return rillreach.NotRun(rillreach.ReasonOverload, "queue is full")
		}
		select {
		case <-refused:
			return sendResponse(ctx, call, "late and whole")
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	w := httptest.NewRecorder()
	x := &rillreach.Exchange{Writer: w, Request: *newPromptRequest("m")}
	x.Request.Deadline = time.Now().Add(10 * time.Second)
	require.NoError(t, f.Run(t.Context(), x), "the first agent's response was discarded because of a refusal")
	assert.Equal(t, "late and whole", w.Body.String())
}
