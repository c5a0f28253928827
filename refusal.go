package rillreach

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome says whether a refused request was run.
type Outcome string

const (
	// OutcomeNotRun says that the request certainly was not run and never will be.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown says that the request may have been run.
	OutcomeUnknown Outcome = "unknown"
)

// Reason is one of a fixed set of causes for a refusal.
type Reason string

// The reasons for a refusal.
const (
	ReasonBadRequest       Reason = "bad-request"
	ReasonUnauthorized     Reason = "unauthorized"
	ReasonUnknownModel     Reason = "unknown-model"
	ReasonUnknownService   Reason = "unknown-service"
	ReasonUnknownPath      Reason = "unknown-path"
	ReasonMethodNotAllowed Reason = "method-not-allowed"
	ReasonTooLarge         Reason = "too-large"
	ReasonLimit            Reason = "limit"
	ReasonOverload         Reason = "overload"
	ReasonDeadline         Reason = "deadline"
	ReasonNoBackend        Reason = "no-backend"
	ReasonLeaving          Reason = "leaving"
	ReasonNotReady         Reason = "not-ready"
	ReasonStaleView        Reason = "stale-view"
	ReasonOwnerGone        Reason = "owner-gone"
	ReasonExpired          Reason = "expired"
	ReasonKeyReused        Reason = "key-reused"
	ReasonInterrupted      Reason = "cut"
)

var reasonStatus = map[Reason]int{
	ReasonBadRequest:       http.StatusBadRequest,
	ReasonUnauthorized:     http.StatusUnauthorized,
	ReasonUnknownModel:     http.StatusNotFound,
	ReasonUnknownService:   http.StatusNotFound,
	ReasonUnknownPath:      http.StatusNotFound,
	ReasonMethodNotAllowed: http.StatusMethodNotAllowed,
	ReasonTooLarge:         http.StatusRequestEntityTooLarge,
	ReasonLimit:            http.StatusTooManyRequests,
	ReasonOverload:         http.StatusServiceUnavailable,
	ReasonDeadline:         http.StatusServiceUnavailable,
	ReasonNoBackend:        http.StatusServiceUnavailable,
	ReasonLeaving:          http.StatusServiceUnavailable,
	ReasonNotReady:         http.StatusServiceUnavailable,
	ReasonStaleView:        http.StatusServiceUnavailable,
	ReasonOwnerGone:        http.StatusBadGateway,
	ReasonExpired:          http.StatusGone,
	ReasonKeyReused:        http.StatusUnprocessableEntity,
	ReasonInterrupted:      http.StatusBadGateway,
}

// Refusal is the error that ends a request without its answer.
type Refusal struct {
	Outcome    Outcome       `json:"outcome" cbor:"1,keyasint"`
	Reason     Reason        `json:"reason" cbor:"2,keyasint"`
	Message    string        `json:"message" cbor:"3,keyasint"`
	RetryAfter time.Duration `json:"-" cbor:"4,keyasint,omitempty"`
	// FromOwner says that the refusal is the word of the one agent that may run the request, and so holds for every earlier
	// attempt under the same key or ticket too.
	FromOwner bool `json:"-" cbor:"5,keyasint,omitempty"`
}

// NotRun makes a refusal of a request that certainly was not run.
func NotRun(reason Reason, message string) *Refusal {
	return &Refusal{Outcome: OutcomeNotRun, Reason: reason, Message: message}
}

// MayHaveRun makes a refusal of a request that may have been run.
func MayHaveRun(reason Reason, message string) *Refusal {
	return &Refusal{Outcome: OutcomeUnknown, Reason: reason, Message: message}
}

// WithRetryAfter returns the refusal with the time after which to come back.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	r.RetryAfter = wait
	return r
}

// Error says why the request was refused and whether it was run.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Message)
}

// HTTPStatus is the HTTP status of the refusal.
func (r *Refusal) HTTPStatus() int {
	if status, ok := reasonStatus[r.Reason]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// CanRetryElsewhere reports whether another backend server may be tried at once.
func (r *Refusal) CanRetryElsewhere() bool {
	if r.Outcome != OutcomeNotRun {
		return false
	}
	return r.Reason == ReasonOverload || r.Reason == ReasonLeaving || r.Reason == ReasonNoBackend || r.Reason == ReasonDeadline
}
