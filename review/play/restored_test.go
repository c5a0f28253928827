//go:build review

package play

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

const eraHeader = "Store-Era"

// eraFromZero lets a store say how often it has come back from a copy: zero at first.
func eraFromZero(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { next.ServeHTTP(&eraWriter{w, false}, r) })
}

type eraWriter struct {
	http.ResponseWriter
	begun bool
}

func (w *eraWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

func (w *eraWriter) Write(data []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(data)
}

func (w *eraWriter) begin() {
	if w.begun {
		return
	}
	w.begun = true
	if era, err := strconv.Atoi(w.Header().Get(eraHeader)); err == nil {
		w.Header().Set(eraHeader, strconv.Itoa(era-1))
	}
}

// playRestored has the store come back from a copy, after which what was lost is written again, and names new weights before
// and after that. No runner may get an order with a lower fencing token after one with a higher one.
func playRestored(w *world, trouble bool) ([]string, error) {
	const engineNumber, copyAge = 2, 6 * time.Second
	w.server.Config.Handler = eraFromZero(w.store)
	w.store.Put("config", "main", engineConfig(1, "m"))
	w.store.Put("versions", "m", map[string]any{"model": "m", "version": 1})
	var engines []*multiEngine
	for i := range byte(engineNumber) {
		e := w.addEngine(i+1, "m")
		defer e.server.Close()
		engines = append(engines, e)
	}
	if _, err := w.startProcesses(engines); err != nil {
		return nil, err
	}
	backup, backupAt := w.store.Snapshot(), time.Now()
	for version := 2; version <= 7; version++ {
		w.record("the operator writes configuration %d, revision %d", version, w.store.Put("config", "main", engineConfig(version, "m")))
	}
	if err := w.nameAndAwait(engines, 2); err != nil {
		return nil, err
	}
	time.Sleep(time.Until(backupAt.Add(copyAge)))
	if trouble {
		lost := w.store.Snapshot()
		w.store.Restore(backup)
		w.record("the store comes back from a copy that is %s old", time.Since(backupAt).Round(time.Millisecond))
		time.Sleep(time.Second)
		w.store.ReapplyLost(lost)
		w.record("what the operator and the runners wrote was written again")
	}
	time.Sleep(contact)
	if err := w.nameAndAwait(engines, 3); err != nil {
		return nil, err
	}
	var broken []string
	for _, e := range engines {
		broken = append(broken, e.lowerFences()...)
	}
	return broken, nil
}

// nameAndAwait names a version of the model and waits until all engines have it.
func (w *world) nameAndAwait(engines []*multiEngine, version uint64) error {
	w.record("the operator names model m version %d, revision %d", version, w.store.Put("versions", "m", site.NewModelWeights(version)))
	return awaitLoaded(engines, version, "m")
}
