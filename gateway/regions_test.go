package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/standin/site"
)

// TestAllowedRegions checks that requests run only in the regions that their route allows.
func TestAllowedRegions(t *testing.T) {
	store := site.NewStore()
	store.Put("config", "main", configWithRoutes(
		1,
		routeConfig("near", "non_idempotent", "plain", jsonMap{"allowed_regions": []string{"here"}}),
		routeConfig("far", "non_idempotent", "plain", jsonMap{"allowed_regions": []string{"there"}}),
		routeConfig("any", "non_idempotent", "plain", nil),
		routeConfig("none", "non_idempotent", "plain", jsonMap{"allowed_regions": []string{"elsewhere"}}),
	))
	for _, zone := range []string{"z1", "z2"} {
		startRunnerInZone(t, store, zone)
	}
	w := startWithSettings(t, store, func(s *deployment.Settings) {
		s.Regions = map[rillreach.ZoneID]rillreach.RegionID{"z1": "here", "z2": "there"}
	})
	defer w.stop()
	w.awaitReady(t)
	for route, want := range map[string]map[string]bool{
		"near": {"z1": true}, "far": {"z2": true},
	} {
		t.Run("route "+route, func(t *testing.T) {
			got := map[string]bool{}
			for range 40 {
				got[w.send(t, "POST", "/"+route+"/x", "body").body] = true
			}
			assert.Equal(t, want, got)
		})
	}
	t.Run("a request that may run anywhere prefers the zone of the entry", func(t *testing.T) {
		assert.Equal(t, "z1", w.send(t, "POST", "/any/x", "body").body)
	})
	t.Run("a request without a runner in an allowed region is refused at once", func(t *testing.T) {
		assertGatewayAnswer(t, w.send(t, "POST", "/none/x", "body"), http.StatusServiceUnavailable)
	})
}
