// Package admit implements the filter that enforces the limits of a request's row.
package admit

import (
	"context"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/limit"
)

// defaultAnswerTokens is the assumed length of an answer if the request does not limit it.
const defaultAnswerTokens = 256

// Limiter decides whether requests are within the limits of their rows.
type Limiter interface {
	// Admit decides on a request that is expected to use the given number of tokens. If the request is admitted, the
	// caller must call the returned function when it ends.
	Admit(ctx context.Context, row rillreach.Row, tokens int) (limit.Verdict, func())
}

// Filter refuses requests that exceed the limits of their rows.
type Filter struct {
	// Limiter decides on each request.
	Limiter Limiter
}

// Name returns the filter's name.
func (Filter) Name() string { return "admit" }

// Run refuses a request that exceeds a limit of its row.
func (f Filter) Run(ctx context.Context, x *rillreach.Exchange) error {
	verdict, release := f.Limiter.Admit(ctx, x.Request.Row, estimateTokens(x.Request))
	if !verdict.OK {
		return rillreach.NotRun(rillreach.ReasonLimit, limitMessage(verdict.Metric)).WithRetryAfter(max(verdict.RetryAfter, time.Second))
	}
	x.OnDone(release)
	return nil
}

func limitMessage(m limit.Metric) string {
	switch m {
	case limit.RequestsPerSecond:
		return "limit of requests a second is used up"
	case limit.TokensPerSecond:
		return "limit of tokens a minute is used up"
	default:
		return "limit of requests at once is used up"
	}
}

// estimateTokens returns the expected number of tokens of the prompt and the answer.
func estimateTokens(req rillreach.Request) int {
	if req.Service != "" {
		return 0
	}
	if req.MaxTokens > 0 {
		return req.Tokens + req.MaxTokens
	}
	return req.Tokens + defaultAnswerTokens
}
