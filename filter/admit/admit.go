// Package admit is the filter that holds a request against its row's limits.
package admit

import (
	"context"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/limit"
)

const defaultAnswerTokens = 256

// Limiter decides on requests of rows.
type Limiter interface {
	// Admit decides on a request; where it is let in, the function has to be called when the request has ended.
	Admit(ctx context.Context, row rillreach.Row, tokens int) (limit.Verdict, func())
}

// Filter holds requests against limits.
type Filter struct {
	// Limiter decides.
	Limiter Limiter
}

// Name is the step's name.
func (Filter) Name() string { return "admit" }

// Run refuses a request that its row has no room for.
func (f Filter) Run(ctx context.Context, x *rillreach.Exchange) error {
	verdict, done := f.Limiter.Admit(ctx, x.Request.Row, tokensOf(x.Request))
	if !verdict.OK {
		return rillreach.NotRun(rillreach.ReasonLimit, messageOf(verdict.Metric)).WithRetryAfter(max(verdict.RetryAfter, time.Second))
	}
	x.OnDone(done)
	return nil
}

func messageOf(m limit.Metric) string {
	switch m {
	case limit.RequestsPerSecond:
		return "limit of requests a second is used up"
	case limit.TokensPerSecond:
		return "limit of tokens a minute is used up"
	default:
		return "limit of requests at once is used up"
	}
}

// tokensOf is what a request is expected to cost: its prompt and the answer it asks for.
func tokensOf(req rillreach.Request) int {
	if req.Service != "" {
		return 0
	}
	if req.MaxTokens > 0 {
		return req.Tokens + req.MaxTokens
	}
	return req.Tokens + defaultAnswerTokens
}
