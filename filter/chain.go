package filter

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach"
)

// Chain runs filters one after another.
type Chain struct {
	// Filters run in this order.
	Filters []rillreach.Filter
	// Log receives one line for each refused request.
	Log logr.Logger
	// Observe is called after each filter with its name, its duration and its result. It may be nil.
	Observe func(step string, took time.Duration, err error)
}

// Run runs the filters until one of them returns an error, and returns that error as a refusal. It returns nil if the
// caller got a response.
func (c *Chain) Run(ctx context.Context, x *rillreach.Exchange) *rillreach.Refusal {
	defer x.Done()
	for _, f := range c.Filters {
		if err := c.runFilter(ctx, f, x); err != nil {
			return c.toRefusal(f, x, err)
		}
	}
	return nil
}

func (c *Chain) runFilter(ctx context.Context, f rillreach.Filter, x *rillreach.Exchange) error {
	if c.Observe == nil {
		return f.Run(ctx, x)
	}
	start := time.Now()
	err := f.Run(ctx, x)
	c.Observe(f.Name(), time.Since(start), err)
	return err
}

// toRefusal converts the error to a refusal and logs it.
func (c *Chain) toRefusal(f rillreach.Filter, x *rillreach.Exchange, err error) *rillreach.Refusal {
	var refusal *rillreach.Refusal
	if !errors.As(err, &refusal) {
		refusal = rillreach.MayHaveRun(rillreach.ReasonInterrupted, err.Error())
	}
	refusal = DowngradeNotRun(x.Request, refusal)
	c.Log.Info("refuse", "decision", refusal.Outcome, "reason", refusal.Reason, "step", f.Name(),
		"request", x.Request.ID, "account", x.Request.Account, "cause", refusal.Message)
	return refusal
}

// DowngradeNotRun changes the outcome of a refusal from not run to unknown if the request has an idempotency key or a
// ticket: an earlier attempt with the same key or ticket may have run, and only its owner knows.
func DowngradeNotRun(req rillreach.Request, refusal *rillreach.Refusal) *rillreach.Refusal {
	if req.IdempotencyKey == "" && req.Ticket == "" {
		return refusal
	}
	if refusal.FromOwner || refusal.Outcome == rillreach.OutcomeUnknown || alwaysRejected(refusal.Reason) {
		return refusal
	}
	downgraded := *refusal
	downgraded.Outcome = rillreach.OutcomeUnknown
	downgraded.Message += "; an earlier attempt with this key or ticket may have been run"
	return &downgraded
}

// alwaysRejected reports whether the reason applies to every attempt with the same key or ticket.
func alwaysRejected(reason rillreach.Reason) bool {
	switch reason {
	case rillreach.ReasonBadRequest, rillreach.ReasonUnauthorized, rillreach.ReasonKeyReused:
		return true
	default:
		return false
	}
}
