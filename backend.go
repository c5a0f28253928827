package rillreach

import (
	"context"
	"io"
	"net/http"
	"time"
)

// BackendRequest is a request that an agent sends to its backend server.
type BackendRequest struct {
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   []byte
}

// BackendResponse is the response of a backend server. The caller must read and close Body.
type BackendResponse struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Backend runs requests. It is a model engine or a plain service.
type Backend interface {
	// Do sends one request and returns once it has received the response header.
	Do(ctx context.Context, call BackendRequest) (BackendResponse, error)
}

// EngineLoad is an engine's report of its own load. It lags behind the actual load.
type EngineLoad struct {
	// Running and Waiting are numbers of requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// PrefillRate is the number of prompt tokens that the engine processes per second.
	PrefillRate float64 `json:"prefillPerSecond"`
}

// KVStateRef identifies a part of an engine's KV cache: a prefix of a prompt under a cache salt.
type KVStateRef struct {
	Salt string `json:"cache_salt"`
	// Prompt is the body of the request that contains the prompt.
	Prompt []byte `json:"prompt"`
	// SkipTokens is the number of leading tokens to leave out because the reader already has them.
	SkipTokens int `json:"skip_tokens"`
}

// KVState is an exported part of a KV cache.
type KVState struct {
	// Tokens is the number of tokens that Payload covers.
	Tokens int
	// Payload is in the engine's own format.
	Payload []byte
}

// Engine is a model engine.
type Engine interface {
	Backend
	// Load returns the engine's latest report of its load.
	Load(ctx context.Context) (EngineLoad, error)
	// Export reads a part of the KV cache.
	Export(ctx context.Context, ref KVStateRef) (KVState, error)
	// Import writes a part to the KV cache.
	Import(ctx context.Context, state KVState) error
}

// Clock returns the current time. Now must include the time for which the machine or the process was suspended.
type Clock interface {
	Now() time.Time
}

// ClockFunc adapts a function to the Clock interface.
type ClockFunc func() time.Time

// Now calls the function.
func (f ClockFunc) Now() time.Time { return f() }
