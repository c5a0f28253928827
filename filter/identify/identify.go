// Package identify implements the filter that reads a request's header and body to determine what it asks for. It
// does not change the body.
package identify

import (
	"context"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/once"
)

// MaxTimeout is the maximum timeout that a caller may give a request.
const MaxTimeout = 10 * time.Minute

// Filter reads the header and, if the request is a prompt, the body.
type Filter struct {
	// Clock is used to calculate the deadline.
	Clock rillreach.Clock
	// DefaultTimeout applies to requests without a timeout. Zero means MaxTimeout.
	DefaultTimeout time.Duration
}

// Name returns the filter's name.
func (Filter) Name() string { return "identify" }

// Run sets the request's deadline. It also reads the body of a prompt, or the idempotency key or ticket of a request
// to a plain service.
func (f Filter) Run(_ context.Context, x *rillreach.Exchange) error {
	if err := f.readDeadline(&x.Request); err != nil {
		return err
	}
	if x.Request.Service == "" {
		return readPrompt(&x.Request)
	}
	return readIdentity(&x.Request)
}

func (f Filter) readDeadline(req *rillreach.Request) error {
	timeout := f.DefaultTimeout
	if timeout == 0 {
		timeout = MaxTimeout
	}
	if text := req.Header.Get(rillreach.HeaderDeadline); text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested <= 0 {
			return rillreach.NotRun(rillreach.ReasonBadRequest, rillreach.HeaderDeadline+" is not a positive duration such as 30s")
		}
		timeout = min(requested, MaxTimeout)
	}
	req.Deadline = f.Clock.Now().Add(timeout)
	return nil
}

// readIdentity determines whether the request must not run twice, and reads its idempotency key or ticket.
func readIdentity(req *rillreach.Request) error {
	req.IdempotencyKey = req.Header.Get(rillreach.HeaderIdempotencyKey)
	req.Ticket = req.Header.Get(rillreach.HeaderTicket)
	req.Header.Del(rillreach.HeaderTicket)
	repeat := req.Header.Get(rillreach.HeaderRepeat)
	switch {
	case repeat != "" && repeat != rillreach.RepeatNever:
		return rillreach.NotRun(rillreach.ReasonBadRequest, rillreach.HeaderRepeat+" may only be "+rillreach.RepeatNever)
	case req.IdempotencyKey != "" && req.Ticket != "":
		return rillreach.NotRun(rillreach.ReasonBadRequest, "give a key or a ticket, not both")
	}
	req.AtMostOnce = repeat == rillreach.RepeatNever || req.IdempotencyKey != "" || req.Ticket != ""
	if req.IdempotencyKey == "" {
		return nil
	}
	if _, err := once.ParseKey(req.IdempotencyKey); err != nil {
		return rillreach.NotRun(rillreach.ReasonBadRequest, rillreach.HeaderIdempotencyKey+" must be a UUID of version 7: "+err.Error())
	}
	return nil
}
