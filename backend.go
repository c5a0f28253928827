package rillreach

import (
	"context"
	"io"
	"net/http"
	"time"
)

// BackendRequest is what an agent sends to its backend server.
type BackendRequest struct {
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   []byte
}

// BackendResponse is the head of a backend server's answer and its body still to be read.
type BackendResponse struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Backend is a model engine or a plain service as far as requests go.
type Backend interface {
	// Do sends one call and returns once the answer's head is there.
	Do(ctx context.Context, call BackendRequest) (BackendResponse, error)
}

// EngineLoad is what an engine reports of its own load, with a lag.
type EngineLoad struct {
	Running     int     `json:"running"`
	Waiting     int     `json:"waiting"`
	PrefillRate float64 `json:"prefillPerSecond"`
}

// KVStateRef names a part of an engine's KV cache: the prefix of a prompt under a cache salt.
type KVStateRef struct {
	Salt string `json:"cache_salt"`
	// Prompt is the request body whose prefix is meant.
	Prompt []byte `json:"prompt"`
	// SkipTokens is how many leading tokens the reader has already.
	SkipTokens int `json:"skip_tokens"`
}

// KVState is an exported part of a KV cache.
type KVState struct {
	Tokens  int
	Payload []byte
}

// Engine is a model engine.
type Engine interface {
	Backend
	// Load returns the engine's lagging report of its load.
	Load(ctx context.Context) (EngineLoad, error)
	// Export copies a part of the KV cache out.
	Export(ctx context.Context, ref KVStateRef) (KVState, error)
	// Import takes a part of the KV cache in.
	Import(ctx context.Context, state KVState) error
}

// Clock tells the time; Now counts the time for which the machine or the process was suspended.
type Clock interface {
	Now() time.Time
}

// ClockFunc makes a function a Clock.
type ClockFunc func() time.Time

// Now calls the function.
func (f ClockFunc) Now() time.Time { return f() }
