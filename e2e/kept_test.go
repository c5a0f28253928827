package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/standin/store"
)

// history is a prompt that is long enough to be kept.
func history(name string) string {
	var words strings.Builder
	for i := range 400 {
		fmt.Fprintf(&words, "%s%d ", name, i)
	}
	return strings.TrimSpace(words.String())
}

// keptFleet is a fleet with one engine and one store on each of some sides.
type keptFleet struct {
	*testFleet
	url     string
	engines map[rillreach.Side]*process
	agents  map[rillreach.Side]*process
	stores  map[rillreach.Side]*process
}

func newKeptFleet(t *testing.T, sides ...rillreach.Side) *keptFleet {
	t.Helper()
	f := &keptFleet{
		testFleet: newFleet(t),
		engines:   map[rillreach.Side]*process{},
		agents:    map[rillreach.Side]*process{},
		stores:    map[rillreach.Side]*process{},
	}
	for _, side := range sides {
		f.stores[side] = start(t, "standin", "store", "--platform", f.platform, "--side", string(side))
		f.engines[side], f.agents[side] = f.engine(side)
	}
	f.url = "http://" + f.entry().address("callers") + chatPath
	return f
}

// ready waits until the fleet answers prompts of a key, and knows its stores.
func (f *keptFleet) ready(key string) {
	f.t.Helper()
	serves(f.t, http.StatusOK, func() (answer, error) { return trySend(http.MethodPost, f.url, key, chatBody("warm up", false)) })
	for side, agent := range f.agents {
		eventually(f.t, func() bool {
			var status struct{ Members int }
			get(f.t, "http://"+agent.address("operators")+"/status", &status)
			return status.Members >= 1+2*len(f.agents)
		}, "agent on side "+string(side)+" knows all instances")
	}
}

func (f *keptFleet) ask(key, text string) chatAnswer {
	f.t.Helper()
	parsed := decodeChat(f.t, send(f.t, http.MethodPost, f.url, key, chatBody(text, false)))
	assert.Equal(f.t, expected(text), parsed.Choices[0].Message.Content)
	return parsed
}

func (f *keptFleet) storeCounts(side rillreach.Side) store.Counts {
	f.t.Helper()
	var counts store.Counts
	get(f.t, "http://"+f.stores[side].address("standin")+"/counts", &counts)
	return counts
}

// leave asks a prompt, waits until its state is kept, and has the engine forget it.
func (f *keptFleet) leave(key, text string, side rillreach.Side) {
	f.t.Helper()
	before := f.storeCounts(side).Writes
	f.ask(key, text)
	eventually(f.t, func() bool { return f.storeCounts(side).Writes > before }, "state is kept")
	f.forget(side)
}

// forget has an engine's cache dropped, and waits until its agent has heard of it.
func (f *keptFleet) forget(side rillreach.Side) {
	f.t.Helper()
	resp, err := http.Post("http://"+f.engines[side].address("standin")+"/cache/clear", "", nil)
	require.NoError(f.t, err)
	require.NoError(f.t, resp.Body.Close())
}

func (f *keptFleet) storeFaults(side rillreach.Side, faults string) {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPut, "http://"+f.stores[side].address("standin")+"/faults", strings.NewReader(faults))
	require.NoError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	require.NoError(f.t, resp.Body.Close())
}

// returnsWith asks a prompt again until the agent has heard that the engine forgot it, and checks how much was reused.
func (f *keptFleet) returnsWith(key, text string, reused bool) {
	f.t.Helper()
	cached := f.ask(key, text).Usage.Details.Cached
	assert.Equal(f.t, reused, cached > 0, "%d tokens reused", cached)
}

func TestKeptStateIsReused(t *testing.T) {
	f := newKeptFleet(t, rillreach.SideOld)
	key := f.account("kigali", allOld("m"))
	f.ready(key)
	f.leave(key, history("orders"), rillreach.SideOld)
	f.heard()
	f.returnsWith(key, history("orders"), true)
	assert.Positive(t, f.storeCounts(rillreach.SideOld).Reads)
}

// heard waits until the agents have read all of their engines' events so far.
func (f *keptFleet) heard() {
	f.t.Helper()
	for side, agent := range f.agents {
		var events struct{ Next uint64 }
		get(f.t, "http://"+f.engines[side].address("standin")+"/kv/events?from=0", &events)
		eventually(f.t, func() bool {
			return events.Next == 0 || strings.Contains(agent.text(), fmt.Sprintf(`"next":%d}`, events.Next))
		}, "agent hears of the engine's cache")
	}
}

func TestSpoiledStateIsNeverRead(t *testing.T) {
	for name, faults := range map[string]string{
		"cut short":     `{"cutShort":true}`,
		"spoiled":       `{"spoil":true}`,
		"another block": `{"swap":true}`,
	} {
		t.Run(name, func(t *testing.T) {
			f := newKeptFleet(t, rillreach.SideOld)
			key := f.account("kigali", allOld("m"))
			f.ready(key)
			f.leave(key, history("first"), rillreach.SideOld)
			f.leave(key, history("orders"), rillreach.SideOld)
			f.heard()
			f.storeFaults(rillreach.SideOld, faults)
			f.returnsWith(key, history("first"), false)
			assert.Contains(t, f.agents[rillreach.SideOld].text(), "kept state not used")
		})
	}
}

func TestStoreInTrouble(t *testing.T) {
	t.Run("a store that dies costs time and no answers", func(t *testing.T) {
		f := newKeptFleet(t, rillreach.SideOld)
		key := f.account("kigali", allOld("m"))
		f.ready(key)
		f.leave(key, history("orders"), rillreach.SideOld)
		f.heard()
		f.stores[rillreach.SideOld].kill()
		f.returnsWith(key, history("orders"), false)
	})
	t.Run("a store that is full costs nothing but the state", func(t *testing.T) {
		f := newKeptFleet(t, rillreach.SideOld)
		key := f.account("kigali", allOld("m"))
		f.ready(key)
		f.storeFaults(rillreach.SideOld, `{"full":true}`)
		f.ask(key, history("orders"))
		eventually(t, func() bool { return strings.Contains(f.agents[rillreach.SideOld].text(), "state not kept") }, "write is refused")
		f.ask(key, history("receipts"))
	})
	t.Run("a slow link is given up for recomputing", func(t *testing.T) {
		f := newKeptFleet(t, rillreach.SideOld)
		key := f.account("kigali", allOld("m"))
		f.ready(key)
		f.leave(key, history("orders"), rillreach.SideOld)
		f.heard()
		f.storeFaults(rillreach.SideOld, `{"rate":100}`)
		f.returnsWith(key, history("orders"), false)
	})
}

func TestAccountsShareNothing(t *testing.T) {
	f := newKeptFleet(t, rillreach.SideOld)
	first, second := f.account("kigali", allOld("m")), f.account("oja", allOld("m"))
	f.ready(first)
	f.ready(second)
	f.leave(first, history("secret"), rillreach.SideOld)
	f.heard()
	assert.Zero(t, f.ask(second, history("secret")).Usage.Details.Cached, "from the store")
	f.ask(first, history("other"))
	assert.Zero(t, f.ask(second, history("other")).Usage.Details.Cached, "from the engine's memory")
}

func TestShiftCopiesStateAhead(t *testing.T) {
	f := newKeptFleet(t, rillreach.SideOld, rillreach.SideNew)
	key := f.account("oja", allOld("m"))
	f.ready(key)
	f.leave(key, history("transcript"), rillreach.SideOld)
	moved := allOld("m")
	moved.Weights = rillreach.Weights{New: 100}
	key = f.account("oja", moved)
	eventually(t, func() bool { return f.storeCounts(rillreach.SideNew).Writes > 0 }, "state is copied ahead")
	f.stores[rillreach.SideOld].kill()
	serves(t, http.StatusOK, func() (answer, error) { return trySend(http.MethodPost, f.url, key, chatBody("warm up", false)) })
	assert.Positive(t, f.ask(key, history("transcript")).Usage.Details.Cached)
}

func TestVersionsShareNothing(t *testing.T) {
	f := newKeptFleet(t, rillreach.SideOld)
	key := f.account("kigali", allOld("m"))
	f.ready(key)
	f.leave(key, history("orders"), rillreach.SideOld)
	swapped := start(t, "standin", "engine", "--engine-version", "v2")
	f.agent("--backend", "http://"+swapped.address("standin"), "--side", "old", "--model", "m", "--model-version", "v2")
	next := allOld("m")
	next.Version = "v2"
	key = f.account("kigali", next)
	body := chatBody(history("orders"), false)
	serves(t, http.StatusOK, func() (answer, error) {
		return trySend(http.MethodPost, f.url, key, strings.Replace(body, `"m"`, `"m@v2"`, 1))
	})
	var stats struct{ Requests, Imports, CachedTokens int }
	get(t, "http://"+swapped.address("standin")+"/stats", &stats)
	assert.Equal(t, 1, stats.Requests)
	assert.Zero(t, stats.Imports)
	assert.Zero(t, stats.CachedTokens)
}

func TestStateIsSpreadOverTwoStores(t *testing.T) {
	f := newKeptFleet(t, rillreach.SideOld)
	second := start(t, "standin", "store", "--platform", f.platform, "--side", "old")
	key := f.account("kigali", allOld("m"))
	f.ready(key)
	eventually(t, func() bool {
		var status struct{ Members int }
		get(t, "http://"+f.agents[rillreach.SideOld].address("operators")+"/status", &status)
		return status.Members == 4
	}, "agent knows both stores")
	f.leave(key, history("orders"), rillreach.SideOld)
	eventually(t, func() bool {
		var counts store.Counts
		get(t, "http://"+second.address("standin")+"/counts", &counts)
		return counts.Writes > 0
	}, "both stores have a stripe")
	f.heard()
	f.returnsWith(key, history("orders"), true)
	f.forget(rillreach.SideOld)
	f.heard()
	second.kill()
	f.returnsWith(key, history("orders"), false)
}
