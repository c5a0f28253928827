//go:build review

package play

import (
	"fmt"
	"time"
)

// playIsolated lets two tenants send prompts that share a part, and has a change of the configuration isolate one of them in
// between. From config_apply_ms after the change on, no request of the one may use KV cache that the other's made. Without the
// disruption the tenant is isolated all along.
func playIsolated(w *world, trouble bool) ([]string, error) {
	const engines, configApply = 2, 2 * time.Second
	isolatedAt := w.publishTenants(1, !trouble)
	w.store.Put("versions", "m", map[string]any{"model": "m", "version": 1})
	cache := &cacheLog{world: w, made: map[cachedPart]madeBy{}}
	var all []*multiEngine
	for i := range byte(engines) {
		e := w.addEngine(i+1, "m")
		defer e.server.Close()
		e.cache = cache
		all = append(all, e)
	}
	edge, err := w.startProcesses(all)
	if err != nil {
		return nil, err
	}
	for n := range 20 {
		w.send(edge, call{id: fmt.Sprintf("a%d", n), model: "m", key: "key-1", path: "/p/x", conversation: fmt.Sprintf("aa%02d", n)})
	}
	if trouble {
		isolatedAt = w.publishTenants(2, true)
	}
	time.Sleep(2 * configApply)
	for n := range 20 {
		w.send(edge, call{id: fmt.Sprintf("b%d", n), model: "m", key: "key-2", path: "/p/x", conversation: fmt.Sprintf("bb%02d", n)})
		w.send(edge, call{id: fmt.Sprintf("c%d", n), model: "m", key: "key-1", path: "/p/x", conversation: fmt.Sprintf("cc%02d", n)})
	}
	return cache.foreign("t1", isolatedAt.Add(configApply)), nil
}

// publishTenants writes a configuration with two tenants, and returns when the store has acknowledged it.
func (w *world) publishTenants(version int, isolated bool) time.Time {
	c := engineConfig(version, "m")
	c["tenants"] = []any{
		map[string]any{"name": "t1", "api_keys": []any{"key-1"}, "priority": 1, "isolated": isolated},
		map[string]any{"name": "t2", "api_keys": []any{"key-2"}, "priority": 1},
	}
	w.store.Put("config", "main", c)
	w.record("the store acknowledges configuration %d: isolated of tenant t1 is %t", version, isolated)
	return time.Now()
}
