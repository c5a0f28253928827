package main

import (
	"maps"

	"github.com/rillreach/rillreach/internal/standin/site"
)

const (
	// unusedAddress is an address where nobody listens.
	unusedAddress = "127.0.0.1:1"
	// firstKey and lastKey sort before and after the keys of all valid records. copySuffix turns the key of a record
	// into one that sorts right after it.
	firstKey   = "a-bad"
	lastKey    = "z-bad"
	copySuffix = "~"
)

// badRecords are records of runners that do not describe a usable one.
var badRecords = []any{
	map[string]any{"service": "e"},
	map[string]any{"service": 5, "address": []int{1}, "zone": map[string]any{}, "slots": "many", "state": true, "models": "none"},
	badRecord("slots", -3),
	badRecord("state", "resting"),
	badRecord("service", "nobody"),
	badRecord("models", []any{7}),
	"no record",
	nil,
	site.InvalidJSON{},
}

// badRecord returns a record that is invalid in one field only.
func badRecord(field string, value any) any {
	return map[string]any{
		"service": "e", "address": unusedAddress, "zone": "z", "slots": 64, "state": "ready",
		"models": []any{map[string]any{"name": site.Model, "version": 1}}, field: value,
	}
}

// injectBadRecords temporarily writes records that another, faulty writer might write.
func (c *cluster) injectBadRecords(a action, n *engine) {
	bad := badRecords[a.Target%len(badRecords)]
	if a.Fault == faultOverwrittenRecord {
		c.overwriteRecord(a, n, bad)
		return
	}
	copied := n.secondRecord()
	c.putTemporarily(a, "servers", firstKey, bad)
	c.putTemporarily(a, "servers", copied.key, copied.spec)
	c.putTemporarily(a, "servers", lastKey, badRecords[(a.Target+1)%len(badRecords)])
	c.putTemporarily(a, "versions", lastKey, map[string]any{"model": 7})
}

// overwriteRecord overwrites the record of an engine. Later the current run writes its own record again, and the
// overwritten one is removed if that run has been replaced.
func (c *cluster) overwriteRecord(a action, n *engine, bad any) {
	id, _ := n.idAndWeights()
	c.store.Put("servers", id, bad)
	c.schedule(a.Duration, func() {
		n.replaceMu.Lock()
		defer n.replaceMu.Unlock()
		c.registerEngine(n)
		if now, _ := n.idAndWeights(); now != id {
			c.store.Remove("servers", id)
		}
	})
}

// putTemporarily writes an object and removes it when the fault ends.
func (c *cluster) putTemporarily(a action, kind, name string, spec any) {
	c.store.Put(kind, name, spec)
	c.schedule(a.Duration, func() { c.store.Remove(kind, name) })
}

// keyedRecord is a record and its key.
type keyedRecord struct {
	key  string
	spec map[string]any
}

// secondRecord returns a copy of the engine's record under a second key, with the ID of the original.
func (e *engine) secondRecord() keyedRecord {
	id, spec := e.storeRecord()
	copied := maps.Clone(spec)
	copied["id"] = id
	return keyedRecord{key: id + copySuffix, spec: copied}
}
