package main

import (
	"maps"

	"github.com/rillreach/rillreach/internal/standin/site"
)

const (
	// unusedAddress is one where nobody listens.
	unusedAddress = "127.0.0.1:1"
	// firstKey and lastKey are keys before and after those of all good records; copySuffix makes a key just behind that of one.
	firstKey   = "a-bad"
	lastKey    = "z-bad"
	copySuffix = "~"
)

// badRecords are records of runners that name none to use.
var badRecords = []any{
	map[string]any{"service": "e"},
	map[string]any{"service": 5, "address": []int{1}, "zone": map[string]any{}, "slots": "many", "state": true, "models": "none"},
	badRecord("slots", -3),
	badRecord("state", "resting"),
	badRecord("service", "nobody"),
	badRecord("models", []any{7}),
	"no record",
	nil,
	site.Unreadable{},
}

// badRecord is a record that is bad in one field alone.
func badRecord(field string, value any) any {
	return map[string]any{
		"service": "e", "address": unusedAddress, "zone": "z", "slots": 64, "state": "ready",
		"models": []any{map[string]any{"name": site.Model, "version": 1}}, field: value,
	}
}

// injectBadRecords writes what another writer might, for a time.
func (w *cluster) injectBadRecords(a action, n *engine) {
	bad := badRecords[a.Target%len(badRecords)]
	if a.Fault == faultOverwrittenRecord {
		w.overwriteRecord(a, n, bad)
		return
	}
	copied := n.secondRecord()
	w.putTemporarily(a, "servers", firstKey, bad)
	w.putTemporarily(a, "servers", copied.key, copied.spec)
	w.putTemporarily(a, "servers", lastKey, badRecords[(a.Target+1)%len(badRecords)])
	w.putTemporarily(a, "versions", lastKey, map[string]any{"model": 7})
}

// overwriteRecord writes over the record of an engine, which may end meanwhile, and has the one that lives there then write its own.
func (w *cluster) overwriteRecord(a action, n *engine, bad any) {
	id, _ := n.idAndWeights()
	w.store.Put("servers", id, bad)
	w.schedule(a.Duration, func() {
		n.replaceMu.Lock()
		defer n.replaceMu.Unlock()
		w.registerEngine(n)
		if now, _ := n.idAndWeights(); now != id {
			w.store.Remove("servers", id)
		}
	})
}

// putTemporarily writes an object that is gone again after the fault.
func (w *cluster) putTemporarily(a action, kind, name string, spec any) {
	w.store.Put(kind, name, spec)
	w.schedule(a.Duration, func() { w.store.Remove(kind, name) })
}

// keyedRecord is a record under a key of its own.
type keyedRecord struct {
	key  string
	spec map[string]any
}

// secondRecord is the engine's record under a second key, naming the id of the first.
func (e *engine) secondRecord() keyedRecord {
	id, spec := e.storeRecord()
	copied := maps.Clone(spec)
	copied["id"] = id
	return keyedRecord{key: id + copySuffix, spec: copied}
}
