package main

import (
	"maps"

	"github.com/rillreach/rillreach/internal/standin/site"
)

const (
	// deadAddress is one where nobody listens.
	deadAddress = "127.0.0.1:1"
	// firstKey and lastKey are keys before and after those of all good records; copySuffix makes a key just behind that of one.
	firstKey   = "a-bad"
	lastKey    = "z-bad"
	copySuffix = "~"
)

// badEntries are records of runners that name none to use.
var badEntries = []any{
	map[string]any{"service": "e"},
	map[string]any{"service": 5, "address": []int{1}, "zone": map[string]any{}, "slots": "many", "state": true, "models": "none"},
	badEntry("slots", -3),
	badEntry("state", "resting"),
	badEntry("service", "nobody"),
	badEntry("models", []any{7}),
	"no record",
	nil,
	site.InvalidJSON{},
}

// badEntry is a record that is bad in one field alone.
func badEntry(field string, value any) any {
	return map[string]any{
		"service": "e", "address": deadAddress, "zone": "z", "slots": 64, "state": "ready",
		"models": []any{map[string]any{"name": site.Model, "version": 1}}, field: value,
	}
}

// injectBadEntries writes what another writer might, for a time.
func (w *world) injectBadEntries(a action, n *engine) {
	bad := badEntries[a.Which%len(badEntries)]
	if a.Fault == faultSpoiledEntry {
		w.spoilEntry(a, n, bad)
		return
	}
	copied := n.secondRecord()
	w.putFor(a, "servers", firstKey, bad)
	w.putFor(a, "servers", copied.key, copied.spec)
	w.putFor(a, "servers", lastKey, badEntries[(a.Which+1)%len(badEntries)])
	w.putFor(a, "versions", lastKey, map[string]any{"model": 7})
}

// spoilEntry writes over the record of an engine, which may end meanwhile, and has the one that lives there then write its own.
func (w *world) spoilEntry(a action, n *engine, bad any) {
	id, _ := n.run()
	w.store.Put("servers", id, bad)
	w.later(a.For, func() {
		n.replacing.Lock()
		defer n.replacing.Unlock()
		w.listEngine(n)
		if now, _ := n.run(); now != id {
			w.store.Remove("servers", id)
		}
	})
}

// putFor writes an object that is gone again after the fault.
func (w *world) putFor(a action, kind, name string, spec any) {
	w.store.Put(kind, name, spec)
	w.later(a.For, func() { w.store.Remove(kind, name) })
}

// keyedRecord is a record under a key of its own.
type keyedRecord struct {
	key  string
	spec map[string]any
}

// secondRecord is the engine's record under a second key, naming the id of the first.
func (e *engine) secondRecord() keyedRecord {
	id, spec := e.record()
	copied := maps.Clone(spec)
	copied["id"] = id
	return keyedRecord{key: id + copySuffix, spec: copied}
}
