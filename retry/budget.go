// Package retry decides whether a request that failed may be tried again: never past its deadline, never where it may
// have run and must not run twice, and never beyond a budget that successes earn.
package retry

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach"
)

const (
	// DefaultRatio is how many retries one success earns.
	DefaultRatio = 0.1
	// DefaultReserve is how many retries are there without any success.
	DefaultReserve = 10
)

// Budget is a balance of retries; its zero value uses the defaults.
type Budget struct {
	// Ratio is how many retries one success earns; zero means DefaultRatio.
	Ratio float64
	// Reserve is the balance at the start and its upper bound; zero means DefaultReserve.
	Reserve float64

	mu    sync.Mutex
	spent float64
}

// RecordSuccess records a success.
func (b *Budget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-b.ratio())
}

// TrySpend takes one retry from the balance, or reports that there is none.
func (b *Budget) TrySpend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > b.reserve() {
		return false
	}
	b.spent++
	return true
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

// Failure is what is known of an attempt that did not succeed.
type Failure struct {
	// Refusal is how the attempt ended.
	Refusal *rillreach.Refusal
	// Attempt counts from one.
	Attempt int
	// ResponseStarted says that part of the answer has gone to the caller.
	ResponseStarted bool
	// NonIdempotent says that the request must not run twice.
	NonIdempotent bool
	// Deadline is when the caller gives up; zero means never.
	Deadline time.Time
}

// Verdict is a decision about a retry.
type Verdict string

// The verdicts on a failed attempt.
const (
	VerdictRetry             Verdict = "retry"
	VerdictFinal             Verdict = "final"
	VerdictResponseStarted   Verdict = "answer-began"
	VerdictMayHaveRun        Verdict = "may-have-run"
	VerdictAttemptsExhausted Verdict = "attempts-used"
	VerdictDeadlineExceeded  Verdict = "deadline"
	VerdictBudgetExhausted   Verdict = "budget-spent"
)

// MaxAttempts is how many attempts one request gets.
const MaxAttempts = 4

// Decide says whether a failed attempt is followed by another; it spends from the budget when it is.
func (b *Budget) Decide(now time.Time, f Failure) Verdict {
	switch {
	case f.ResponseStarted:
		return VerdictResponseStarted
	case f.Refusal.Outcome == rillreach.OutcomeUnknown && f.NonIdempotent:
		return VerdictMayHaveRun
	case f.Refusal.Outcome == rillreach.OutcomeNotRun && !f.Refusal.Elsewhere():
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
