package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rillreach/rillreach"
)

var start = time.Unix(1_700_000_000, 0)

func newOwner() *Owner { return &Owner{Since: start.Add(-time.Hour)} }

func demandOf(requests float64) Amounts {
	return Amounts{RequestsPerSecond: requests, ConcurrentRequests: requests}
}

func TestSplit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		caps := Amounts{
			RequestsPerSecond:  rapid.Float64Range(0, 1000).Draw(rt, "requests"),
			TokensPerSecond:    rapid.Float64Range(0, 1e6).Draw(rt, "tokens"),
			ConcurrentRequests: float64(rapid.IntRange(0, 1000).Draw(rt, "concurrent")),
		}
		parts := Split(caps)
		for m, amount := range caps {
			sum := 0.0
			for _, p := range parts {
				require.GreaterOrEqual(rt, p[m], 0.0)
				sum += p[m]
			}
			require.InDelta(rt, amount, sum, 1e-6)
		}
	})
}

func TestStaticSharesStayWithinPart(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		part := Split(Amounts{RequestsPerSecond: rapid.Float64Range(0, 500).Draw(rt, "requests"), ConcurrentRequests: 60})[PartStatic]
		entries := rapid.IntRange(1, 100).Draw(rt, "entries")
		var sum Amounts
		for rank := range entries {
			for m, v := range StaticShare(part, rank, entries) {
				sum[m] += v
			}
		}
		for m := range sum {
			require.LessOrEqual(rt, sum[m], part[m]+1e-9)
		}
	})
}

func TestOwnerGrants(t *testing.T) {
	capacity := Amounts{RequestsPerSecond: 90, ConcurrentRequests: 9}
	t.Run("a demand below an equal share is met", func(t *testing.T) {
		o := newOwner()
		o.Grant(start, "a", capacity, demandOf(4))
		assert.Equal(t, Amounts{RequestsPerSecond: 5, ConcurrentRequests: 5}, o.Grant(start, "b", capacity, demandOf(5)))
	})
	t.Run("two entries that want everything get half each once the first lease is renewed", func(t *testing.T) {
		o := newOwner()
		assert.InDelta(t, 90, o.Grant(start, "a", capacity, demandOf(500))[RequestsPerSecond], 0)
		assert.Zero(t, o.Grant(start, "b", capacity, demandOf(500))[RequestsPerSecond])
		assert.InDelta(t, 45, o.Grant(start, "a", capacity, demandOf(500))[RequestsPerSecond], 1e-9)
		assert.InDelta(t, 45, o.Grant(start, "b", capacity, demandOf(500))[RequestsPerSecond], 1e-9)
	})
	t.Run("the lease of an entry that vanishes is available again once it expires", func(t *testing.T) {
		o := newOwner()
		o.Grant(start, "a", capacity, demandOf(500))
		assert.Zero(t, o.Grant(start.Add(LeaseTTL-1), "b", capacity, demandOf(500))[RequestsPerSecond])
		assert.InDelta(t, 45, o.Grant(start.Add(LeaseTTL), "b", capacity, demandOf(500))[RequestsPerSecond], 1e-9)
		assert.InDelta(t, 90, o.Grant(start.Add(2*LeaseTTL+1), "b", capacity, demandOf(500))[RequestsPerSecond], 1e-9)
	})
	t.Run("a new owner grants nothing until the leases of the previous owner have expired", func(t *testing.T) {
		o := &Owner{Since: start}
		assert.Zero(t, o.Grant(start.Add(LeaseTTL-1), "a", capacity, demandOf(5)))
		assert.NotZero(t, o.Grant(start.Add(LeaseTTL), "a", capacity, demandOf(5)))
	})
	t.Run("less than one concurrent request is not leased", func(t *testing.T) {
		o := newOwner()
		assert.InDelta(t, 1, o.Grant(start, "a", Amounts{ConcurrentRequests: 1}, demandOf(0.5))[ConcurrentRequests], 0)
		assert.Zero(t, o.Grant(start, "b", Amounts{ConcurrentRequests: 1}, demandOf(0.5))[ConcurrentRequests])
	})
}

// TestOwnerNeverLeasesMoreThanItHas guards against current leases that add up to more than the owner's capacity, with
// entries that ask in any order and at any time.
func TestOwnerNeverLeasesMoreThanItHas(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		o, now := newOwner(), start
		capacity := Amounts{RequestsPerSecond: rapid.Float64Range(0, 50).Draw(rt, "requests"), ConcurrentRequests: float64(rapid.IntRange(0, 9).Draw(rt, "concurrent"))}
		held := map[string]lease{}
		rt.Repeat(map[string]func(*rapid.T){
			"ask": func(rt *rapid.T) {
				entry := fmt.Sprint(rapid.IntRange(0, 4).Draw(rt, "entry"))
				granted := o.Grant(now, rillreach.InstanceID(entry), capacity, demandOf(rapid.Float64Range(0, 60).Draw(rt, "demand")))
				held[entry] = lease{amounts: granted, expires: now.Add(LeaseTTL)}
			},
			"time": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "ms")) * time.Millisecond)
			},
			"": func(rt *rapid.T) {
				var sum Amounts
				for _, h := range held {
					for m := range sum {
						if now.Before(h.expires) {
							sum[m] += h.amounts[m]
						}
					}
				}
				require.LessOrEqual(rt, sum[RequestsPerSecond], capacity[RequestsPerSecond]+1e-6)
				require.LessOrEqual(rt, sum[ConcurrentRequests], capacity[ConcurrentRequests])
			},
		})
	})
}

func limiterWith(amounts Amounts) *Limiter {
	l := &Limiter{}
	l.SetMetrics([metricCount]bool{true, amounts[TokensPerSecond] > 0, amounts[ConcurrentRequests] > 0})
	l.SetLease(start, PartFirst, amounts, start.Add(time.Hour))
	l.refill(start.Add(time.Second))
	return l
}

func TestLimiter(t *testing.T) {
	now := start.Add(time.Second)
	t.Run("without a lease a request is rejected with a time to retry after", func(t *testing.T) {
		l := &Limiter{}
		l.SetMetrics([metricCount]bool{true})
		v := l.Admit(start, 1)
		assert.False(t, v.OK)
		assert.Positive(t, v.RetryAfter)
	})
	t.Run("concurrent requests are limited to the lease", func(t *testing.T) {
		l := limiterWith(Amounts{RequestsPerSecond: 100, ConcurrentRequests: 2})
		assert.True(t, l.Admit(now, 0).OK)
		assert.True(t, l.Admit(now, 0).OK)
		assert.Equal(t, ConcurrentRequests, l.Admit(now, 0).Metric)
		l.Done()
		assert.True(t, l.Admit(now, 0).OK)
	})
	t.Run("a request larger than the burst is admitted and overdraws the balance", func(t *testing.T) {
		l := limiterWith(Amounts{RequestsPerSecond: 100, TokensPerSecond: 10})
		assert.True(t, l.Admit(now, 50).OK)
		assert.False(t, l.Admit(now.Add(time.Second), 1).OK)
		assert.True(t, l.Admit(now.Add(5*time.Second), 1).OK)
	})
	t.Run("an expired lease allows nothing", func(t *testing.T) {
		l := &Limiter{}
		l.SetLease(start, PartFirst, Amounts{RequestsPerSecond: 5}, start.Add(LeaseTTL))
		assert.Zero(t, l.Allowed(start.Add(LeaseTTL)))
	})
}

// TestEntriesTogetherStayWithinLimit guards against entries that together admit more requests than the limit and the
// burst allow, while an owner is lost, or while entries disagree about the owners, so that each part has two owners.
func TestEntriesTogetherStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const entryCount, limitRate = 4, 40.0
		caps := Amounts{RequestsPerSecond: limitRate}
		parts := Split(caps)
		limiters := make([]*Limiter, entryCount)
		for i := range limiters {
			limiters[i] = &Limiter{}
			limiters[i].SetMetrics([metricCount]bool{true})
			limiters[i].SetLease(start, PartStatic, StaticShare(parts[PartStatic], i, entryCount), time.Time{})
		}
		splitBrain := rapid.Bool().Draw(rt, "split brain")
		owners := [2][OwnedPartCount]*Owner{{newOwner(), newOwner()}, {newOwner(), newOwner()}}
		lost := rapid.IntRange(0, OwnedPartCount).Draw(rt, "lost")
		admitted, seconds := 0, rapid.IntRange(2, 10).Draw(rt, "seconds")
		const step = 50 * time.Millisecond
		for now := start; now.Before(start.Add(time.Duration(seconds) * time.Second)); now = now.Add(step) {
			for i, l := range limiters {
				view := 0
				if splitBrain {
					view = i % 2
				}
				if now.Sub(start)%RenewInterval == 0 {
					demand := l.Demand(now)
					for part := range OwnedPartCount {
						if part == lost {
							continue
						}
						granted := owners[view][part].Grant(now, rillreach.InstanceID(fmt.Sprint(i)), parts[part], demand)
						l.SetLease(now, Part(part), granted, now.Add(LeaseTTL))
					}
				}
				for l.Admit(now, 0).OK {
					admitted++
					l.Done()
				}
			}
		}
		bound := limitRate*float64(seconds+1) + entryCount
		if splitBrain {
			bound *= 2
		}
		require.LessOrEqual(rt, float64(admitted), bound)
	})
}
