package agent

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/node"
	"github.com/rillreach/rillreach/once"
	"github.com/rillreach/rillreach/peer"
)

const (
	patience = 30 * time.Second
	secret   = "a secret of this test"
	service  = rillreach.ServiceID("receipts")
	account  = rillreach.AccountID("oja")
)

// downStore is a platform that is down.
type downStore struct{ rillreach.ObjectStore }

var errDown = errors.New("platform is down")

// Get fails.
func (downStore) Get(context.Context, rillreach.ObjectKind, string) (rillreach.Object, error) {
	return rillreach.Object{}, errDown
}

// List fails.
func (downStore) List(context.Context, rillreach.ObjectKind) (rillreach.ObjectPage, error) {
	return rillreach.ObjectPage{}, errDown
}

// Watch fails.
func (downStore) Watch(context.Context, rillreach.ObjectKind, uint64, time.Duration) (rillreach.ObjectPage, error) {
	return rillreach.ObjectPage{}, errDown
}

// heldBackend answers with its body once it is let go; it is an engine, too.
type heldBackend struct {
	rillreach.Engine

	body    []byte
	started chan struct{}
	let     chan struct{}
}

func newHeld(body []byte) *heldBackend {
	return &heldBackend{body: body, started: make(chan struct{}, 1000), let: make(chan struct{})}
}

// Do waits and answers.
func (h *heldBackend) Do(ctx context.Context, _ rillreach.BackendRequest) (rillreach.BackendResponse, error) {
	h.started <- struct{}{}
	select {
	case <-h.let:
		return rillreach.BackendResponse{Status: http.StatusOK, Body: io.NopCloser(bytes.NewReader(h.body))}, nil
	case <-ctx.Done():
		return rillreach.BackendResponse{}, ctx.Err()
	}
}

// Load reports nothing.
func (h *heldBackend) Load(context.Context) (rillreach.EngineLoad, error) {
	return rillreach.EngineLoad{}, nil
}

// running is an agent that runs, and an entry's connection to it.
type running struct {
	t     *testing.T
	ctx   context.Context
	agent *Agent
	conn  *peer.Conn
	stop  func()
	ended chan error
}

func start(t *testing.T, a *Agent) *running {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	a.Secret = []byte(secret)
	a.Node = &node.Node{
		Self: rillreach.Instance{
			ID: "agent", Role: rillreach.RoleAgent, Incarnation: "1", Address: address, Side: rillreach.SideOld, Service: service,
		},
		Store: downStore{}, Listener: listener, Clock: node.SystemClock(), Log: logr.Discard(),
	}
	ctx, end := context.WithTimeout(context.Background(), patience)
	t.Cleanup(end)
	life, stop := context.WithCancel(ctx)
	r := &running{t: t, ctx: ctx, agent: a, stop: stop, ended: make(chan error, 1)}
	go func() { r.ended <- a.Run(life) }()
	entry := &peer.Pool{
		Self: rillreach.Instance{ID: "entry", Role: rillreach.RoleEntry, Incarnation: "1", Address: netip.MustParseAddrPort("127.0.0.1:1")},
		Mux:  &peer.Mux{Log: logr.Discard()}, Log: logr.Discard(),
	}
	entry.Start(ctx)
	r.conn, err = entry.Get(ctx, address)
	require.NoError(t, err)
	return r
}

// send sends one request and waits until the agent has said that it has it.
func (r *running) send(d fleet.Dispatch) *peer.ClientStream {
	r.t.Helper()
	d.ID, d.Account, d.Service, d.Method, d.Path = rillreach.RequestID(uuid.NewString()), account, service, http.MethodPost, "/issue"
	body, err := peer.Encode(d)
	require.NoError(r.t, err)
	s, err := r.conn.Open(r.ctx, peer.MethodDispatch, body)
	require.NoError(r.t, err)
	r.t.Cleanup(s.Close)
	part, err := s.Next(r.ctx)
	require.NoError(r.t, err)
	kind, _, err := fleet.SplitPart(part)
	require.NoError(r.t, err)
	require.Equal(r.t, fleet.PartAck, kind)
	return s
}

// read reads an answer to its end, which is io.EOF where it is whole.
func (r *running) read(s *peer.ClientStream) (size int, err error) {
	for {
		part, err := s.Next(r.ctx)
		if err != nil {
			return size, err
		}
		size += len(part)
	}
}

// refusal reads a stream that has to end with a refusal.
func (r *running) refusal(s *peer.ClientStream) *rillreach.Refusal {
	r.t.Helper()
	_, err := r.read(s)
	var refusal *rillreach.Refusal
	require.ErrorAs(r.t, err, &refusal)
	return refusal
}

func (r *running) ticket() string {
	r.t.Helper()
	ticket, err := once.NewSigner([]byte(secret)).Sign(once.Ticket{
		ID: uuid.NewString(), Account: account, Service: service, Owner: once.Owner{ID: "agent", Incarnation: "1"},
		Expires: time.Now().Add(time.Hour),
	})
	require.NoError(r.t, err)
	return ticket
}

// TestStopDeliversWhatIsWhole lets a leaving agent's last answers become whole all at once, with the platform down, so that
// nothing else holds the process up: it must not end before its peers have read them.
func TestStopDeliversWhatIsWhole(t *testing.T) {
	const requests = 200
	held := newHeld(bytes.Repeat([]byte("x"), 60<<10))
	r := start(t, &Agent{Backend: held, Engine: held, Slots: requests})
	var streams []*peer.ClientStream
	for range requests {
		streams = append(streams, r.send(fleet.Dispatch{}))
		<-held.started
	}
	r.stop()
	require.Eventually(t, r.agent.Node.Leaving, patience, time.Millisecond)
	close(held.let)
	require.NoError(t, <-r.ended)
	broken := map[string]int{}
	for _, s := range streams {
		if _, err := r.read(s); !errors.Is(err, io.EOF) {
			broken[fmt.Sprint(err)]++
		}
	}
	assert.Empty(t, broken, "answers that were whole were cut")
}

// TestStopAnswersWhatCannotEnd has an agent's grace end while one request runs and another waits behind it.
func TestStopAnswersWhatCannotEnd(t *testing.T) {
	const grace = 400 * time.Millisecond
	begin := func(t *testing.T) *running {
		t.Helper()
		return start(t, &Agent{Backend: newHeld(nil), Slots: 1, Grace: grace})
	}
	await := func(t *testing.T, r *running) {
		t.Helper()
		<-r.agent.Backend.(*heldBackend).started
	}
	t.Run("what runs may have run, and what waits has not", func(t *testing.T) {
		r := begin(t)
		runs := r.send(fleet.Dispatch{})
		await(t, r)
		waits := r.send(fleet.Dispatch{})
		r.stop()
		assert.Equal(t, rillreach.OutcomeUnknown, r.refusal(runs).Outcome)
		refusal := r.refusal(waits)
		assert.Equal(t, rillreach.OutcomeNotRun, refusal.Outcome)
		assert.Equal(t, rillreach.ReasonLeaving, refusal.Reason)
		require.NoError(t, <-r.ended)
	})
	t.Run("the same holds for marked calls, and is their owner's word", func(t *testing.T) {
		r := begin(t)
		runs := r.send(fleet.Dispatch{Once: true, Ticket: r.ticket()})
		await(t, r)
		waits := r.send(fleet.Dispatch{Once: true, Ticket: r.ticket()})
		r.stop()
		assert.Equal(t, rillreach.OutcomeUnknown, r.refusal(runs).Outcome)
		refusal := r.refusal(waits)
		assert.Equal(t, rillreach.OutcomeNotRun, refusal.Outcome)
		assert.Equal(t, rillreach.ReasonLeaving, refusal.Reason)
		assert.True(t, refusal.FromOwner)
		require.NoError(t, <-r.ended)
	})
}
