package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRunsAreRepeatable(t *testing.T) {
	d := Kigali().Small()
	arrivals := Generate(d, 1)
	for _, p := range append(Baselines(), Rillreach{}, PerfectKnowledge{}) {
		t.Run(p.Name(), func(t *testing.T) {
			for _, s := range []Scenario{StoreFailure(), Shift(true)} {
				first, second := Run(d, p, arrivals, s), Run(d, p, Generate(d, 1), s)
				first.times, second.times = nil, nil
				assert.Equal(t, first, second)
			}
		})
	}
}

func TestEveryPromptIsAnswered(t *testing.T) {
	d := Oja().Small()
	arrivals := Generate(d, 1)
	require.NotEmpty(t, arrivals)
	for _, s := range Scenarios() {
		t.Run(s.Name, func(t *testing.T) {
			r := Run(d, Rillreach{}, arrivals, s)
			assert.Equal(t, len(arrivals), r.Answered+r.Refused)
			assert.LessOrEqual(t, r.Refused, len(arrivals)/100)
			assert.LessOrEqual(t, r.LinkUtilization, 1.0)
		})
	}
}
