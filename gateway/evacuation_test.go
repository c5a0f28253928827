package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/standin/site"
)

// startRunnerInZone starts and lists a runner in a zone. It answers with the name of the zone.
func startRunnerInZone(t *testing.T, store *site.Store, zone string) *site.Runner {
	t.Helper()
	r := &site.Runner{ID: "r-" + zone, Handle: func(w http.ResponseWriter, req *http.Request) { site.WriteResponse(w, req, zone) }}
	r.Start()
	t.Cleanup(r.Stop)
	listed := runnerRecord(r, "ready")
	listed["zone"] = zone
	store.Put("servers", r.ID, listed)
	return r
}

// TestEvacuatedZone checks that an evacuated zone gets no requests until the evacuation is withdrawn.
func TestEvacuatedZone(t *testing.T) {
	begin := func(t *testing.T, zones ...string) (*world, []*site.Runner) {
		t.Helper()
		store := site.NewStore()
		store.Put("config", "main", defaultConfig())
		var runners []*site.Runner
		for _, zone := range zones {
			runners = append(runners, startRunnerInZone(t, store, zone))
		}
		return startWithSettings(t, store, func(s *deployment.Settings) { s.Bounds.ZoneEvacuation = 5 * time.Second }), runners
	}
	served := func(t *testing.T, w *world) map[string]bool {
		t.Helper()
		zones := map[string]bool{}
		for range 40 {
			if got := w.send(t, "POST", "/once/x", "body"); got.status == http.StatusOK {
				zones[got.body] = true
			}
		}
		return zones
	}
	t.Run("its runners get no requests until the evacuation is withdrawn", func(t *testing.T) {
		w, _ := begin(t, "z1", "z2")
		defer w.stop()
		w.awaitReady(t)
		w.store.Put("evacuations", "z1", jsonMap{})
		w.eventually(t, func() bool { return w.gateway.state.Evacuations().Has("z1") })
		assert.Equal(t, map[string]bool{"z2": true}, served(t, w))
		w.store.Remove("evacuations", "z1")
		w.eventually(t, func() bool { return served(t, w)["z1"] })
	})
	t.Run("an entry that starts during an evacuation knows of it before its first request", func(t *testing.T) {
		w, runners := begin(t, "z1", "z2")
		w.awaitReady(t)
		w.store.Put("evacuations", "z1", jsonMap{})
		w.stop()
		later := startWithSettings(t, w.store, func(s *deployment.Settings) { s.Bounds.ZoneEvacuation = 5 * time.Second })
		defer later.stop()
		later.awaitReady(t)
		assert.Equal(t, map[string]bool{"z2": true}, served(t, later))
		assert.Empty(t, runners[0].ReceivedRequests())
	})
	t.Run("requests are refused at once if all zones are evacuated", func(t *testing.T) {
		w, _ := begin(t, "z1")
		defer w.stop()
		w.awaitReady(t)
		w.store.Put("evacuations", "z1", jsonMap{})
		w.eventually(t, func() bool { return w.gateway.state.Evacuations().Has("z1") })
		got := w.send(t, "POST", "/once/x", "body")
		assertGatewayAnswer(t, got, http.StatusServiceUnavailable)
		assert.Contains(t, got.body, verdictZoneEvacuated)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		assert.InDelta(t, evacuationRetryAfter.Seconds(), after, evacuationRetryAfter.Seconds()/2)
	})
}
