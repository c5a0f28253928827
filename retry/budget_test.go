package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/rillreach/rillreach"
)

func failureWith(change func(*Failure)) Failure {
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
		"a request that has not run is retried":               {failureWith(func(*Failure) {}), VerdictRetry},
		"a request whose response has started is not retried": {failureWith(func(f *Failure) { f.ResponseStarted = true }), VerdictResponseStarted},
		"a non-idempotent request that may have run is not retried": {failureWith(func(f *Failure) {
			f.Refusal = rillreach.MayHaveRun(rillreach.ReasonInterrupted, "")
			f.NonIdempotent = true
		}), VerdictMayHaveRun},
		"an idempotent request that may have run is retried": {failureWith(func(f *Failure) { f.Refusal = rillreach.MayHaveRun(rillreach.ReasonInterrupted, "") }), VerdictRetry},
		"a bad request is not retried":                       {failureWith(func(f *Failure) { f.Refusal = rillreach.NotRun(rillreach.ReasonBadRequest, "") }), VerdictFinal},
		"the number of attempts is bounded":                  {failureWith(func(f *Failure) { f.Attempt = MaxAttempts }), VerdictAttemptsExhausted},
		"a request is not retried after its deadline":        {failureWith(func(f *Failure) { f.Deadline = now }), VerdictDeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.verdict, (&Budget{}).Decide(now, c.failure)) })
	}
}

// TestRetriesAreBounded guards against more retries than the reserve and the preceding successes allow, with successes,
// retries and retries that are not made in any order.
func TestRetriesAreBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := &Budget{}
		earned, spent := 0.0, 0.0
		for _, event := range rapid.SliceOfN(rapid.IntRange(0, 2), 0, 500).Draw(rt, "events") {
			switch {
			case event == 0:
				b.RecordSuccess()
				earned += DefaultRatio
			case !b.TrySpend():
			case event == 1:
				spent++
			default:
				b.Return()
			}
		}
		if spent > DefaultReserve+earned+1e-9 {
			rt.Fatalf("%v retries after successes added %v to the reserve", spent, earned)
		}
	})
}
