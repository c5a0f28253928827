package gateway

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach/bulletin"
)

// Two agents may both believe that they are responsible for a store. One has reported a salt as expiring and is about
// to free its parts. The other, which sent the last snapshot, does not know that. The entry must not use the salt.
func TestStoreWithTwoAgents(t *testing.T) {
	store := netip.MustParseAddrPort("10.0.0.9:1")
	now := time.Unix(100, 0)
	var cache cacheState
	usable := func(salt string) bool {
		_, _, ok := cache.usable(store, salt, now)
		return ok
	}
	cache.applyStoreUpdate("new", 1000, &bulletin.CacheUpdate{Address: store, Store: true, Snapshot: true, ExpiringSalts: []string{"1/m"}}, now)
	cache.applyStoreUpdate("old", 1010, &bulletin.CacheUpdate{Address: store, Store: true, Snapshot: true}, now)
	assert.False(t, usable("1/m"), "the salt stays expired despite a later snapshot of the other agent")
	assert.True(t, usable("2/m"))
	cache.applyStoreUpdate("new", 1020, &bulletin.CacheUpdate{Address: store, Store: true, ExpiringSalts: []string{"2/m"}}, now)
	assert.False(t, usable("2/m"), "an expiring salt counts whichever agent reports it")
	cache.applyStoreUpdate("old", 1030, &bulletin.CacheUpdate{Address: store, Store: true}, now)
	assert.False(t, usable("2/m"), "an expired salt stays expired")
}
