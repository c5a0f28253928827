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

// TestRequestRefusedBeforeInitialSync has requests come to an entry in its first moments, as they do after a loss of power, when no other entry is
// there.
func TestRequestRefusedBeforeInitialSync(t *testing.T) {
	begin := func(t *testing.T) (*world, *site.Store) {
		t.Helper()
		store := site.NewStore()
		r := &site.Runner{ID: "r", Handle: func(w http.ResponseWriter, req *http.Request) { site.Answer(w, req, "sound") }}
		r.Start()
		t.Cleanup(r.Stop)
		store.Put("servers", r.ID, record(r, "ready"))
		return beginWith(t, store, func(*deployment.Settings) {}), store
	}
	t.Run("one that comes soon before it waits", func(t *testing.T) {
		w, store := begin(t)
		defer w.stop()
		time.AfterFunc(initialSyncTimeout/4, func() { store.Put("config", "main", defaultConfig()) })
		assert.Equal(t, http.StatusOK, w.call(t, "POST", "/once/x", "body").status)
	})
	t.Run("where it doesn't come, one waits for a short time", func(t *testing.T) {
		w, _ := begin(t)
		defer w.stop()
		assertOwn(t, w.call(t, "POST", "/once/x", "body"), http.StatusServiceUnavailable)
	})
	t.Run("later ones don't wait", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := &Gateway{began: time.Now()}
			for _, waited := range []time.Duration{initialSyncTimeout, 0} {
				start := time.Now()
				g.awaitSync(t.Context())
				assert.Equal(t, waited, time.Since(start))
			}
		})
	})
}
