package sidecar

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/testr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/holdings"
	"github.com/rillreach/rillreach/platform"
)

// freeing is an agent that looks after a store with a part of replaced weights, which everybody has been told of for long enough.
type freeing struct {
	collector *collector
	kept      *kept
	frees     atomic.Int64
}

const expiredSalt = "1/m"

func newFreeing(t *testing.T, runners ...netip.AddrPort) *freeing {
	t.Helper()
	f := &freeing{}
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/kv-free" {
			f.frees.Add(1)
		}
		w.WriteHeader(http.StatusOK)
	}))
	t.Cleanup(store.Close)
	s := &Sidecar{Log: testr.New(t)}
	s.state.Log = s.Log
	s.state.SetWeights(deployment.DesiredWeights{Model: "m", Version: 2, Revision: rillreach.Revision{Number: 2}})
	for _, at := range runners {
		s.state.Roster.Put(deployment.Runner{
			ID: rillreach.InstanceID(at.String()), Service: "s", Address: at, Weights: map[rillreach.ModelID]deployment.WeightVersion{"m": 2},
		})
	}
	f.collector = &collector{sidecar: s}
	f.kept = &kept{holder: &holder{place: addressOf(store.URL), store: true, client: platform.NewRunnerClient(addressOf(store.URL)), log: s.Log}}
	f.kept.tracker.Apply([]holdings.Change{{Key: holdings.Key{Salt: expiredSalt, Part: "p"}, Tokens: 10}})
	f.kept.expired.MayFree(expiredSalt, time.Now().Add(-time.Hour), 0)
	return f
}

// unlist takes a runner off the list, after it has been noted, and has perhaps said that it leaves.
func (f *freeing) unlist(at netip.AddrPort, leaving bool) {
	roster := &f.collector.sidecar.state.Roster
	info := roster.ByAddress(at).Info()
	info.Leaving = leaving
	roster.Put(info)
	f.collector.noteRuns(time.Now())
	roster.Remove(time.Now(), info.ID, time.Time{})
}

// look looks at the store several times.
func (f *freeing) look(t *testing.T) {
	t.Helper()
	for range 3 {
		f.collector.noteRuns(time.Now())
		f.collector.free(context.Background(), f.kept)
	}
}

// TestFreeingWaitsForReaders: a runner that stands still may end a fetch long after the time that this was given.
func TestFreeingWaitsForReaders(t *testing.T) {
	well := func(t *testing.T) netip.AddrPort {
		t.Helper()
		runner := httptest.NewServer(&engine{version: 2})
		t.Cleanup(runner.Close)
		return addressOf(runner.URL)
	}
	silent := func(t *testing.T) netip.AddrPort {
		t.Helper()
		still, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = still.Close() })
		return netip.MustParseAddrPort(still.Addr().String())
	}
	t.Run("parts are freed where every runner answers", func(t *testing.T) {
		f := newFreeing(t, well(t), well(t))
		f.look(t)
		assert.Equal(t, int64(1), f.frees.Load())
	})
	t.Run("a runner that stands still is waited for", func(t *testing.T) {
		f := newFreeing(t, well(t), silent(t))
		f.look(t)
		assert.Zero(t, f.frees.Load())
	})
	t.Run("also one whose record has lapsed since", func(t *testing.T) {
		at := silent(t)
		f := newFreeing(t, well(t), at)
		f.unlist(at, false)
		f.look(t)
		assert.Zero(t, f.frees.Load())
	})
	t.Run("one whose record lapsed long ago is not waited for", func(t *testing.T) {
		at := silent(t)
		f := newFreeing(t, well(t), at)
		f.unlist(at, false)
		f.collector.runs[rillreach.InstanceID(at.String())].last = time.Now().Add(-readersMost)
		f.look(t)
		assert.Equal(t, int64(1), f.frees.Load())
	})
	t.Run("one that has left as it said reads nothing any more", func(t *testing.T) {
		at := silent(t)
		f := newFreeing(t, well(t), at)
		f.unlist(at, true)
		f.look(t)
		assert.Equal(t, int64(1), f.frees.Load())
	})
	t.Run("nor is one whose address another process has taken", func(t *testing.T) {
		other := httptest.NewServer(http.NotFoundHandler())
		t.Cleanup(other.Close)
		f := newFreeing(t, well(t), addressOf(other.URL))
		f.look(t)
		assert.Equal(t, int64(1), f.frees.Load())
	})
	t.Run("one that has ended reads nothing any more", func(t *testing.T) {
		ended := httptest.NewServer(&engine{version: 2})
		at := addressOf(ended.URL)
		ended.Close()
		f := newFreeing(t, well(t), at)
		f.look(t)
		assert.Equal(t, int64(1), f.frees.Load())
	})
}
