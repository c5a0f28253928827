package slowstart

import "github.com/rillreach/rillreach/permit"

const (
	// burstFraction is the fraction of the slack that may be allocated at once. The rest allows for clocks that are
	// read early or late.
	burstFraction = 0.8
	// minBurst is the least burst, in permits. With less than one, no whole permit could accrue.
	minBurst = 1.0
)

// Limits describes the request rate that a cold runner can handle, and the bound for all senders together.
type Limits struct {
	// PerSecond is the rate that the runner can handle, in requests per second. Zero means no limit.
	PerSecond float64
	// Factor and Slack define the most requests in any one second: PerSecond times Factor, plus Slack.
	Factor float64
	Slack  float64
}

// Bounded reports whether there is a limit.
func (l Limits) Bounded() bool { return l.PerSecond > 0 }

// Rate returns the rate at which permits are allocated, or zero if there is no limit. It takes into account that
// permits allocated during one second and during the permit.Validity before it may all be used within that second.
func (l Limits) Rate() permit.Rate {
	if !l.Bounded() {
		return permit.Rate{}
	}
	perSecond := min(l.PerSecond*max(l.Factor, 1), (l.maxPerSecond()-l.burst())/(1+permit.Validity.Seconds()))
	return permit.Rate{PerSecond: max(0, perSecond), Burst: l.burst()}
}

// maxPerSecond returns the most requests in any one second.
func (l Limits) maxPerSecond() float64 { return l.PerSecond*max(l.Factor, 1) + l.Slack }

// burst returns the most permits that may be allocated at once.
func (l Limits) burst() float64 { return max(minBurst, l.Slack*burstFraction) }
