package policy

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/iter"
)

// Experiment compares policies under several scenarios on the workload of one deployment.
type Experiment struct {
	Deployment Deployment
	Seed       uint64
	Scenarios  []Scenario
	Policies   []Policy
}

// Run runs every policy under every scenario on the same arrivals.
func (e Experiment) Run() []Result {
	arrivals := Generate(e.Deployment, e.Seed)
	type pair struct {
		scenario Scenario
		policy   Policy
	}
	var pairs []pair
	for _, s := range e.Scenarios {
		for _, p := range e.Policies {
			pairs = append(pairs, pair{s, p})
		}
	}
	return iter.Map(pairs, func(p *pair) Result { return Run(e.Deployment, p.policy, arrivals, p.scenario) })
}

// WriteTable writes the results as a text table.
func WriteTable(w io.Writer, deployment string, results []Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "deployment\tscenario\tpolicy\tanswered\trefused\tp50 s\tp95 s\tp99 s\trecomputed %\tbusiest link %\tbetween sides %\tTB carried\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.2f\t%.1f\t%.1f\t%.1f\t\n", deployment, r.Scenario, r.Policy, r.Answered,
			r.Refused, r.P50.Seconds(), r.P95.Seconds(), r.P99.Seconds(), 100*r.RecomputedShare, 100*r.LinkUtilization, 100*r.CrossSideUtilization, r.LinkBytes/1e12)
	}
	return errors.Wrap(table.Flush(), "write table")
}

// Small returns a tenth of the deployment, for tests.
func (d Deployment) Small() Deployment {
	const reduction = 10
	d.Runners = max(d.Runners/reduction, 2)
	d.Conversations /= reduction
	d.Span = min(d.Span, 24*time.Hour)
	return d
}
