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

// Guards against the refusal of requests that reach an entry just before it has its configuration, as after a power
// loss when no other entry is up either.
func TestRequestRefusedBeforeInitialSync(t *testing.T) {
	begin := func(t *testing.T) (*world, *site.Store) {
		t.Helper()
		store := site.NewStore()
		r := &site.Runner{ID: "r", Handle: func(w http.ResponseWriter, req *http.Request) { site.WriteResponse(w, req, "sound") }}
		r.Start()
		t.Cleanup(r.Stop)
		store.Put("servers", r.ID, runnerRecord(r, "ready"))
		return startWithSettings(t, store, func(*deployment.Settings) {}), store
	}
	t.Run("a request shortly before the configuration arrives waits for it", func(t *testing.T) {
		w, store := begin(t)
		defer w.stop()
		time.AfterFunc(initialSyncTimeout/4, func() { store.Put("config", "main", defaultConfig()) })
		assert.Equal(t, http.StatusOK, w.send(t, "POST", "/once/x", "body").status)
	})
	t.Run("a request is refused after a short wait if no configuration arrives", func(t *testing.T) {
		w, _ := begin(t)
		defer w.stop()
		assertGatewayAnswer(t, w.send(t, "POST", "/once/x", "body"), http.StatusServiceUnavailable)
	})
	t.Run("only the first requests after the start wait", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := &Gateway{startedAt: time.Now()}
			for _, waited := range []time.Duration{initialSyncTimeout, 0} {
				start := time.Now()
				g.awaitSync(t.Context())
				assert.Equal(t, waited, time.Since(start))
			}
		})
	})
}
