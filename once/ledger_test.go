package once

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rillreach/rillreach"
)

func newClaim(name string, expiresAfter time.Duration) Claim {
	return Claim{Name: name, Expires: start.Add(expiresAfter)}
}

func assertClaimRefused(t *testing.T, result ClaimResult, outcome rillreach.Outcome, reason rillreach.Reason) {
	t.Helper()
	assert.False(t, result.Run)
	require.NotNil(t, result.Refusal)
	assert.Equal(t, outcome, result.Refusal.Outcome)
	assert.Equal(t, reason, result.Refusal.Reason)
}

func TestLedger(t *testing.T) {
	t.Run("the first claim runs and others get its outcome", func(t *testing.T) {
		l := &Ledger{}
		assert.True(t, l.Claim(start, newClaim("a", time.Minute)).Run)
		waiting := l.Claim(start, newClaim("a", time.Minute))
		assert.False(t, waiting.Run)
		l.Settle("a", Outcome{Status: 200, Body: []byte("done")})
		<-waiting.Settled
		assert.Equal(t, "done", string(waiting.Outcome().Body))
	})
	t.Run("after a not-run outcome, another claim may run", func(t *testing.T) {
		l := &Ledger{}
		l.Claim(start, newClaim("a", time.Minute))
		l.Settle("a", Outcome{Refusal: rillreach.NotRun(rillreach.ReasonOverload, "full")})
		assert.True(t, l.Claim(start, newClaim("a", time.Minute)).Run)
	})
	t.Run("an unknown outcome is final", func(t *testing.T) {
		l := &Ledger{}
		l.Claim(start, newClaim("a", time.Minute))
		l.Settle("a", Outcome{Refusal: rillreach.MayHaveRun(rillreach.ReasonInterrupted, "cut")})
		assert.False(t, l.Claim(start, newClaim("a", time.Minute)).Run)
	})
	t.Run("reusing a name for a different request is refused", func(t *testing.T) {
		l := &Ledger{}
		l.Claim(start, newClaim("a", time.Minute))
		other := newClaim("a", time.Minute)
		other.Fingerprint[0] = 1
		assertClaimRefused(t, l.Claim(start, other), rillreach.OutcomeNotRun, rillreach.ReasonKeyReused)
	})
	t.Run("a claim of an evicted entry is refused with an unknown outcome", func(t *testing.T) {
		l := &Ledger{}
		l.Claim(start, newClaim("a", time.Minute))
		l.Settle("a", Outcome{Status: 200})
		l.Claim(start.Add(time.Hour), newClaim("b", 2*time.Hour))
		assertClaimRefused(t, l.Claim(start.Add(time.Hour), newClaim("a", time.Minute)), rillreach.OutcomeUnknown, rillreach.ReasonExpired)
	})
	t.Run("a claim of an evicted entry is refused even if the clock goes back", func(t *testing.T) {
		l := &Ledger{}
		l.Claim(start, newClaim("a", time.Minute))
		l.Settle("a", Outcome{Status: 200})
		l.Claim(start.Add(time.Hour), newClaim("b", 2*time.Hour))
		assertClaimRefused(t, l.Claim(start, newClaim("a", time.Minute)), rillreach.OutcomeUnknown, rillreach.ReasonExpired)
	})
	t.Run("a full ledger refuses new claims and keeps its entries", func(t *testing.T) {
		l := &Ledger{MaxBytes: 2 * entryOverheadBytes}
		l.Claim(start, newClaim("a", time.Minute))
		l.Claim(start, newClaim("b", time.Minute))
		assertClaimRefused(t, l.Claim(start, newClaim("c", time.Minute)), rillreach.OutcomeNotRun, rillreach.ReasonOverload)
		assert.False(t, l.Claim(start, newClaim("a", time.Minute)).Run)
	})
}

// TestLedgerRunsOnce makes claims, records outcomes and moves the clock in random order. A request that may have run
// must never be allowed to run again.
func TestLedgerRunsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := &Ledger{MaxBytes: int64(rapid.IntRange(1, 6).Draw(rt, "maxEntries")) * entryOverheadBytes}
		now := start
		executed, running := map[string]bool{}, map[string]bool{}
		name := func(rt *rapid.T) string { return fmt.Sprint(rapid.IntRange(0, 5).Draw(rt, "name")) }
		// Each name has a fixed expiry: a ticket's signature covers it, and that of a key follows from the key's timestamp.
		expires := map[string]time.Duration{}
		for i := range 6 {
			expires[fmt.Sprint(i)] = time.Duration(rapid.IntRange(1, 20).Draw(rt, "expires")) * time.Second
		}
		rt.Repeat(map[string]func(*rapid.T){
			"claim": func(rt *rapid.T) {
				id := name(rt)
				if l.Claim(now, newClaim(id, expires[id])).Run {
					require.False(rt, executed[id], "%s runs twice", id)
					executed[id], running[id] = true, true
				}
			},
			"settle": func(rt *rapid.T) {
				id := name(rt)
				if running[id] {
					l.Settle(id, Outcome{Status: 200})
					running[id] = false
				}
			},
			"not run": func(rt *rapid.T) {
				id := name(rt)
				if running[id] {
					l.Settle(id, Outcome{Refusal: rillreach.NotRun(rillreach.ReasonOverload, "")})
					executed[id], running[id] = false, false
				}
			},
			"time": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(-3, 10).Draw(rt, "passed")) * time.Second)
			},
		})
	})
}

func TestTicket(t *testing.T) {
	signer := NewSigner([]byte("a secret"))
	ticket := Ticket{ID: "1", Account: "a", Service: service, Owner: Owner{ID: "x", Incarnation: "i"}, Expires: start}
	text, err := signer.Sign(ticket)
	require.NoError(t, err)
	t.Run("a signed ticket verifies", func(t *testing.T) {
		got, err := signer.Verify(text)
		require.NoError(t, err)
		assert.Equal(t, ticket.Owner, got.Owner)
		assert.True(t, ticket.Expires.Equal(got.Expires))
	})
	t.Run("a ticket signed with another secret is refused", func(t *testing.T) {
		_, err := NewSigner([]byte("another secret")).Verify(text)
		assert.Error(t, err)
	})
	t.Run("a modified ticket is refused", func(t *testing.T) {
		_, err := signer.Verify(strings.Repeat("A", 4) + text[4:])
		assert.Error(t, err)
	})
}

func FuzzVerify(f *testing.F) {
	signer := NewSigner([]byte("a secret"))
	text, err := signer.Sign(Ticket{ID: "1", Account: "a", Service: service, Owner: Owner{ID: "x", Incarnation: "i"}, Expires: start})
	require.NoError(f, err)
	f.Add(text)
	f.Add("")
	f.Add("AAAA")
	f.Fuzz(func(t *testing.T, s string) {
		got, err := signer.Verify(s)
		if err == nil {
			assert.NotEmpty(t, got.Owner.Incarnation)
		}
	})
}

func FuzzParseKey(f *testing.F) {
	f.Add("018f3c2e-7b5a-7cc1-8a1e-3c5d7f9b1a2b")
	f.Add("not a key")
	f.Fuzz(func(t *testing.T, s string) {
		if createdAt, err := ParseKey(s); err == nil {
			assert.False(t, createdAt.IsZero())
		}
	})
}
