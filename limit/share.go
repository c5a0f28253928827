package limit

import (
	"time"
)

const (
	// headroomFactor multiplies an entry's usage to give its demand, so that the usage can grow.
	headroomFactor = 1.25
	// usageDecayWeight is the weight of a new measurement that is below the smoothed usage.
	usageDecayWeight = 0.3
	// burstSeconds is the time for which an unused rate accrues, in seconds.
	burstSeconds = 1.0
)

// Limiter admits the requests of one row at one entry, within the entry's leases. Its zero value holds no leases. It is
// not safe for concurrent use.
type Limiter struct {
	leases  [PartCount]lease
	limited [metricCount]bool
	// balance holds the accrued requests and tokens that can be used now.
	balance    Amounts
	lastRefill time.Time
	running    int
	// requested counts what callers have asked for since lastMeasured, including rejected requests.
	requested Amounts
	// usage is the smoothed rate of what callers ask for.
	usage        Amounts
	lastMeasured time.Time
}

// lease is a part's amounts that the entry may use until the lease expires.
type lease struct {
	amounts Amounts
	expires time.Time
}

// Verdict is the decision on one request.
type Verdict struct {
	OK bool
	// Metric is the exhausted metric if the request is rejected.
	Metric Metric
	// RetryAfter is the time after which a rejected request may be admitted.
	RetryAfter time.Duration
}

// SetMetrics sets which metrics the row limits.
func (l *Limiter) SetMetrics(limited [metricCount]bool) { l.limited = limited }

// SetLease replaces the lease of a part. The static part does not expire.
func (l *Limiter) SetLease(now time.Time, part Part, amounts Amounts, expires time.Time) {
	l.refill(now)
	l.leases[part] = lease{amounts: amounts, expires: expires}
}

// Allowed returns the sum of the current leases.
func (l *Limiter) Allowed(now time.Time) Amounts {
	var sum Amounts
	for part, held := range l.leases {
		if Part(part) != PartStatic && !now.Before(held.expires) {
			continue
		}
		for m := range sum {
			sum[m] += held.amounts[m]
		}
	}
	return sum
}

// Admit decides on a request that costs the given number of tokens. If the request is admitted, the caller must call
// Done when it ends.
func (l *Limiter) Admit(now time.Time, tokens float64) Verdict {
	l.refill(now)
	allowed := l.Allowed(now)
	l.requested[RequestsPerSecond]++
	l.requested[TokensPerSecond] += tokens
	l.requested[ConcurrentRequests] = max(l.requested[ConcurrentRequests], float64(l.running+1))
	if v := l.check(allowed, tokens); !v.OK {
		return v
	}
	l.balance[RequestsPerSecond]--
	l.balance[TokensPerSecond] -= tokens
	l.running++
	return Verdict{OK: true}
}

// Done records the end of an admitted request.
func (l *Limiter) Done() { l.running-- }

// Running returns the number of admitted requests that have not ended.
func (l *Limiter) Running() int { return l.running }

// Demand returns what the entry asks the owners for: its recent usage and some headroom.
func (l *Limiter) Demand(now time.Time) Amounts {
	l.updateUsage(now)
	demand := l.usage
	for m := range demand {
		demand[m] *= headroomFactor
	}
	demand[ConcurrentRequests] = max(demand[ConcurrentRequests], float64(l.running))
	return demand
}

// Idle reports whether the row has no running requests and hardly any recent usage.
func (l *Limiter) Idle() bool {
	const minUsage = 0.01 // requests per second
	return l.running == 0 && l.usage[RequestsPerSecond] < minUsage && l.requested[RequestsPerSecond] == 0
}

// check compares a request with the balance. A request that needs more tokens than can accrue is admitted once the
// balance is full. It overdraws the balance, which has to recover before the next request is admitted.
func (l *Limiter) check(allowed Amounts, tokens float64) Verdict {
	switch {
	case l.limited[ConcurrentRequests] && float64(l.running+1) > allowed[ConcurrentRequests]:
		return Verdict{Metric: ConcurrentRequests, RetryAfter: RenewInterval}
	case l.limited[RequestsPerSecond] && l.balance[RequestsPerSecond] < 1:
		return Verdict{Metric: RequestsPerSecond, RetryAfter: timeToAccrue(1-l.balance[RequestsPerSecond], allowed[RequestsPerSecond])}
	case l.limited[TokensPerSecond] && l.balance[TokensPerSecond] < min(tokens, allowed[TokensPerSecond]*burstSeconds):
		return Verdict{Metric: TokensPerSecond, RetryAfter: timeToAccrue(tokens-l.balance[TokensPerSecond], allowed[TokensPerSecond])}
	case l.limited[TokensPerSecond] && allowed[TokensPerSecond] <= 0:
		return Verdict{Metric: TokensPerSecond, RetryAfter: RenewInterval}
	default:
		return Verdict{OK: true}
	}
}

// timeToAccrue returns the time in which the missing amount accrues, at most one minute.
func timeToAccrue(missing, rate float64) time.Duration {
	if rate <= 0 {
		return RenewInterval
	}
	return min(time.Duration(missing/rate*float64(time.Second)), time.Minute)
}

// refill adds to the balance what has accrued since the last call.
func (l *Limiter) refill(now time.Time) {
	elapsed := now.Sub(l.lastRefill).Seconds()
	if l.lastRefill.IsZero() {
		elapsed = burstSeconds
	}
	l.lastRefill = now
	if elapsed <= 0 {
		return
	}
	allowed := l.Allowed(now)
	for _, m := range []Metric{RequestsPerSecond, TokensPerSecond} {
		capacity := allowed[m] * burstSeconds
		if m == RequestsPerSecond && capacity > 0 {
			capacity = max(capacity, 1)
		}
		l.balance[m] = min(l.balance[m]+allowed[m]*elapsed, capacity)
	}
}

// updateUsage adapts the usage to what was requested since the last call: an increase at once, a decrease gradually.
func (l *Limiter) updateUsage(now time.Time) {
	elapsed := now.Sub(l.lastMeasured).Seconds()
	if l.lastMeasured.IsZero() || elapsed <= 0 {
		elapsed = RenewInterval.Seconds()
	}
	l.lastMeasured = now
	for m := range l.usage {
		observed := l.requested[m]
		if Metric(m) != ConcurrentRequests {
			observed /= elapsed
		}
		if observed > l.usage[m] {
			l.usage[m] = observed
		} else {
			l.usage[m] += usageDecayWeight * (observed - l.usage[m])
		}
	}
	l.requested = Amounts{}
}
