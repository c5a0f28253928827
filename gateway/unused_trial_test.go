package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/standin/site"
	"github.com/rillreach/rillreach/poison"
)

// Guards against holding a harmless request back because its trials end without having reached a runner.
func TestUnusedTrialHoldsRequestBack(t *testing.T) {
	t.Run("a runner refuses the trial", func(t *testing.T) {
		w, refusals := quarantineWorld(t)
		refusals.Store(1)
		got := w.send(t, "GET", "/repeat/x", "")
		assert.Equal(t, http.StatusOK, got.status, "the trial was not sent to the other runner")
		assert.False(t, w.isQuarantined())
	})
	t.Run("all runners refuse the trial", func(t *testing.T) {
		w, refusals := quarantineWorld(t)
		refusals.Store(2)
		assert.Equal(t, http.StatusServiceUnavailable, w.send(t, "GET", "/repeat/x", "").status)
		require.Zero(t, refusals.Load())
		require.True(t, w.isQuarantined())
		assert.Equal(t, http.StatusOK, w.send(t, "GET", "/repeat/x", "").status, "the next request is no trial")
		assert.False(t, w.isQuarantined())
	})
	t.Run("the trial finds no runner", func(t *testing.T) {
		w, _ := quarantineWorld(t)
		for _, id := range []string{"a", "b"} {
			w.store.Remove("servers", id)
		}
		w.eventually(t, func() bool { return w.gateway.state.Roster.Len() == 0 })
		assert.Equal(t, http.StatusServiceUnavailable, w.send(t, "GET", "/repeat/x", "").status)
		late := &site.Runner{ID: "late"}
		late.Start()
		t.Cleanup(late.Stop)
		w.store.Put("servers", "late", runnerRecord(late, "ready"))
		w.eventually(t, func() bool { return w.gateway.state.Roster.Len() == 1 })
		assert.Equal(t, http.StatusOK, w.send(t, "GET", "/repeat/x", "").status, "the next request is no trial")
	})
	t.Run("a trial that a runner has begun is followed by no other", func(t *testing.T) {
		var begun atomic.Int64
		breakOff := func(http.ResponseWriter, *http.Request) {
			begun.Add(1)
			panic(http.ErrAbortHandler)
		}
		w := startWorld(t, defaultConfig(), &site.Runner{ID: "a", Handle: breakOff}, &site.Runner{ID: "b", Handle: breakOff})
		t.Cleanup(w.stop)
		w.quarantine()
		for range 2 {
			assert.Equal(t, http.StatusBadGateway, w.send(t, "GET", "/repeat/x", "").status)
		}
		assert.EqualValues(t, 1, begun.Load())
	})
}

// quarantineWorld is an entry with two runners, which refuse as many requests as the counter says, and a quarantined
// request that is due for a trial.
func quarantineWorld(t *testing.T) (*world, *atomic.Int64) {
	t.Helper()
	refusals := &atomic.Int64{}
	handle := func(w http.ResponseWriter, r *http.Request) {
		if refusals.Add(-1) >= 0 {
			site.WriteNotExecuted(w, r)
			return
		}
		refusals.Add(1)
		site.WriteResponse(w, r, "sound")
	}
	w := startWorld(t, defaultConfig(), &site.Runner{ID: "a", Handle: handle}, &site.Runner{ID: "b", Handle: handle})
	t.Cleanup(w.stop)
	w.quarantine()
	return w, refusals
}

// popularFingerprint returns the fingerprint of the requests of these tests.
func popularFingerprint() poison.Fingerprint {
	r := poison.Request{Caller: "account shop", Method: "GET", Host: host, Target: "/repeat/x"}
	return r.Fingerprint()
}

// quarantine records that runners have answered the request before, and that runners have crashed on it some time ago.
func (w *world) quarantine() {
	const crashAge = 30 * time.Second
	now := w.gateway.Clock.Now()
	w.gateway.suspects.RecordAnswer(now, popularFingerprint())
	for i := range poison.MaxCrashes {
		w.gateway.suspects.Record(now, poison.Crash{Request: popularFingerprint(), Runner: rillreach.InstanceID(fmt.Sprint("gone", i)), Age: crashAge})
	}
}

func (w *world) isQuarantined() bool {
	return w.gateway.suspects.Quarantined(w.gateway.Clock.Now(), popularFingerprint())
}
