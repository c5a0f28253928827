package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach/deployment"
)

// TestReturnAfterSilence: a runner that answers again may have started anew meanwhile, whether it or its agent was silent.
func TestReturnAfterSilence(t *testing.T) {
	start := time.Unix(1000, 0)
	report := func(after time.Duration, silent bool) Report {
		return Report{At: start.Add(after), Load: deployment.Load{Silent: silent}}
	}
	for name, c := range map[string]struct {
		first, second Report
		returned      bool
	}{
		"reports in time":                {first: report(0, false), second: report(reportAge-1, false)},
		"a runner that was silent":       {first: report(0, true), second: report(1, false), returned: true},
		"one that still is":              {first: report(0, true), second: report(1, true)},
		"an agent that was silent":       {first: report(0, false), second: report(reportAge, false), returned: true},
		"an agent whose runner is, then": {first: report(0, false), second: report(reportAge, true)},
	} {
		t.Run(name, func(t *testing.T) {
			var r Runner
			assert.False(t, r.SetReport(c.first), "the first report follows no silence")
			assert.Equal(t, c.returned, r.SetReport(c.second))
		})
	}
}
