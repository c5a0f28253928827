package dispatch

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
)

// TestOutcomeOfAllAttempts: the last attempt's refusal speaks of that attempt alone, the caller asks about the request.
func TestOutcomeOfAllAttempts(t *testing.T) {
	notRun := rillreach.NotRun(rillreach.ReasonNoBackend, "nobody is there")
	t.Run("a request that was never run was not run", func(t *testing.T) {
		assert.Equal(t, rillreach.OutcomeNotRun, ofAll(notRun, false).Outcome)
	})
	t.Run("a request that an earlier attempt may have run may have run", func(t *testing.T) {
		got := ofAll(notRun.WithRetryAfter(5), true)
		assert.Equal(t, rillreach.OutcomeUnknown, got.Outcome)
		assert.Equal(t, rillreach.ReasonNoBackend, got.Reason)
		assert.Equal(t, notRun.RetryAfter, got.RetryAfter)
	})
}
