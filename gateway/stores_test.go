package gateway

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach/bulletin"
)

// TestTwoAgentsOfOneStore has two agents believe that they look after a store: one has called a salt expired and is about to
// free its parts, the other, which an entry heard last with everything, does not know of that.
func TestTwoAgentsOfOneStore(t *testing.T) {
	place := netip.MustParseAddrPort("10.0.0.9:1")
	now := time.Unix(100, 0)
	var book cacheState
	usable := func(salt string) bool {
		_, _, ok := book.usable(place, salt, now)
		return ok
	}
	book.applyStoreUpdate("new", 1000, &bulletin.CacheUpdate{Address: place, Store: true, Snapshot: true, ExpiringSalts: []string{"1/m"}}, now)
	book.applyStoreUpdate("old", 1010, &bulletin.CacheUpdate{Address: place, Store: true, Snapshot: true}, now)
	assert.False(t, usable("1/m"), "the last to tell everything is trusted, and yet the salt is expired")
	assert.True(t, usable("2/m"))
	book.applyStoreUpdate("new", 1020, &bulletin.CacheUpdate{Address: place, Store: true, ExpiringSalts: []string{"2/m"}}, now)
	assert.False(t, usable("2/m"), "a warning counts, whoever gives it")
	book.applyStoreUpdate("old", 1030, &bulletin.CacheUpdate{Address: place, Store: true}, now)
	assert.False(t, usable("2/m"), "and is not taken back")
}
