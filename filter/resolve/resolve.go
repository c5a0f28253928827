// Package resolve implements the filter that finds the row of a request, and scopes the request to the row's account,
// model and weight version.
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

// Filter looks up the row of a request.
type Filter struct {
	// Table provides the rows.
	Table *table.Table
	// KeyDeriver derives block keys and cache salts.
	KeyDeriver keep.KeyDeriver
}

// Name returns the filter's name.
func (Filter) Name() string { return "resolve" }

// Run sets the request's row, its conversation and the keys of its blocks, and rewrites the body of a prompt.
func (f Filter) Run(_ context.Context, x *rillreach.Exchange) error {
	req := &x.Request
	if req.Service != "" {
		return f.resolveService(req)
	}
	row, ok := f.Table.Find(req.Account, req.Model)
	if !ok {
		return rillreach.NotRun(rillreach.ReasonUnknownModel, "no model "+req.Model+" for this account")
	}
	req.Row, req.RowVersion = row.Row, row.Version
	scope := keep.Scope{Account: req.Account, Model: row.Row.Model, Version: row.Row.Version}
	req.Blocks = f.KeyDeriver.BlockKeys(scope, req.Parts)
	req.Conversation = f.conversationHash(scope, req)
	return f.rewriteBody(scope, req)
}

// resolveService finds the row of a plain service. Such a row has the service's name as its model.
func (f Filter) resolveService(req *rillreach.Request) error {
	row, ok := f.Table.Find(req.Account, string(req.Service))
	if !ok {
		return rillreach.NotRun(rillreach.ReasonUnknownService, "no service "+string(req.Service)+" for this account")
	}
	req.Row, req.RowVersion = row.Row, row.Version
	req.Conversation = hash.Mix(hash.String(string(req.Account)), hash.String(string(req.ID)))
	return nil
}

func (f Filter) conversationHash(scope keep.Scope, req *rillreach.Request) uint64 {
	if req.CacheKey != "" {
		keys := f.KeyDeriver.BlockKeys(scope, [][]byte{[]byte(req.CacheKey)})
		return binary.LittleEndian.Uint64(keys[0][:])
	}
	return binary.LittleEndian.Uint64(req.Blocks[req.OpeningParts-1][:])
}

// rewriteBody sets the model name and the cache salt in the body to those that the engine uses. It keeps all other
// fields unchanged.
func (f Filter) rewriteBody(scope keep.Scope, req *rillreach.Request) error {
	var callerSalt string
	if raw, ok := req.BodyFields[fieldSalt]; ok {
		if err := json.Unmarshal(raw, &callerSalt); err != nil {
			return rillreach.NotRun(rillreach.ReasonBadRequest, "field cache_salt is not a string")
		}
	}
	req.Salt = f.KeyDeriver.CacheSalt(scope, callerSalt)
	req.BodyFields[fieldSalt] = quote(req.Salt)
	req.BodyFields[fieldModel] = quote(string(scope.Model))
	req.Body = encodeObject(req.BodyFields)
	return nil
}

func quote(s string) json.RawMessage {
	return json.RawMessage(`"` + s + `"`) // neither salts nor valid names contain characters that JSON escapes
}

func encodeObject(fields map[string]json.RawMessage) []byte {
	var body bytes.Buffer
	separator := byte('{')
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		body.WriteByte(separator)
		separator = ','
		key, err := json.Marshal(name)
		if err != nil {
			continue // cannot happen: strings can always be encoded
		}
		body.Write(key)
		body.WriteByte(':')
		body.Write(fields[name])
	}
	body.WriteByte('}')
	return body.Bytes()
}
