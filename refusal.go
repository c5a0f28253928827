package rillreach

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome tells whether a refused request was run.
type Outcome string

const (
	// OutcomeNotRun means that the request was not run and never will be.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have been run.
	OutcomeUnknown Outcome = "unknown"
)

// Reason is the cause of a refusal.
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

// Refusal is the error for a request that gets no response from a backend server.
type Refusal struct {
	Outcome    Outcome       `json:"outcome" cbor:"1,keyasint"`
	Reason     Reason        `json:"reason" cbor:"2,keyasint"`
	Message    string        `json:"message" cbor:"3,keyasint"`
	RetryAfter time.Duration `json:"-" cbor:"4,keyasint,omitempty"`
	// FromOwner means that the refusal comes from the only agent that may run the request. Its outcome therefore also
	// holds for every earlier attempt with the same key or ticket.
	FromOwner bool `json:"-" cbor:"5,keyasint,omitempty"`
}

// NotRun returns a refusal of a request that was certainly not run.
func NotRun(reason Reason, message string) *Refusal {
	return &Refusal{Outcome: OutcomeNotRun, Reason: reason, Message: message}
}

// MayHaveRun returns a refusal of a request that may have been run.
func MayHaveRun(reason Reason, message string) *Refusal {
	return &Refusal{Outcome: OutcomeUnknown, Reason: reason, Message: message}
}

// WithRetryAfter sets the time after which the caller may retry, and returns the refusal.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	r.RetryAfter = wait
	return r
}

// Error returns the reason and the outcome with the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Message)
}

// HTTPStatus returns the HTTP status code of the refusal.
func (r *Refusal) HTTPStatus() int {
	if status, ok := reasonStatus[r.Reason]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// CanRetryElsewhere reports whether the request may be sent to another backend server immediately.
func (r *Refusal) CanRetryElsewhere() bool {
	if r.Outcome != OutcomeNotRun {
		return false
	}
	return r.Reason == ReasonOverload || r.Reason == ReasonLeaving || r.Reason == ReasonNoBackend || r.Reason == ReasonDeadline
}
