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

// longPrompt returns a prompt that is long enough for its KV cache state to be stored.
func longPrompt(name string) string {
	var words strings.Builder
	for i := range 400 {
		fmt.Fprintf(&words, "%s%d ", name, i)
	}
	return strings.TrimSpace(words.String())
}

// storeFleet is a fleet with one engine and one store on each of the given sides.
type storeFleet struct {
	*testFleet
	url     string
	engines map[rillreach.Side]*process
	agents  map[rillreach.Side]*process
	stores  map[rillreach.Side]*process
}

func newStoreFleet(t *testing.T, sides ...rillreach.Side) *storeFleet {
	t.Helper()
	f := &storeFleet{
		testFleet: newFleet(t),
		engines:   map[rillreach.Side]*process{},
		agents:    map[rillreach.Side]*process{},
		stores:    map[rillreach.Side]*process{},
	}
	for _, side := range sides {
		f.stores[side] = start(t, "standin", "store", "--platform", f.platform, "--side", string(side))
		f.engines[side], f.agents[side] = f.startEngine(side)
	}
	f.url = "http://" + f.entry().address("callers") + chatPath
	return f
}

// awaitReady waits until the fleet answers prompts for an API key and each agent knows all instances.
func (f *storeFleet) awaitReady(key string) {
	f.t.Helper()
	awaitStatus(f.t, http.StatusOK, func() (answer, error) { return trySend(http.MethodPost, f.url, key, chatBody("warm up", false)) })
	for side, agent := range f.agents {
		eventually(f.t, func() bool {
			var status struct{ Members int }
			getJSON(f.t, "http://"+agent.address("operators")+"/status", &status)
			return status.Members >= 1+2*len(f.agents)
		}, "agent on side "+string(side)+" knows all instances")
	}
}

func (f *storeFleet) sendPrompt(key, text string) chatAnswer {
	f.t.Helper()
	parsed := decodeChat(f.t, send(f.t, http.MethodPost, f.url, key, chatBody(text, false)))
	assert.Equal(f.t, expectedAnswer(text), parsed.Choices[0].Message.Content)
	return parsed
}

func (f *storeFleet) storeCounts(side rillreach.Side) store.Counts {
	f.t.Helper()
	var counts store.Counts
	getJSON(f.t, "http://"+f.stores[side].address("standin")+"/counts", &counts)
	return counts
}

// storeAndEvict sends a prompt, waits until its state is stored and clears the engine's cache.
func (f *storeFleet) storeAndEvict(key, text string, side rillreach.Side) {
	f.t.Helper()
	before := f.storeCounts(side).Writes
	f.sendPrompt(key, text)
	eventually(f.t, func() bool { return f.storeCounts(side).Writes > before }, "state is stored")
	f.clearEngineCache(side)
}

// clearEngineCache clears the cache of an engine. awaitCacheEvents waits until its agent knows.
func (f *storeFleet) clearEngineCache(side rillreach.Side) {
	f.t.Helper()
	resp, err := http.Post("http://"+f.engines[side].address("standin")+"/cache/clear", "", nil)
	require.NoError(f.t, err)
	require.NoError(f.t, resp.Body.Close())
}

func (f *storeFleet) setStoreFaults(side rillreach.Side, faults string) {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPut, "http://"+f.stores[side].address("standin")+"/faults", strings.NewReader(faults))
	require.NoError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	require.NoError(f.t, resp.Body.Close())
}

// assertReuse sends a prompt and checks whether cached tokens were reused for it.
func (f *storeFleet) assertReuse(key, text string, reused bool) {
	f.t.Helper()
	cached := f.sendPrompt(key, text).Usage.Details.Cached
	assert.Equal(f.t, reused, cached > 0, "%d tokens reused", cached)
}

func TestStoredStateIsReused(t *testing.T) {
	f := newStoreFleet(t, rillreach.SideOld)
	key := f.createAccount("kigali", oldSideRow("m"))
	f.awaitReady(key)
	f.storeAndEvict(key, longPrompt("orders"), rillreach.SideOld)
	f.awaitCacheEvents()
	f.assertReuse(key, longPrompt("orders"), true)
	assert.Positive(t, f.storeCounts(rillreach.SideOld).Reads)
}

// awaitCacheEvents waits until the agents have read all cache events that their engines have published so far.
func (f *storeFleet) awaitCacheEvents() {
	f.t.Helper()
	for side, agent := range f.agents {
		var events struct{ Next uint64 }
		getJSON(f.t, "http://"+f.engines[side].address("standin")+"/kv/events?from=0", &events)
		eventually(f.t, func() bool {
			return events.Next == 0 || strings.Contains(agent.logText(), fmt.Sprintf(`"next":%d}`, events.Next))
		}, "agent reads the engine's cache events")
	}
}

func TestCorruptStateIsNotUsed(t *testing.T) {
	for name, faults := range map[string]string{
		"truncated":     `{"cutShort":true}`,
		"corrupt":       `{"spoil":true}`,
		"another block": `{"swap":true}`,
	} {
		t.Run(name, func(t *testing.T) {
			f := newStoreFleet(t, rillreach.SideOld)
			key := f.createAccount("kigali", oldSideRow("m"))
			f.awaitReady(key)
			f.storeAndEvict(key, longPrompt("first"), rillreach.SideOld)
			f.storeAndEvict(key, longPrompt("orders"), rillreach.SideOld)
			f.awaitCacheEvents()
			f.setStoreFaults(rillreach.SideOld, faults)
			f.assertReuse(key, longPrompt("first"), false)
			assert.Contains(t, f.agents[rillreach.SideOld].logText(), "kept state not used")
		})
	}
}

func TestStoreFailures(t *testing.T) {
	t.Run("prompts are answered after a store is killed", func(t *testing.T) {
		f := newStoreFleet(t, rillreach.SideOld)
		key := f.createAccount("kigali", oldSideRow("m"))
		f.awaitReady(key)
		f.storeAndEvict(key, longPrompt("orders"), rillreach.SideOld)
		f.awaitCacheEvents()
		f.stores[rillreach.SideOld].kill()
		f.assertReuse(key, longPrompt("orders"), false)
	})
	t.Run("prompts are answered while a store is full", func(t *testing.T) {
		f := newStoreFleet(t, rillreach.SideOld)
		key := f.createAccount("kigali", oldSideRow("m"))
		f.awaitReady(key)
		f.setStoreFaults(rillreach.SideOld, `{"full":true}`)
		f.sendPrompt(key, longPrompt("orders"))
		eventually(t, func() bool { return strings.Contains(f.agents[rillreach.SideOld].logText(), "state not kept") }, "store refuses the write")
		f.sendPrompt(key, longPrompt("receipts"))
	})
	t.Run("state is recomputed when the link is slow", func(t *testing.T) {
		f := newStoreFleet(t, rillreach.SideOld)
		key := f.createAccount("kigali", oldSideRow("m"))
		f.awaitReady(key)
		f.storeAndEvict(key, longPrompt("orders"), rillreach.SideOld)
		f.awaitCacheEvents()
		f.setStoreFaults(rillreach.SideOld, `{"rate":100}`)
		f.assertReuse(key, longPrompt("orders"), false)
	})
}

func TestAccountsDoNotShareState(t *testing.T) {
	f := newStoreFleet(t, rillreach.SideOld)
	first, second := f.createAccount("kigali", oldSideRow("m")), f.createAccount("oja", oldSideRow("m"))
	f.awaitReady(first)
	f.awaitReady(second)
	f.storeAndEvict(first, longPrompt("secret"), rillreach.SideOld)
	f.awaitCacheEvents()
	assert.Zero(t, f.sendPrompt(second, longPrompt("secret")).Usage.Details.Cached, "from the store")
	f.sendPrompt(first, longPrompt("other"))
	assert.Zero(t, f.sendPrompt(second, longPrompt("other")).Usage.Details.Cached, "from the engine's memory")
}

func TestWeightShiftCopiesState(t *testing.T) {
	f := newStoreFleet(t, rillreach.SideOld, rillreach.SideNew)
	key := f.createAccount("oja", oldSideRow("m"))
	f.awaitReady(key)
	f.storeAndEvict(key, longPrompt("transcript"), rillreach.SideOld)
	shifted := oldSideRow("m")
	shifted.Weights = rillreach.Weights{New: 100}
	key = f.createAccount("oja", shifted)
	eventually(t, func() bool { return f.storeCounts(rillreach.SideNew).Writes > 0 }, "state is copied to the new side")
	f.stores[rillreach.SideOld].kill()
	awaitStatus(t, http.StatusOK, func() (answer, error) { return trySend(http.MethodPost, f.url, key, chatBody("warm up", false)) })
	assert.Positive(t, f.sendPrompt(key, longPrompt("transcript")).Usage.Details.Cached)
}

func TestModelVersionsDoNotShareState(t *testing.T) {
	f := newStoreFleet(t, rillreach.SideOld)
	key := f.createAccount("kigali", oldSideRow("m"))
	f.awaitReady(key)
	f.storeAndEvict(key, longPrompt("orders"), rillreach.SideOld)
	secondEngine := start(t, "standin", "engine", "--engine-version", "v2")
	f.startAgent("--backend", "http://"+secondEngine.address("standin"), "--side", "old", "--model", "m", "--model-version", "v2")
	nextVersion := oldSideRow("m")
	nextVersion.Version = "v2"
	key = f.createAccount("kigali", nextVersion)
	body := chatBody(longPrompt("orders"), false)
	awaitStatus(t, http.StatusOK, func() (answer, error) {
		return trySend(http.MethodPost, f.url, key, strings.Replace(body, `"m"`, `"m@v2"`, 1))
	})
	var stats struct{ Requests, Imports, CachedTokens int }
	getJSON(t, "http://"+secondEngine.address("standin")+"/stats", &stats)
	assert.Equal(t, 1, stats.Requests)
	assert.Zero(t, stats.Imports)
	assert.Zero(t, stats.CachedTokens)
}

func TestStateIsStripedOverTwoStores(t *testing.T) {
	f := newStoreFleet(t, rillreach.SideOld)
	second := start(t, "standin", "store", "--platform", f.platform, "--side", "old")
	key := f.createAccount("kigali", oldSideRow("m"))
	f.awaitReady(key)
	eventually(t, func() bool {
		var status struct{ Members int }
		getJSON(t, "http://"+f.agents[rillreach.SideOld].address("operators")+"/status", &status)
		return status.Members == 4
	}, "agent knows both stores")
	f.storeAndEvict(key, longPrompt("orders"), rillreach.SideOld)
	eventually(t, func() bool {
		var counts store.Counts
		getJSON(t, "http://"+second.address("standin")+"/counts", &counts)
		return counts.Writes > 0
	}, "both stores hold a stripe")
	f.awaitCacheEvents()
	f.assertReuse(key, longPrompt("orders"), true)
	f.clearEngineCache(rillreach.SideOld)
	f.awaitCacheEvents()
	second.kill()
	f.assertReuse(key, longPrompt("orders"), false)
}
