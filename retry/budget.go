// Package retry decides whether a failed request may be retried: never after its deadline, never if it must not run
// twice and may have run, and never beyond a retry budget that successful requests replenish.
package retry

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach"
)

const (
	// DefaultRatio is the number of retries that each success adds to a budget.
	DefaultRatio = 0.1
	// DefaultReserve is the number of retries that a budget allows without any success.
	DefaultReserve = 10
)

// Budget bounds the number of retries. Each retry reduces its balance by one, and each success adds Ratio to it, up to
// Reserve. The zero value uses the defaults. It is safe for concurrent use.
type Budget struct {
	// Ratio is the number of retries that each success adds; zero means DefaultRatio.
	Ratio float64
	// Reserve is the initial and the maximum balance; zero means DefaultReserve.
	Reserve float64

	mu sync.Mutex
	// spent is the reserve less the balance.
	spent float64
}

// RecordSuccess adds Ratio to the balance.
func (b *Budget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-b.ratio())
}

// TrySpend takes one retry from the balance, and reports whether there was one.
func (b *Budget) TrySpend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > b.reserve() {
		return false
	}
	b.spent++
	return true
}

// Return gives a retry back that was not made.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-1)
}

func (b *Budget) ratio() float64 {
	if b.Ratio == 0 {
		return DefaultRatio
	}
	return b.Ratio
}

func (b *Budget) reserve() float64 {
	if b.Reserve == 0 {
		return DefaultReserve
	}
	return b.Reserve
}

// Failure describes a failed attempt.
type Failure struct {
	// Refusal is the outcome of the attempt, with its reason.
	Refusal *rillreach.Refusal
	// Attempt is the number of the attempt, counted from one.
	Attempt int
	// ResponseStarted is set if part of the response has been sent to the caller.
	ResponseStarted bool
	// NonIdempotent is set if the request must not run twice.
	NonIdempotent bool
	// Deadline is the time after which the caller no longer waits; zero means that there is none.
	Deadline time.Time
}

// Verdict is the decision on a failed attempt: VerdictRetry, or the reason for not retrying.
type Verdict string

// The verdicts on a failed attempt.
const (
	VerdictRetry Verdict = "retry"
	// VerdictFinal means that the reason for the refusal rules out another attempt.
	VerdictFinal             Verdict = "final"
	VerdictResponseStarted   Verdict = "answer-began"
	VerdictMayHaveRun        Verdict = "may-have-run"
	VerdictAttemptsExhausted Verdict = "attempts-used"
	VerdictDeadlineExceeded  Verdict = "deadline"
	VerdictBudgetExhausted   Verdict = "budget-spent"
)

// MaxAttempts is the maximum number of attempts per request, the first one included.
const MaxAttempts = 4

// Decide decides whether a failed attempt is retried. If so, it takes the retry from the budget.
func (b *Budget) Decide(now time.Time, f Failure) Verdict {
	switch {
	case f.ResponseStarted:
		return VerdictResponseStarted
	case f.Refusal.Outcome == rillreach.OutcomeUnknown && f.NonIdempotent:
		return VerdictMayHaveRun
	case f.Refusal.Outcome == rillreach.OutcomeNotRun && !f.Refusal.CanRetryElsewhere():
		return VerdictFinal
	case f.Attempt >= MaxAttempts:
		return VerdictAttemptsExhausted
	case !f.Deadline.IsZero() && !now.Before(f.Deadline):
		return VerdictDeadlineExceeded
	case !b.TrySpend():
		return VerdictBudgetExhausted
	default:
		return VerdictRetry
	}
}
