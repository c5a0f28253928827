package filter

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach"
)

// Chain is a list of filters that run one after another.
type Chain struct {
	// Filters are the steps in their order.
	Filters []rillreach.Filter
	// Log takes one line for each request that ends in a refusal.
	Log logr.Logger
	// Observe is told how long each step took and how it ended; it may be nil.
	Observe func(step string, took time.Duration, err error)
}

// Run runs the filters on the exchange until one of them ends it, and gives the refusal that did.
func (c *Chain) Run(ctx context.Context, x *rillreach.Exchange) *rillreach.Refusal {
	defer x.Done()
	for _, f := range c.Filters {
		if err := c.runOne(ctx, f, x); err != nil {
			return c.refusal(f, x, err)
		}
	}
	return nil
}

func (c *Chain) runOne(ctx context.Context, f rillreach.Filter, x *rillreach.Exchange) error {
	if c.Observe == nil {
		return f.Run(ctx, x)
	}
	start := time.Now()
	err := f.Run(ctx, x)
	c.Observe(f.Name(), time.Since(start), err)
	return err
}

func (c *Chain) refusal(f rillreach.Filter, x *rillreach.Exchange, err error) *rillreach.Refusal {
	var refusal *rillreach.Refusal
	if !errors.As(err, &refusal) {
		refusal = rillreach.MayHaveRun(rillreach.ReasonInterrupted, err.Error())
	}
	refusal = DowngradeNotRun(x.Request, refusal)
	c.Log.Info("refuse", "decision", refusal.Outcome, "reason", refusal.Reason, "step", f.Name(),
		"request", x.Request.ID, "account", x.Request.Account, "cause", refusal.Message)
	return refusal
}

// DowngradeNotRun weakens a refusal as not run where the caller has given the request an identity of its own: an earlier
// attempt under the same key or ticket may have run, and only the identity's owner knows.
func DowngradeNotRun(req rillreach.Request, refusal *rillreach.Refusal) *rillreach.Refusal {
	if req.IdempotencyKey == "" && req.Ticket == "" {
		return refusal
	}
	if refusal.FromOwner || refusal.Outcome == rillreach.OutcomeUnknown || neverTaken(refusal.Reason) {
		return refusal
	}
	weaker := *refusal
	weaker.Outcome = rillreach.OutcomeUnknown
	weaker.Message += "; an earlier attempt with this key or ticket may have been run"
	return &weaker
}

// neverTaken reports a reason that holds for every attempt with the same identity.
func neverTaken(reason rillreach.Reason) bool {
	switch reason {
	case rillreach.ReasonBadRequest, rillreach.ReasonUnauthorized, rillreach.ReasonKeyReused:
		return true
	default:
		return false
	}
}
