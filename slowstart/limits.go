package slowstart

import "github.com/rillreach/rillreach/permit"

const (
	// burstShare is the part of the slack that may be allotted at once; the rest is left for clocks that are read early or late.
	burstShare = 0.8
	// leastBurst lets a permit be allotted whole.
	leastBurst = 1.0
)

// Limits are what a cold runner bears, and the bound that all senders together have to keep.
type Limits struct {
	// PerSecond is how many requests a second it bears; zero says that nothing is bounded.
	PerSecond float64
	// Factor and Slack give the most in any one second: PerSecond times Factor, plus Slack.
	Factor float64
	Slack  float64
}

// Bounded reports that cold runners bear only so many requests.
func (l Limits) Bounded() bool { return l.PerSecond > 0 }

// Rate is at what rate permits are allotted, none where nothing is bounded: those of one second and of the validity before it may be used together.
func (l Limits) Rate() permit.Rate {
	if !l.Bounded() {
		return permit.Rate{}
	}
	perSecond := min(l.PerSecond*max(l.Factor, 1), (l.most()-l.burst())/(1+permit.Validity.Seconds()))
	return permit.Rate{PerSecond: max(0, perSecond), Burst: l.burst()}
}

// most is the bound on any one second.
func (l Limits) most() float64 { return l.PerSecond*max(l.Factor, 1) + l.Slack }

// burst is how many permits may be allotted at once.
func (l Limits) burst() float64 { return max(leastBurst, l.Slack*burstShare) }
