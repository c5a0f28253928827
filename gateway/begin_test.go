package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/standin/site"
)

// TestRequestBeforeTheConfiguration has requests come to an entry in its first moments, as they do after a loss of power, when no other entry is
// there.
func TestRequestBeforeTheConfiguration(t *testing.T) {
	begin := func(t *testing.T) (*world, *site.Store) {
		t.Helper()
		store := site.NewStore()
		r := &site.Runner{ID: "r", Handle: func(w http.ResponseWriter, req *http.Request) { site.Answer(w, req, "sound") }}
		r.Start()
		t.Cleanup(r.Stop)
		store.Put("servers", r.ID, runnerRecord(r, "ready"))
		return startWithSettings(t, store, func(*deployment.Settings) {}), store
	}
	t.Run("one that comes soon before it waits", func(t *testing.T) {
		w, store := begin(t)
		defer w.stop()
		time.AfterFunc(beginWithin/4, func() { store.Put("config", "main", defaultConfig()) })
		assert.Equal(t, http.StatusOK, w.send(t, "POST", "/once/x", "body").status)
	})
	t.Run("where it doesn't come, one waits for a short time", func(t *testing.T) {
		w, _ := begin(t)
		defer w.stop()
		assertGatewayAnswer(t, w.send(t, "POST", "/once/x", "body"), http.StatusServiceUnavailable)
	})
	t.Run("later ones don't wait", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := &Gateway{startedAt: time.Now()}
			for _, waited := range []time.Duration{beginWithin, 0} {
				start := time.Now()
				g.awaitState(t.Context())
				assert.Equal(t, waited, time.Since(start))
			}
		})
	})
}
