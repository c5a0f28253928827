package limit

import (
	"math"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
)

// Metric identifies a quantity that a row limits.
type Metric int

// The limited metrics.
const (
	RequestsPerSecond Metric = iota
	TokensPerSecond
	ConcurrentRequests
	metricCount
)

const secondsPerMinute = 60

// Amounts holds an amount for each metric, indexed by Metric.
type Amounts [metricCount]float64

// Check returns an error if an amount is negative or not a number.
func (a Amounts) Check() error {
	for _, v := range a {
		if v < 0 || math.IsNaN(v) {
			return errors.Newf("amount %v is not one", v)
		}
	}
	return nil
}

// AmountsOf returns a row's limits as amounts, and for each metric whether the row limits it.
func AmountsOf(l rillreach.Limits) (caps Amounts, limited [metricCount]bool) {
	caps = Amounts{
		RequestsPerSecond:  l.RequestsPerSecond,
		TokensPerSecond:    float64(l.TokensPerMinute) / secondsPerMinute,
		ConcurrentRequests: float64(l.ConcurrentRequests),
	}
	for m := range caps {
		limited[m] = caps[m] > 0
	}
	return caps, limited
}

// Part identifies a part of a row's limits.
type Part int

// The parts of a row's limits: one for each of two owners, and a static one, which the entries share without an owner.
const (
	PartFirst Part = iota
	PartSecond
	PartStatic
	PartCount

	// OwnedPartCount is the number of parts that have an owner. They come before the static part.
	OwnedPartCount = int(PartStatic)
)

// staticFraction is the static part's fraction of a limit.
const staticFraction = 0.1

// Split divides limits into parts that add up to them. ConcurrentRequests is divided into whole numbers.
func Split(caps Amounts) [PartCount]Amounts {
	var parts [PartCount]Amounts
	for m, limit := range caps {
		static := staticFraction * limit
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

// StaticShare returns the share of the static part for the entry with the given rank among all entries. The part is
// divided among the first entries by rank, as many as can have a whole unit each, but at least one.
func StaticShare(part Amounts, rank, entries int) Amounts {
	var share Amounts
	for m, amount := range part {
		sharers := min(max(int(amount), 1), entries)
		if rank >= sharers {
			continue
		}
		share[m] = amount / float64(sharers)
		if Metric(m) == ConcurrentRequests {
			share[m] = math.Floor(share[m])
		}
	}
	return share
}
