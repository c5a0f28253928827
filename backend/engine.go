package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/keep"
)

const (
	// PathLoad is where an engine reports its load.
	PathLoad = "/load"
	// PathExport is where an engine gives KV cache.
	PathExport = "/kv/export"
	// PathImport is where an engine takes KV cache.
	PathImport = "/kv/import"
	// PathEvents is where an engine publishes what its cache drops.
	PathEvents = "/kv/events"
	// HeaderTokens says how many leading tokens of a prompt an exported state covers.
	HeaderTokens = "Kv-Tokens"

	maxState = 1 << 30
)

// Engine calls one model engine.
type Engine struct {
	Client
}

var _ rillreach.Engine = (*Engine)(nil)

// Load returns the engine's report of its load.
func (e *Engine) Load(ctx context.Context) (rillreach.EngineLoad, error) {
	var load rillreach.EngineLoad
	resp, err := e.control(ctx, http.MethodGet, PathLoad, nil)
	if err != nil {
		return load, err
	}
	defer resp.Body.Close()
	return load, errors.Wrap(json.NewDecoder(resp.Body).Decode(&load), "read engine's load")
}

// Export copies the state of a prompt's prefix out.
func (e *Engine) Export(ctx context.Context, ref rillreach.StateRef) (rillreach.State, error) {
	body, err := json.Marshal(ref)
	if err != nil {
		return rillreach.State{}, errors.Wrap(err, "encode what to export")
	}
	resp, err := e.control(ctx, http.MethodPost, PathExport, body)
	if err != nil {
		return rillreach.State{}, err
	}
	defer resp.Body.Close()
	tokens, err := strconv.Atoi(resp.Header.Get(HeaderTokens))
	if err != nil {
		return rillreach.State{}, errors.Wrap(err, "read number of exported tokens")
	}
	payload, err := io.ReadAll(io.LimitReader(resp.Body, maxState))
	return rillreach.State{Tokens: tokens, Payload: payload}, errors.Wrap(err, "read exported state")
}

// Import takes a state in.
func (e *Engine) Import(ctx context.Context, state rillreach.State) error {
	resp, err := e.control(ctx, http.MethodPost, PathImport, state.Payload)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Events returns what the engine's cache has dropped, from a sequence on.
func (e *Engine) Events(ctx context.Context, from uint64) (keep.EventPage, error) {
	var page keep.EventPage
	resp, err := e.control(ctx, http.MethodGet, PathEvents+"?from="+strconv.FormatUint(from, 10), nil)
	if err != nil {
		return page, err
	}
	defer resp.Body.Close()
	return page, errors.Wrap(json.NewDecoder(resp.Body).Decode(&page), "read engine's events")
}

func (e *Engine) control(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, e.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request to engine")
	}
	resp, err := e.HTTP.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "call engine's %s", path)
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, errors.Newf("engine answered %s with status %d", path, resp.StatusCode)
	}
	return resp, nil
}
