package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/bounded"
	"github.com/rillreach/rillreach/keep"
)

const (
	// PathLoad is the path at which an engine reports its load.
	PathLoad = "/load"
	// PathExport is the path for exporting KV cache from an engine.
	PathExport = "/kv/export"
	// PathImport is the path for importing KV cache into an engine.
	PathImport = "/kv/import"
	// PathEvents is the path at which an engine publishes the eviction events of its cache.
	PathEvents = "/kv/events"
	// HeaderTokens is the header with the number of leading tokens of a prompt that an exported state covers.
	HeaderTokens = "Kv-Tokens"

	maxStateBytes = 1 << 30
)

// Engine is a client of one model engine.
type Engine struct {
	Client
}

var _ rillreach.Engine = (*Engine)(nil)

// Load returns the engine's report of its load.
func (e *Engine) Load(ctx context.Context) (rillreach.EngineLoad, error) {
	var load rillreach.EngineLoad
	resp, err := e.callControl(ctx, http.MethodGet, PathLoad, nil)
	if err != nil {
		return load, err
	}
	defer resp.Body.Close()
	return load, errors.Wrap(json.NewDecoder(resp.Body).Decode(&load), "decode load of engine")
}

// Export returns a copy of the KV cache state of a prompt's prefix.
func (e *Engine) Export(ctx context.Context, ref rillreach.KVStateRef) (rillreach.KVState, error) {
	body, err := json.Marshal(ref)
	if err != nil {
		return rillreach.KVState{}, errors.Wrap(err, "encode export request")
	}
	resp, err := e.callControl(ctx, http.MethodPost, PathExport, body)
	if err != nil {
		return rillreach.KVState{}, err
	}
	defer resp.Body.Close()
	tokens, err := strconv.Atoi(resp.Header.Get(HeaderTokens))
	if err != nil {
		return rillreach.KVState{}, errors.Wrap(err, "decode number of exported tokens")
	}
	payload, err := bounded.ReadAll(resp.Body, maxStateBytes)
	return rillreach.KVState{Tokens: tokens, Payload: payload}, errors.Wrap(err, "read exported state")
}

// Import loads an exported state into the engine's KV cache.
func (e *Engine) Import(ctx context.Context, state rillreach.KVState) error {
	resp, err := e.callControl(ctx, http.MethodPost, PathImport, state.Payload)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Events returns the eviction events of the engine's cache, starting at a sequence number.
func (e *Engine) Events(ctx context.Context, from uint64) (keep.EventPage, error) {
	var page keep.EventPage
	resp, err := e.callControl(ctx, http.MethodGet, PathEvents+"?from="+strconv.FormatUint(from, 10), nil)
	if err != nil {
		return page, err
	}
	defer resp.Body.Close()
	return page, errors.Wrap(json.NewDecoder(resp.Body).Decode(&page), "decode events of engine")
}

func (e *Engine) callControl(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, e.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create request to engine")
	}
	resp, err := e.send(req)
	if err != nil {
		return nil, errors.Wrapf(err, "call %s of engine", path)
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, errors.Newf("engine answered %s with status %d", path, resp.StatusCode)
	}
	return resp, nil
}
