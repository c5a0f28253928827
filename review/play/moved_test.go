//go:build review

package play

import "time"

// playMoved names new weights while streams run. A runner that is to load weights lets its runs end first, and its streams may
// continue at others meanwhile. 400 ms after that the earlier runner may no longer work on them.
func playMoved(w *world, trouble bool) ([]string, error) {
	const (
		engines, callers = 4, 24
		before, after    = 14 * time.Second, 12 * time.Second
	)
	s := &streamRuns{world: w, runs: map[string][]*work{}, events: 16, interval: 260 * time.Millisecond}
	w.store.Put("config", "main", engineConfig(1, "m"))
	w.store.Put("versions", "m", map[string]any{"model": "m", "version": 1})
	var all []*multiEngine
	for i := range byte(engines) {
		e := w.addEngine(i+1, "m")
		defer e.server.Close()
		e.handle = s.serve
		all = append(all, e)
	}
	edge, err := w.startProcesses(all)
	if err != nil {
		return nil, err
	}
	stop := w.keepPrompting(edge, callers)
	time.Sleep(before)
	if trouble {
		w.record("the operator names model m version 2, revision %d", w.store.Put("versions", "m", map[string]any{"model": "m", "version": 2}))
	}
	time.Sleep(after)
	stop()
	return s.judge(), nil
}
