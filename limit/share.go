package limit

import (
	"time"
)

const (
	// headroom is how much more than its use an entry asks for, so that it can grow.
	headroom = 1.25
	// useWeight is how fast the measured use follows.
	useWeight = 0.3
	// burstSeconds is how long an unused rate is saved up.
	burstSeconds = 1.0
)

// Limiter is what one entry may use of one row's limits; its zero value may use nothing.
type Limiter struct {
	parts   [PartCount]holding
	set     [metricCount]bool
	saved   Amounts
	last    time.Time
	running int
	asked   Amounts
	use     Amounts
	counted time.Time
}

type holding struct {
	amounts Amounts
	expires time.Time
}

// Verdict is the decision on one request.
type Verdict struct {
	OK bool
	// Metric is what there is not enough of.
	Metric Metric
	// RetryAfter is when there may be enough.
	RetryAfter time.Duration
}

// SetMetrics says which metrics the row limits.
func (s *Limiter) SetMetrics(set [metricCount]bool) { s.set = set }

// SetLease takes in a lease of a part until its end; the static part never ends.
func (s *Limiter) SetLease(now time.Time, part Part, amounts Amounts, expires time.Time) {
	s.refill(now)
	s.parts[part] = holding{amounts: amounts, expires: expires}
}

// Allowed is what may be used now.
func (s *Limiter) Allowed(now time.Time) Amounts {
	var sum Amounts
	for part, h := range s.parts {
		if Part(part) != PartStatic && !now.Before(h.expires) {
			continue
		}
		for m := range sum {
			sum[m] += h.amounts[m]
		}
	}
	return sum
}

// Admit decides on a request that costs some tokens, and counts it if it is let in; Done has to follow.
func (s *Limiter) Admit(now time.Time, tokens float64) Verdict {
	s.refill(now)
	allowed := s.Allowed(now)
	s.asked[RequestsPerSecond]++
	s.asked[TokensPerSecond] += tokens
	s.asked[ConcurrentRequests] = max(s.asked[ConcurrentRequests], float64(s.running+1))
	if v := s.check(allowed, tokens); !v.OK {
		return v
	}
	s.saved[RequestsPerSecond]--
	s.saved[TokensPerSecond] -= tokens
	s.running++
	return Verdict{OK: true}
}

// Done ends a request that was let in.
func (s *Limiter) Done() { s.running-- }

// Running is how many requests are running.
func (s *Limiter) Running() int { return s.running }

// Demand is what the entry asks its owners for: what callers have asked for lately, and some more.
func (s *Limiter) Demand(now time.Time) Amounts {
	s.measure(now)
	demand := s.use
	for m := range demand {
		demand[m] *= headroom
	}
	demand[ConcurrentRequests] = max(demand[ConcurrentRequests], float64(s.running))
	return demand
}

// Idle reports whether the entry has no use for the row.
func (s *Limiter) Idle() bool {
	const least = 0.01
	return s.running == 0 && s.use[RequestsPerSecond] < least && s.asked[RequestsPerSecond] == 0
}

// check holds a request against the saved amounts. A request may overdraw its tokens once there are any, so that one
// larger than what can be saved up is let in, and paid for before the next.
func (s *Limiter) check(allowed Amounts, tokens float64) Verdict {
	switch {
	case s.set[ConcurrentRequests] && float64(s.running+1) > allowed[ConcurrentRequests]:
		return Verdict{Metric: ConcurrentRequests, RetryAfter: RenewInterval}
	case s.set[RequestsPerSecond] && s.saved[RequestsPerSecond] < 1:
		return Verdict{Metric: RequestsPerSecond, RetryAfter: until(1-s.saved[RequestsPerSecond], allowed[RequestsPerSecond])}
	case s.set[TokensPerSecond] && s.saved[TokensPerSecond] < min(tokens, allowed[TokensPerSecond]*burstSeconds):
		return Verdict{Metric: TokensPerSecond, RetryAfter: until(tokens-s.saved[TokensPerSecond], allowed[TokensPerSecond])}
	case s.set[TokensPerSecond] && allowed[TokensPerSecond] <= 0:
		return Verdict{Metric: TokensPerSecond, RetryAfter: RenewInterval}
	default:
		return Verdict{OK: true}
	}
}

// until is how long an amount takes to be saved up, but not longer than a minute.
func until(missing, rate float64) time.Duration {
	if rate <= 0 {
		return RenewInterval
	}
	return min(time.Duration(missing/rate*float64(time.Second)), time.Minute)
}

// refill saves up what the time since the last call has brought.
func (s *Limiter) refill(now time.Time) {
	passed := now.Sub(s.last).Seconds()
	if s.last.IsZero() {
		passed = burstSeconds
	}
	s.last = now
	if passed <= 0 {
		return
	}
	allowed := s.Allowed(now)
	for _, m := range []Metric{RequestsPerSecond, TokensPerSecond} {
		most := allowed[m] * burstSeconds
		if m == RequestsPerSecond && most > 0 {
			most = max(most, 1)
		}
		s.saved[m] = min(s.saved[m]+allowed[m]*passed, most)
	}
}

// measure moves the measured use towards what was asked for since the last time.
func (s *Limiter) measure(now time.Time) {
	passed := now.Sub(s.counted).Seconds()
	if s.counted.IsZero() || passed <= 0 {
		passed = RenewInterval.Seconds()
	}
	s.counted = now
	for m := range s.use {
		seen := s.asked[m]
		if Metric(m) != ConcurrentRequests {
			seen /= passed
		}
		if seen > s.use[m] {
			s.use[m] = seen
		} else {
			s.use[m] += useWeight * (seen - s.use[m])
		}
	}
	s.asked = Amounts{}
}
