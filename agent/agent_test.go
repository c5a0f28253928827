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
	testTimeout = 30 * time.Second
	secret      = "a secret of this test"
	service     = rillreach.ServiceID("receipts")
	account     = rillreach.AccountID("oja")
)

// downStore is an object store whose calls all fail.
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

// blockingBackend responds with its body once release is closed. It also implements Engine.
type blockingBackend struct {
	rillreach.Engine

	body    []byte
	started chan struct{}
	release chan struct{}
}

func newBlockingBackend(body []byte) *blockingBackend {
	return &blockingBackend{body: body, started: make(chan struct{}, 1000), release: make(chan struct{})}
}

// Do blocks until release is closed, and then responds.
func (b *blockingBackend) Do(ctx context.Context, _ rillreach.BackendRequest) (rillreach.BackendResponse, error) {
	b.started <- struct{}{}
	select {
	case <-b.release:
		return rillreach.BackendResponse{Status: http.StatusOK, Body: io.NopCloser(bytes.NewReader(b.body))}, nil
	case <-ctx.Done():
		return rillreach.BackendResponse{}, ctx.Err()
	}
}

// Load returns an empty load.
func (b *blockingBackend) Load(context.Context) (rillreach.EngineLoad, error) {
	return rillreach.EngineLoad{}, nil
}

// testAgent is a running agent and an entry's connection to it.
type testAgent struct {
	t      *testing.T
	ctx    context.Context
	agent  *Agent
	conn   *peer.Conn
	stop   func()
	runErr chan error
}

func startAgent(t *testing.T, agent *Agent) *testAgent {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	agent.Secret = []byte(secret)
	agent.Node = &node.Node{
		Self: rillreach.Instance{
			ID: "agent", Role: rillreach.RoleAgent, Incarnation: "1", Address: address, Side: rillreach.SideOld, Service: service,
		},
		Store: downStore{}, Listener: listener, Clock: node.SystemClock(), Log: logr.Discard(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	runCtx, stop := context.WithCancel(ctx)
	a := &testAgent{t: t, ctx: ctx, agent: agent, stop: stop, runErr: make(chan error, 1)}
	go func() { a.runErr <- agent.Run(runCtx) }()
	entry := &peer.Pool{
		Self: rillreach.Instance{ID: "entry", Role: rillreach.RoleEntry, Incarnation: "1", Address: netip.MustParseAddrPort("127.0.0.1:1")},
		Mux:  &peer.Mux{Log: logr.Discard()}, Log: logr.Discard(),
	}
	entry.Start(ctx)
	a.conn, err = entry.Get(ctx, address)
	require.NoError(t, err)
	return a
}

// send opens a request and waits for the agent's acknowledgement.
func (a *testAgent) send(d fleet.Dispatch) *peer.ClientStream {
	a.t.Helper()
	d.ID, d.Account, d.Service, d.Method, d.Path = rillreach.RequestID(uuid.NewString()), account, service, http.MethodPost, "/issue"
	body, err := peer.Encode(d)
	require.NoError(a.t, err)
	s, err := a.conn.Open(a.ctx, peer.MethodDispatch, body)
	require.NoError(a.t, err)
	a.t.Cleanup(s.Close)
	part, err := s.Next(a.ctx)
	require.NoError(a.t, err)
	kind, _, err := fleet.SplitPart(part)
	require.NoError(a.t, err)
	require.Equal(a.t, fleet.PartAck, kind)
	return s
}

// readAnswer reads a response until an error, which is io.EOF if the response is complete.
func (a *testAgent) readAnswer(s *peer.ClientStream) (size int, err error) {
	for {
		part, err := s.Next(a.ctx)
		if err != nil {
			return size, err
		}
		size += len(part)
	}
}

// readRefusal reads a stream that must end with a refusal.
func (a *testAgent) readRefusal(s *peer.ClientStream) *rillreach.Refusal {
	a.t.Helper()
	_, err := a.readAnswer(s)
	var refusal *rillreach.Refusal
	require.ErrorAs(a.t, err, &refusal)
	return refusal
}

func (a *testAgent) newTicket() string {
	a.t.Helper()
	ticket, err := once.NewSigner([]byte(secret)).Sign(once.Ticket{
		ID: uuid.NewString(), Account: account, Service: service, Owner: once.Owner{ID: "agent", Incarnation: "1"},
		Expires: time.Now().Add(time.Hour),
	})
	require.NoError(a.t, err)
	return ticket
}

// TestShutdownDoesNotCutCompletedAnswers guards against a stopping agent that exits before its peers have read the
// last responses. All responses complete at once, and the platform is down, so that nothing else delays the exit.
func TestShutdownDoesNotCutCompletedAnswers(t *testing.T) {
	const requests = 200
	backend := newBlockingBackend(bytes.Repeat([]byte("x"), 60<<10))
	a := startAgent(t, &Agent{Backend: backend, Engine: backend, Slots: requests})
	var streams []*peer.ClientStream
	for range requests {
		streams = append(streams, a.send(fleet.Dispatch{}))
		<-backend.started
	}
	a.stop()
	require.Eventually(t, a.agent.Node.Leaving, testTimeout, time.Millisecond)
	close(backend.release)
	require.NoError(t, <-a.runErr)
	broken := map[string]int{}
	for _, s := range streams {
		if _, err := a.readAnswer(s); !errors.Is(err, io.EOF) {
			broken[fmt.Sprint(err)]++
		}
	}
	assert.Empty(t, broken, "complete answers were cut off")
}

// TestGraceExpiryAnswersUnfinishedRequests guards against connections that close without a final response. The grace
// period expires while one request runs and another waits behind it.
func TestGraceExpiryAnswersUnfinishedRequests(t *testing.T) {
	const grace = 400 * time.Millisecond
	startOne := func(t *testing.T) *testAgent {
		t.Helper()
		return startAgent(t, &Agent{Backend: newBlockingBackend(nil), Slots: 1, Grace: grace})
	}
	awaitStart := func(t *testing.T, a *testAgent) {
		t.Helper()
		<-a.agent.Backend.(*blockingBackend).started
	}
	t.Run("running request may have run, waiting request has not", func(t *testing.T) {
		a := startOne(t)
		running := a.send(fleet.Dispatch{})
		awaitStart(t, a)
		waiting := a.send(fleet.Dispatch{})
		a.stop()
		assert.Equal(t, rillreach.OutcomeUnknown, a.readRefusal(running).Outcome)
		refusal := a.readRefusal(waiting)
		assert.Equal(t, rillreach.OutcomeNotRun, refusal.Outcome)
		assert.Equal(t, rillreach.ReasonLeaving, refusal.Reason)
		require.NoError(t, <-a.runErr)
	})
	t.Run("refusals of at-most-once requests come from their owner", func(t *testing.T) {
		a := startOne(t)
		running := a.send(fleet.Dispatch{Once: true, Ticket: a.newTicket()})
		awaitStart(t, a)
		waiting := a.send(fleet.Dispatch{Once: true, Ticket: a.newTicket()})
		a.stop()
		assert.Equal(t, rillreach.OutcomeUnknown, a.readRefusal(running).Outcome)
		refusal := a.readRefusal(waiting)
		assert.Equal(t, rillreach.OutcomeNotRun, refusal.Outcome)
		assert.Equal(t, rillreach.ReasonLeaving, refusal.Reason)
		assert.True(t, refusal.FromOwner)
		require.NoError(t, <-a.runErr)
	})
}
