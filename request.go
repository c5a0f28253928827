package rillreach

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// Headers of requests and responses, and the values of HeaderRepeat.
const (
	HeaderOutcome        = "Rillreach-Outcome"
	HeaderReason         = "Rillreach-Reason"
	HeaderRequestID      = "Rillreach-Request"
	HeaderTicket         = "Rillreach-Ticket"
	HeaderRepeat         = "Rillreach-Repeat"
	HeaderDeadline       = "Rillreach-Deadline"
	HeaderIdempotencyKey = "Idempotency-Key"
	RepeatNever          = "never"
)

// BlockKey identifies a prefix of a prompt. It is a hash that includes the account, the model and the weight version.
type BlockKey [32]byte

// Request is a caller's request, with the data that the filters have derived from it.
type Request struct {
	// ID identifies the request across all attempts.
	ID RequestID
	// Account is the caller's client account.
	Account AccountID
	// Service is set for a request to a plain service. Otherwise Model is set, to the name that the caller gave.
	Service ServiceID
	Model   string
	// Row is the row that applies to the request, and RowVersion the version of its object.
	Row        Row
	RowVersion uint64
	// Method, Path, Query, Header and Body are forwarded to the backend server.
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// Stream is set if the response must be forwarded as it arrives.
	Stream bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// BodyFields are the top-level fields of a prompt's JSON body.
	BodyFields map[string]json.RawMessage
	// Parts are the messages of a prompt, or the chunks of a prompt without messages. The first OpeningParts of them
	// identify the conversation, unless the caller gives a CacheKey.
	Parts        [][]byte
	OpeningParts int
	CacheKey     string
	// Conversation is a hash that identifies the conversation and determines where the request is placed. Blocks has
	// a key for the prefix up to each part.
	Conversation uint64
	Blocks       []BlockKey
	// Salt is the cache salt that separates accounts, models and versions in an engine's KV cache.
	Salt string
	// Tokens is the estimated length of the prompt.
	Tokens int
	// MaxTokens is the maximum length of the answer that the caller asks for, or zero if it gives none.
	MaxTokens int
	// AtMostOnce is set if the request must not run twice. IdempotencyKey or Ticket identifies it if the caller gave
	// one.
	AtMostOnce     bool
	IdempotencyKey string
	Ticket         string
}

// Exchange is a request that passes through the filters, with the writer for its response.
type Exchange struct {
	Request   Request
	Writer    http.ResponseWriter
	ArrivedAt time.Time
	// ResponseStarted is set once part of the response has been sent to the caller.
	ResponseStarted bool
	// ResponseStartedAt is when ResponseStarted was set.
	ResponseStartedAt time.Time

	done []func()
}

// OnDone registers a function for Done to call. Functions are called in reverse order of registration.
func (x *Exchange) OnDone(f func()) {
	x.done = append(x.done, f)
}

// Done ends the exchange and calls the registered functions, each of them only once.
func (x *Exchange) Done() {
	for i := len(x.done) - 1; i >= 0; i-- {
		x.done[i]()
	}
	x.done = nil
}

// Filter is a step in the processing of a request. An error ends the processing and should be a *Refusal.
type Filter interface {
	// Name returns the filter's name for logs and metrics.
	Name() string
	// Run processes the exchange.
	Run(ctx context.Context, x *Exchange) error
}

// Controller maintains a part of a process's state in the background.
type Controller interface {
	// Name returns the controller's name for logs and metrics.
	Name() string
	// Run runs the controller until the context ends.
	Run(ctx context.Context) error
}
