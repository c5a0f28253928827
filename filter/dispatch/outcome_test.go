package dispatch

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
)

// The refusal of the last attempt describes only that attempt, but the caller needs the outcome of the request.
func TestOverallRefusal(t *testing.T) {
	notRun := rillreach.NotRun(rillreach.ReasonNoBackend, "no backend server")
	t.Run("not run if no attempt may have run", func(t *testing.T) {
		assert.Equal(t, rillreach.OutcomeNotRun, overallRefusal(notRun, false).Outcome)
	})
	t.Run("unknown if an earlier attempt may have run", func(t *testing.T) {
		got := overallRefusal(notRun.WithRetryAfter(5), true)
		assert.Equal(t, rillreach.OutcomeUnknown, got.Outcome)
		assert.Equal(t, rillreach.ReasonNoBackend, got.Reason)
		assert.Equal(t, notRun.RetryAfter, got.RetryAfter)
	})
}
