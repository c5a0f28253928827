package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// foreignRecords returns invalid records as other software may write them, some of them with the runner's address.
func foreignRecords(r *site.Runner) map[string]any {
	withoutSlots := runnerRecord(r, "ready")
	delete(withoutSlots, "slots")
	unknownService := runnerRecord(r, "ready")
	unknownService["service"] = "another"
	return map[string]any{"0": 7, "a0": withoutSlots, "b0": runnerRecord(r, "resting"), "c0": unknownService, "z": nil, "zz": "text", "": map[string]any{}}
}

func TestRecordsOfOtherWriters(t *testing.T) {
	good, changing := &site.Runner{ID: "good"}, &site.Runner{ID: "turns"}
	w := startWorld(t, defaultConfig(), good, changing)
	defer w.stop()
	used := func() int { return len(w.gateway.state.Roster.ByService("plain")) }
	assertServed := func(t *testing.T) {
		t.Helper()
		for range 6 {
			assert.Equal(t, http.StatusOK, w.send(t, "POST", "/once/x", "body").status)
		}
	}
	t.Run("valid runners are used beside invalid records", func(t *testing.T) {
		for name, spec := range foreignRecords(good) {
			w.store.Put("servers", name, spec)
		}
		last := w.store.Put("servers", "turns", runnerRecord(changing, "ready"))
		w.eventually(t, func() bool { return w.gateway.state.Roster.Find("turns").Info().Revision.Number == last })
		assert.Equal(t, 2, used())
		assertServed(t)
	})
	t.Run("a runner whose record becomes invalid gets no requests", func(t *testing.T) {
		w.store.Put("servers", "turns", map[string]any{"service": "plain"})
		w.eventually(t, func() bool { return used() == 1 })
		before := len(changing.ReceivedRequests())
		assertServed(t)
		assert.Len(t, changing.ReceivedRequests(), before)
	})
	t.Run("the runner gets requests again once its record is valid", func(t *testing.T) {
		w.store.Put("servers", "turns", runnerRecord(changing, "ready"))
		w.eventually(t, func() bool { return used() == 2 })
		before := len(changing.ReceivedRequests())
		w.eventually(t, func() bool {
			return w.send(t, "GET", "/repeat/x", "").status == http.StatusOK && len(changing.ReceivedRequests()) > before
		})
	})
	t.Run("a runner that is also listed under a second key is used under its own", func(t *testing.T) {
		w.store.Put("servers", "copy", runnerRecord(good, "ready"))
		w.eventually(t, func() bool { return w.gateway.state.Roster.Find("copy") != nil })
		before := len(good.ReceivedRequests())
		assertServed(t)
		w.eventually(t, func() bool {
			return w.send(t, "GET", "/repeat/x", "").status == http.StatusOK && len(good.ReceivedRequests()) > before
		})
		w.store.Remove("servers", "copy")
		w.eventually(t, func() bool { return used() == 2 })
	})
	t.Run("a list with invalid records yields the valid ones", func(t *testing.T) {
		w.store.DropHistory()
		last := w.store.Put("servers", "good", runnerRecord(good, "ready"))
		w.eventually(t, func() bool { return w.gateway.state.Roster.Find("good").Info().Revision.Number == last })
		assert.Equal(t, 2, used())
		assertServed(t)
	})
}
