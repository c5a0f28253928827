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

func owner() *Owner { return &Owner{Since: start.Add(-time.Hour)} }

func wanting(requests float64) Amounts {
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
		for m, whole := range caps {
			sum := 0.0
			for _, p := range parts {
				require.GreaterOrEqual(rt, p[m], 0.0)
				sum += p[m]
			}
			require.InDelta(rt, whole, sum, 1e-6)
		}
	})
}

func TestStaticNeverPassesItsPart(t *testing.T) {
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
	have := Amounts{RequestsPerSecond: 90, ConcurrentRequests: 9}
	t.Run("a demand below an equal part is met", func(t *testing.T) {
		o := owner()
		o.Grant(start, "a", have, wanting(4))
		assert.Equal(t, Amounts{RequestsPerSecond: 5, ConcurrentRequests: 5}, o.Grant(start, "b", have, wanting(5)))
	})
	t.Run("two that want all get half each once the first lease is renewed", func(t *testing.T) {
		o := owner()
		assert.InDelta(t, 90, o.Grant(start, "a", have, wanting(500))[RequestsPerSecond], 0)
		assert.Zero(t, o.Grant(start, "b", have, wanting(500))[RequestsPerSecond])
		assert.InDelta(t, 45, o.Grant(start, "a", have, wanting(500))[RequestsPerSecond], 1e-9)
		assert.InDelta(t, 45, o.Grant(start, "b", have, wanting(500))[RequestsPerSecond], 1e-9)
	})
	t.Run("an entry that vanishes gives its lease back when it ends", func(t *testing.T) {
		o := owner()
		o.Grant(start, "a", have, wanting(500))
		assert.Zero(t, o.Grant(start.Add(LeaseTTL-1), "b", have, wanting(500))[RequestsPerSecond])
		assert.InDelta(t, 45, o.Grant(start.Add(LeaseTTL), "b", have, wanting(500))[RequestsPerSecond], 1e-9)
		assert.InDelta(t, 90, o.Grant(start.Add(2*LeaseTTL+1), "b", have, wanting(500))[RequestsPerSecond], 1e-9)
	})
	t.Run("a new owner waits until the leases of the one before have ended", func(t *testing.T) {
		o := &Owner{Since: start}
		assert.Zero(t, o.Grant(start.Add(LeaseTTL-1), "a", have, wanting(5)))
		assert.NotZero(t, o.Grant(start.Add(LeaseTTL), "a", have, wanting(5)))
	})
	t.Run("less than one request at once is not leased", func(t *testing.T) {
		o := owner()
		assert.InDelta(t, 1, o.Grant(start, "a", Amounts{ConcurrentRequests: 1}, wanting(0.5))[ConcurrentRequests], 0)
		assert.Zero(t, o.Grant(start, "b", Amounts{ConcurrentRequests: 1}, wanting(0.5))[ConcurrentRequests])
	})
}

// TestOwnerNeverLeasesMoreThanItHas has entries ask in any order and at any time.
func TestOwnerNeverLeasesMoreThanItHas(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		o, now := owner(), start
		have := Amounts{RequestsPerSecond: rapid.Float64Range(0, 50).Draw(rt, "requests"), ConcurrentRequests: float64(rapid.IntRange(0, 9).Draw(rt, "concurrent"))}
		held := map[string]holding{}
		rt.Repeat(map[string]func(*rapid.T){
			"ask": func(rt *rapid.T) {
				entry := fmt.Sprint(rapid.IntRange(0, 4).Draw(rt, "entry"))
				granted := o.Grant(now, rillreach.InstanceID(entry), have, wanting(rapid.Float64Range(0, 60).Draw(rt, "demand")))
				held[entry] = holding{amounts: granted, expires: now.Add(LeaseTTL)}
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
				require.LessOrEqual(rt, sum[RequestsPerSecond], have[RequestsPerSecond]+1e-6)
				require.LessOrEqual(rt, sum[ConcurrentRequests], have[ConcurrentRequests])
			},
		})
	})
}

func shareOf(amounts Amounts) *Limiter {
	s := &Limiter{}
	s.SetMetrics([metricCount]bool{true, amounts[TokensPerSecond] > 0, amounts[ConcurrentRequests] > 0})
	s.SetLease(start, PartFirst, amounts, start.Add(time.Hour))
	s.refill(start.Add(time.Second))
	return s
}

func TestShare(t *testing.T) {
	now := start.Add(time.Second)
	t.Run("without a lease nothing is let in, and the caller is told when to come back", func(t *testing.T) {
		s := &Limiter{}
		s.SetMetrics([metricCount]bool{true})
		v := s.Admit(start, 1)
		assert.False(t, v.OK)
		assert.Positive(t, v.RetryAfter)
	})
	t.Run("requests at once end with the share", func(t *testing.T) {
		s := shareOf(Amounts{RequestsPerSecond: 100, ConcurrentRequests: 2})
		assert.True(t, s.Admit(now, 0).OK)
		assert.True(t, s.Admit(now, 0).OK)
		assert.Equal(t, ConcurrentRequests, s.Admit(now, 0).Metric)
		s.Done()
		assert.True(t, s.Admit(now, 0).OK)
	})
	t.Run("a request larger than what can be saved up is let in and paid for", func(t *testing.T) {
		s := shareOf(Amounts{RequestsPerSecond: 100, TokensPerSecond: 10})
		assert.True(t, s.Admit(now, 50).OK)
		assert.False(t, s.Admit(now.Add(time.Second), 1).OK)
		assert.True(t, s.Admit(now.Add(5*time.Second), 1).OK)
	})
	t.Run("a lease that has ended counts for nothing", func(t *testing.T) {
		s := &Limiter{}
		s.SetLease(start, PartFirst, Amounts{RequestsPerSecond: 5}, start.Add(LeaseTTL))
		assert.Zero(t, s.Allowed(start.Add(LeaseTTL)))
	})
}

// TestSumOverEntries has entries use their shares as hard as they can while owners are lost and doubled. Over any run
// the requests let in stay within the rate, what may be saved up, and what a second owner could lease for as long as
// some entries believe in it.
func TestSumOverEntries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const entryCount, limitRate = 4, 40.0
		caps := Amounts{RequestsPerSecond: limitRate}
		parts := Split(caps)
		shares := make([]*Limiter, entryCount)
		for i := range shares {
			shares[i] = &Limiter{}
			shares[i].SetMetrics([metricCount]bool{true})
			shares[i].SetLease(start, PartStatic, StaticShare(parts[PartStatic], i, entryCount), time.Time{})
		}
		doubled := rapid.Bool().Draw(rt, "doubled")
		books := [2][OwnedPartCount]*Owner{{owner(), owner()}, {owner(), owner()}}
		lost := rapid.IntRange(0, OwnedPartCount).Draw(rt, "lost")
		let, seconds := 0, rapid.IntRange(2, 10).Draw(rt, "seconds")
		const step = 50 * time.Millisecond
		for now := start; now.Before(start.Add(time.Duration(seconds) * time.Second)); now = now.Add(step) {
			for i, s := range shares {
				view := 0
				if doubled {
					view = i % 2
				}
				if now.Sub(start)%RenewInterval == 0 {
					demand := s.Demand(now)
					for part := range OwnedPartCount {
						if part == lost {
							continue
						}
						granted := books[view][part].Grant(now, rillreach.InstanceID(fmt.Sprint(i)), parts[part], demand)
						s.SetLease(now, Part(part), granted, now.Add(LeaseTTL))
					}
				}
				for s.Admit(now, 0).OK {
					let++
					s.Done()
				}
			}
		}
		bound := limitRate*float64(seconds+1) + entryCount
		if doubled {
			bound *= 2
		}
		require.LessOrEqual(rt, float64(let), bound)
	})
}
