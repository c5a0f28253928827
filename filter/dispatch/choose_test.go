package dispatch

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/membership"
	"github.com/rillreach/rillreach/node"
)

// newLargeFleetFilter returns a filter that knows 4,200 agents, whose engines serve 37 models.
func newLargeFleetFilter(tb testing.TB) *Filter {
	tb.Helper()
	members := membership.New()
	for i := range 4200 {
		value, err := json.Marshal(rillreach.Instance{
			ID: rillreach.InstanceID(fmt.Sprintf("agent-%05d", i)), Role: rillreach.RoleAgent, Incarnation: "1",
			Address: netip.MustParseAddrPort("127.0.0.1:1"), Side: rillreach.SideOld,
			Model: rillreach.ModelID(fmt.Sprint("model-", i%37)), Versions: []rillreach.VersionID{"v1"},
		})
		require.NoError(tb, err)
		require.NoError(tb, members.Apply(rillreach.Object{Name: fmt.Sprintf("agent-%05d", i), Version: uint64(i + 1), Value: value}))
	}
	return &Filter{Log: logr.Discard(), Node: &node.Node{Members: members, Clock: rillreach.ClockFunc(time.Now)}}
}

func newPromptRequest(model string) *rillreach.Request {
	return &rillreach.Request{
		Row: rillreach.Row{Model: rillreach.ModelID(model), Version: "v1", Weights: rillreach.Weights{Old: 100}}, Tokens: 1000, Conversation: 42,
	}
}

func TestChooseOnSide(t *testing.T) {
	f := newLargeFleetFilter(t)
	t.Run("a choice among 113 of 4,200 agents does not allocate", func(t *testing.T) {
		req := newPromptRequest("model-3")
		assert.Zero(t, testing.AllocsPerRun(100, func() { f.chooseOnSide(req, rillreach.SideOld, nil) }))
	})
	t.Run("requests of a conversation go to the same agent", func(t *testing.T) {
		first, _, _ := f.chooseOnSide(newPromptRequest("model-3"), rillreach.SideOld, nil)
		again, _, _ := f.chooseOnSide(newPromptRequest("model-3"), rillreach.SideOld, nil)
		assert.Equal(t, first.ID, again.ID)
	})
	t.Run("an agent that was tried is not chosen again", func(t *testing.T) {
		first, _, _ := f.chooseOnSide(newPromptRequest("model-3"), rillreach.SideOld, nil)
		next, _, _ := f.chooseOnSide(newPromptRequest("model-3"), rillreach.SideOld, []rillreach.InstanceID{first.ID})
		assert.NotEqual(t, first.ID, next.ID)
	})
	t.Run("a leaving agent is not chosen", func(t *testing.T) {
		first, _, _ := f.chooseOnSide(newPromptRequest("model-5"), rillreach.SideOld, nil)
		f.Node.Members.MarkLeaving(first.ID, first.Incarnation)
		next, _, _ := f.chooseOnSide(newPromptRequest("model-5"), rillreach.SideOld, nil)
		assert.NotEqual(t, first.ID, next.ID)
	})
	t.Run("a conversation's first agent is not chosen if it has a queue", func(t *testing.T) {
		first, _, _ := f.chooseOnSide(newPromptRequest("model-7"), rillreach.SideOld, nil)
		first.SetLoadHint(membership.LoadHint{QueueWait: 5 * time.Second, ReceivedAt: time.Now()})
		next, _, _ := f.chooseOnSide(newPromptRequest("model-7"), rillreach.SideOld, nil)
		assert.NotEqual(t, first.ID, next.ID)
	})
	t.Run("a side without weight gets no requests even if the other side has no agents", func(t *testing.T) {
		x := &rillreach.Exchange{Request: *newPromptRequest("model-3")}
		x.Request.Row.Weights = rillreach.Weights{New: 100}
		_, err := f.choose(x, nil, 1)
		var refusal *rillreach.Refusal
		require.ErrorAs(t, err, &refusal)
		assert.Equal(t, rillreach.OutcomeNotRun, refusal.Outcome)
		assert.Equal(t, rillreach.ReasonNoBackend, refusal.Reason)
	})
}

func BenchmarkChoose(b *testing.B) {
	f := newLargeFleetFilter(b)
	req := newPromptRequest("model-3")
	b.ReportAllocs()
	for b.Loop() {
		f.chooseOnSide(req, rillreach.SideOld, nil)
	}
}
