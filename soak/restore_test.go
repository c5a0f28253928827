package main

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestStoreRestoreRevertsNothing guards against changes that a restore of the store from a copy reverts or delays. Keys
// are removed and routes are added meanwhile, and entries and agents are killed and paused.
func TestStoreRestoreRevertsNothing(t *testing.T) {
	binary := buildProgram(t)
	for _, seed := range []uint64{1, 2} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			r := runFaults(t, binary, seed, 4, restoreFaults)
			require.NotEmpty(t, r.Probes)
			assert.Empty(t, checkGuarantees(r, false))
		})
	}
}

// TestConfigurationNotInForceIsReported checks the answers of entries against the configurations that must be in force.
func TestConfigurationNotInForceIsReported(t *testing.T) {
	start := time.Unix(1000, 0)
	violations := func(status int, away interval) int {
		r := &observations{
			Probes:       []probe{{Version: 3, Acked: start, At: start.Add(configDeadline), Status: status}},
			StoreOutages: map[int][]interval{0: {away}},
			Entries:      map[int]processHistory{0: {Lifetimes: []processLifetime{{Started: start.Add(-time.Hour)}}}},
		}
		n := 0
		r.checkProbes(func(string, ...any) { n++ })
		return n
	}
	t.Run("a known route is in force", func(t *testing.T) {
		assert.Zero(t, violations(http.StatusUnauthorized, interval{}))
	})
	t.Run("an unknown route is reported", func(t *testing.T) {
		assert.Equal(t, 1, violations(http.StatusNotFound, interval{}))
	})
	t.Run("an unknown route right after a store outage is ignored", func(t *testing.T) {
		assert.Zero(t, violations(http.StatusNotFound, interval{start, start}))
	})
}
