// Package identify is the filter that finds out what a request asks for, without changing it.
package identify

import (
	"context"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/once"
)

// MaxTimeout is the longest time that a caller may give a request.
const MaxTimeout = 10 * time.Minute

// Filter reads the headers and, for a prompt, the body.
type Filter struct {
	// Clock tells the time.
	Clock rillreach.Clock
	// DefaultTimeout is for requests that give none; zero means MaxDeadline.
	DefaultTimeout time.Duration
}

// Name is the step's name.
func (Filter) Name() string { return "identify" }

// Run fills in the request's deadline, its identity and, for a prompt, what the body says.
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
	allowed := f.DefaultTimeout
	if allowed == 0 {
		allowed = MaxTimeout
	}
	if text := req.Header.Get(rillreach.HeaderDeadline); text != "" {
		asked, err := time.ParseDuration(text)
		if err != nil || asked <= 0 {
			return rillreach.NotRun(rillreach.ReasonBadRequest, rillreach.HeaderDeadline+" is not a positive duration such as 30s")
		}
		allowed = min(asked, MaxTimeout)
	}
	req.Deadline = f.Clock.Now().Add(allowed)
	return nil
}

// readIdentity finds out whether the call must not run twice, and what it is known by.
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
