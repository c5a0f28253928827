package policy

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rillreach/rillreach"
)

// Result is the result of one run.
type Result struct {
	Policy   string
	Scenario string
	Answered int
	Refused  int
	// P50, P95 and P99 are percentiles of the time to first token of returning prompts.
	P50, P95, P99 time.Duration
	// RecomputedShare is the share of the returning prompts' earlier tokens that were computed again.
	RecomputedShare float64
	// LinkUtilization is the highest utilization of a store's link, CrossSideUtilization that of the link between the
	// sides.
	LinkUtilization      float64
	CrossSideUtilization float64
	// LinkBytes is the total number of bytes sent over the stores' links.
	LinkBytes float64

	times            *hdrhistogram.Histogram
	priorTokens      int
	recomputedTokens int
}

const (
	maxRecordedMicros = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

func (r *Result) record(p prompt, timeToFirstToken time.Duration, reused int) {
	r.Answered++
	if p.priorTokens == 0 {
		return
	}
	if r.times == nil {
		r.times = hdrhistogram.New(1, maxRecordedMicros, significantDigits)
	}
	_ = r.times.RecordValue(min(timeToFirstToken.Microseconds(), maxRecordedMicros))
	r.priorTokens += p.priorTokens
	r.recomputedTokens += max(p.priorTokens-reused, 0)
}

func (s *simulation) summarize() Result {
	r := &s.result
	r.Policy, r.Scenario = s.policy.Name(), s.scenario.Name
	if r.times != nil {
		quantile := func(q float64) time.Duration { return time.Duration(r.times.ValueAtQuantile(q)) * time.Microsecond }
		r.P50, r.P95, r.P99 = quantile(50), quantile(95), quantile(99)
		r.RecomputedShare = float64(r.recomputedTokens) / float64(r.priorTokens)
	}
	for _, side := range []rillreach.Side{rillreach.SideOld, rillreach.SideNew} {
		for _, st := range s.stores[side] {
			st.link.advance(s.now)
			r.LinkUtilization = max(r.LinkUtilization, st.link.busyTime.Seconds()/s.now.Seconds())
			r.LinkBytes += st.link.sentBytes
		}
	}
	s.crossSideLink.advance(s.now)
	r.CrossSideUtilization = s.crossSideLink.busyTime.Seconds() / s.now.Seconds()
	return *r
}
