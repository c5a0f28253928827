// Package resolve is the filter that finds the line of the table that a request runs under, and binds the request to
// that line's account, model and weight version.
package resolve

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/hash"
	"github.com/rillreach/rillreach/keep"
	"github.com/rillreach/rillreach/table"
)

const (
	fieldSalt  = "cache_salt"
	fieldModel = "model"
)

// Filter looks the row up.
type Filter struct {
	// Table holds the rows.
	Table *table.Table
	// KeyDeriver names blocks and salts.
	KeyDeriver keep.KeyDeriver
}

// Name is the step's name.
func (Filter) Name() string { return "resolve" }

// Run sets the request's row, its conversation and the names of its blocks.
func (f Filter) Run(_ context.Context, x *rillreach.Exchange) error {
	req := &x.Request
	if req.Service != "" {
		return f.resolveService(req)
	}
	line, ok := f.Table.Find(req.Account, req.Model)
	if !ok {
		return rillreach.NotRun(rillreach.ReasonUnknownModel, "no model "+req.Model+" for this account")
	}
	req.Row, req.RowVersion = line.Row, line.Version
	scope := keep.Scope{Account: req.Account, Model: line.Row.Model, Version: line.Row.Version}
	req.Blocks = f.KeyDeriver.BlockKeys(scope, req.Parts)
	req.Conversation = f.conversation(scope, req)
	return f.bind(scope, req)
}

// resolveService finds the row of a plain service, whose name stands in the place of the model's.
func (f Filter) resolveService(req *rillreach.Request) error {
	line, ok := f.Table.Find(req.Account, string(req.Service))
	if !ok {
		return rillreach.NotRun(rillreach.ReasonUnknownService, "no service "+string(req.Service)+" for this account")
	}
	req.Row, req.RowVersion = line.Row, line.Version
	req.Conversation = hash.Mix(hash.String(string(req.Account)), hash.String(string(req.ID)))
	return nil
}

func (f Filter) conversation(scope keep.Scope, req *rillreach.Request) uint64 {
	if req.CacheKey != "" {
		named := f.KeyDeriver.BlockKeys(scope, [][]byte{[]byte(req.CacheKey)})
		return binary.LittleEndian.Uint64(named[0][:])
	}
	return binary.LittleEndian.Uint64(req.Blocks[req.OpeningParts-1][:])
}

// bind writes the engine's own name of the model and the salt of the scope into the body; all other fields stay as
// the caller wrote them.
func (f Filter) bind(scope keep.Scope, req *rillreach.Request) error {
	var callers string
	if raw, ok := req.BodyFields[fieldSalt]; ok {
		if err := json.Unmarshal(raw, &callers); err != nil {
			return rillreach.NotRun(rillreach.ReasonBadRequest, "field cache_salt is not a string")
		}
	}
	req.Salt = f.KeyDeriver.CacheSalt(scope, callers)
	req.BodyFields[fieldSalt] = quote(req.Salt)
	req.BodyFields[fieldModel] = quote(string(scope.Model))
	req.Body = writeObject(req.BodyFields)
	return nil
}

func quote(s string) json.RawMessage {
	return json.RawMessage(`"` + s + `"`) // both the salt and a checked name are free of what JSON escapes
}

func writeObject(fields map[string]json.RawMessage) []byte {
	var body bytes.Buffer
	separator := byte('{')
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		body.WriteByte(separator)
		separator = ','
		key, err := json.Marshal(name)
		if err != nil {
			continue // a string always has a JSON form
		}
		body.Write(key)
		body.WriteByte(':')
		body.Write(fields[name])
	}
	body.WriteByte('}')
	return body.Bytes()
}
