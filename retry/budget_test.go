package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/rillreach/rillreach"
)

func failed(change func(*Failure)) Failure {
	f := Failure{Refusal: rillreach.NotRun(rillreach.ReasonOverload, "full"), Attempt: 1}
	change(&f)
	return f
}

func TestDecide(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for name, c := range map[string]struct {
		failure Failure
		verdict Verdict
	}{
		"a refusal as not run is tried elsewhere":            {failed(func(*Failure) {}), VerdictRetry},
		"an answer that has begun is not":                    {failed(func(f *Failure) { f.ResponseStarted = true }), VerdictResponseStarted},
		"nor is what may have run and must not run twice":    {failed(func(f *Failure) { f.Refusal = rillreach.Unknown(rillreach.ReasonCut, ""); f.NonIdempotent = true }), VerdictMayHaveRun},
		"what may have run and may run twice is tried again": {failed(func(f *Failure) { f.Refusal = rillreach.Unknown(rillreach.ReasonCut, "") }), VerdictRetry},
		"a bad request is bad everywhere":                    {failed(func(f *Failure) { f.Refusal = rillreach.NotRun(rillreach.ReasonBadRequest, "") }), VerdictFinal},
		"attempts are bounded":                               {failed(func(f *Failure) { f.Attempt = MaxAttempts }), VerdictAttemptsExhausted},
		"a deadline is not passed":                           {failed(func(f *Failure) { f.Deadline = now }), VerdictDeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.verdict, (&Budget{}).Decide(now, c.failure)) })
	}
}

// TestRetriesAreBounded has requests succeed and fail in any order: retries never pass the reserve and what successes
// have earned.
func TestRetriesAreBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := &Budget{}
		earned, spent := 0.0, 0.0
		for _, ok := range rapid.SliceOfN(rapid.Bool(), 0, 500).Draw(rt, "successes") {
			if ok {
				b.RecordSuccess()
				earned += DefaultRatio
			} else if b.TrySpend() {
				spent++
			}
		}
		if spent > DefaultReserve+earned+1e-9 {
			rt.Fatalf("%v retries after %v earned", spent, earned)
		}
	})
}
