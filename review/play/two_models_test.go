//go:build review

package play

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	engineCount = 4
	rounds      = 8
	// versionBound is version_all_ms, by which all runners have a named version.
	versionBound = 14 * time.Second
)

var modelNames = []string{"ma", "mb"}

// playTwoModels names new weights of two models that the same runners serve: at the same time, or one after the other was
// loaded everywhere. No runner may get an order with a lower fencing token after one with a higher one.
func playTwoModels(w *world, trouble bool) ([]string, error) {
	w.store.Put("config", "main", engineConfig(1, modelNames...))
	for _, m := range modelNames {
		w.store.Put("versions", m, map[string]any{"model": m, "version": 1})
	}
	var engines []*multiEngine
	for i := range byte(engineCount) {
		e := w.addEngine(i+1, modelNames...)
		defer e.server.Close()
		engines = append(engines, e)
	}
	edge, err := w.startProcesses(engines)
	if err != nil {
		return nil, err
	}
	stop := w.sendPrompts(edge)
	defer stop()
	for version := uint64(2); version < 2+rounds; version++ {
		if err := nameVersions(w, engines, version, trouble); err != nil {
			return nil, err
		}
		if !trouble && version == 3 {
			break // enough to see that each is carried out
		}
	}
	var broken []string
	for _, e := range engines {
		broken = append(broken, e.lowerFences()...)
	}
	return broken, nil
}

// nameVersions names a version of both models and waits until all engines have it.
func nameVersions(w *world, engines []*multiEngine, version uint64, together bool) error {
	for _, m := range modelNames {
		revision := w.store.Put("versions", m, map[string]any{"model": m, "version": version})
		w.record("the operator names model %s version %d, revision %d", m, version, revision)
		if !together {
			if err := awaitLoaded(engines, version, m); err != nil {
				return err
			}
		}
	}
	return awaitLoaded(engines, version, modelNames...)
}

func awaitLoaded(engines []*multiEngine, version uint64, models ...string) error {
	for deadline := time.Now().Add(versionBound); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		missing := 0
		for _, e := range engines {
			for _, m := range models {
				if e.loaded(m) < version {
					missing++
				}
			}
		}
		if missing == 0 {
			return nil
		}
	}
	return errors.Newf("version %d is not loaded everywhere in time", version)
}

// lowerFences returns the orders that came with a lower fencing token than an earlier one.
func (e *multiEngine) lowerFences() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var broken []string
	highest := uint64(0)
	for _, o := range e.orders {
		if o.Fence < highest {
			broken = append(broken, fmt.Sprintf("ONE: %s got an order (model %s version %d, holder %s) with fencing token %d after one with %d", e.id, o.Model, o.Version, o.Holder, o.Fence, highest))
		}
		highest = max(highest, o.Fence)
	}
	return broken
}

// sendPrompts sends prompts for both models until it is stopped.
func (w *world) sendPrompts(edge *process) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			w.send(edge, call{id: fmt.Sprintf("q%d", n), model: modelNames[n%len(modelNames)], key: "key-1", path: "/p/x", conversation: "91bd3f06"})
			time.Sleep(200 * time.Millisecond)
		}
	})
	return func() {
		cancel()
		wg.Wait()
	}
}
