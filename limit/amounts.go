package limit

import (
	"math"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
)

// Metric is one of the things that a row limits.
type Metric int

// The metrics that are leased.
const (
	// RequestsPerSecond is requests a second.
	RequestsPerSecond Metric = iota
	// TokensPerSecond is tokens a second.
	TokensPerSecond
	// ConcurrentRequests is requests at once.
	ConcurrentRequests
	metricCount
)

const secondsPerMinute = 60

// Amounts is an amount of each metric.
type Amounts [metricCount]float64

// Check reports an amount that is negative or no number.
func (a Amounts) Check() error {
	for _, v := range a {
		if v < 0 || math.IsNaN(v) {
			return errors.Newf("amount %v is not one", v)
		}
	}
	return nil
}

// AmountsOf returns a row's limits as amounts, and which of them the row sets.
func AmountsOf(l rillreach.Limits) (caps Amounts, set [metricCount]bool) {
	caps = Amounts{
		RequestsPerSecond:  l.RequestsPerSecond,
		TokensPerSecond:    float64(l.TokensPerMinute) / secondsPerMinute,
		ConcurrentRequests: float64(l.Concurrent),
	}
	for m := range caps {
		set[m] = caps[m] > 0
	}
	return caps, set
}

// Part is a part of a row's limits.
type Part int

// The parts of a row's limits: one for each of two owners, and one that is spread without an owner.
const (
	PartFirst Part = iota
	PartSecond
	PartStatic
	PartCount

	// OwnedPartCount is how many parts have an owner.
	OwnedPartCount = int(PartStatic)
)

// staticShare is how much of a limit is spread without an owner.
const staticShare = 0.1

// Split divides the limits into the parts, whose sum is the limits; requests at once are divided in whole numbers.
func Split(caps Amounts) [PartCount]Amounts {
	var parts [PartCount]Amounts
	for m, limit := range caps {
		static := staticShare * limit
		half := (limit - static) / 2
		if Metric(m) == ConcurrentRequests {
			static = math.Floor(static)
			half = math.Floor((limit - static) / 2)
		}
		parts[PartStatic][m] = static
		parts[PartSecond][m] = half
		parts[PartFirst][m] = limit - static - half
	}
	return parts
}

// StaticShare is what the entry of a rank among all entries has of the static part: the first few by rank share it, so that
// each of them has at least one whole unit.
func StaticShare(part Amounts, rank, entries int) Amounts {
	var share Amounts
	for m, whole := range part {
		holders := min(max(int(whole), 1), entries)
		if rank >= holders {
			continue
		}
		share[m] = whole / float64(holders)
		if Metric(m) == ConcurrentRequests {
			share[m] = math.Floor(share[m])
		}
	}
	return share
}
