package rillreach

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// Headers that callers and the system exchange beside the published ones.
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

// BlockKey identifies a run of a prompt from its start; it is bound to account, model and weight version.
type BlockKey [32]byte

// Request is one request of a caller as the system has understood it.
type Request struct {
	// ID names the request across all its attempts.
	ID RequestID
	// Account is the caller's.
	Account AccountID
	// Service is set for a call to a plain service, Model for a prompt, as the caller wrote it.
	Service ServiceID
	Model   string
	// Row is the line of the table that the request runs under, RowVersion its object's.
	Row        Row
	RowVersion uint64
	// Method, Path, Query, Header and Body are passed on to the backend server.
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// Stream says that the answer is to be passed on as it comes.
	Stream bool
	// Deadline is when the caller gives up.
	Deadline time.Time
	// BodyFields are the top level of a prompt's body.
	BodyFields map[string]json.RawMessage
	// Parts are a prompt's messages or pieces, Opening how many of them tell its conversation from others, unless the
	// caller gives a CacheKey.
	Parts        [][]byte
	OpeningParts int
	CacheKey     string
	// Conversation places the request, Blocks name its parts, Tokens estimate its length.
	Conversation uint64
	Blocks       []BlockKey
	// Salt keeps the scope of account, model and version apart in an engine.
	Salt   string
	Tokens int
	// MaxTokens is how long an answer the caller asks for at the most; zero means that the caller does not say.
	MaxTokens int
	// AtMostOnce says that the request must not run twice; Key or Ticket is the identity that the caller gave it.
	AtMostOnce     bool
	IdempotencyKey string
	Ticket         string
}

// Exchange is a request on its way through the filters, together with the answer's writer.
type Exchange struct {
	Request   Request
	Writer    http.ResponseWriter
	ArrivedAt time.Time
	// ResponseStarted is set once a byte of the answer has gone to the caller.
	ResponseStarted bool
	// ResponseStartedAt is when that was.
	ResponseStartedAt time.Time

	done []func()
}

// OnDone has f called when the exchange ends, in the reverse order of the calls.
func (x *Exchange) OnDone(f func()) {
	x.done = append(x.done, f)
}

// Done ends the exchange.
func (x *Exchange) Done() {
	for i := len(x.done) - 1; i >= 0; i-- {
		x.done[i]()
	}
	x.done = nil
}

// Filter is one step of the request chain; an error ends the chain, and a *Refusal is its expected form.
type Filter interface {
	// Name is the step's name in logs and metrics.
	Name() string
	// Run does the step on the exchange.
	Run(ctx context.Context, x *Exchange) error
}

// Controller keeps one part of a daemon's state right until its context ends.
type Controller interface {
	// Name is the controller's name in logs and metrics.
	Name() string
	// Run works until the context ends.
	Run(ctx context.Context) error
}
