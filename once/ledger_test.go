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

func claimOf(name string, until time.Duration) Claim {
	return Claim{Name: name, Expires: start.Add(until)}
}

func assertClaimRefused(t *testing.T, p ClaimResult, outcome rillreach.Outcome, reason rillreach.Reason) {
	t.Helper()
	assert.False(t, p.Run)
	require.NotNil(t, p.Refusal)
	assert.Equal(t, outcome, p.Refusal.Outcome)
	assert.Equal(t, reason, p.Refusal.Reason)
}

func TestLedger(t *testing.T) {
	t.Run("the first claim runs and the others get its outcome", func(t *testing.T) {
		l := &Ledger{}
		assert.True(t, l.Claim(start, claimOf("a", time.Minute)).Run)
		waiting := l.Claim(start, claimOf("a", time.Minute))
		assert.False(t, waiting.Run)
		l.Settle("a", Outcome{Status: 200, Body: []byte("done")})
		<-waiting.Settled
		assert.Equal(t, "done", string(waiting.Outcome().Body))
	})
	t.Run("an outcome as not run lets another claim run", func(t *testing.T) {
		l := &Ledger{}
		l.Claim(start, claimOf("a", time.Minute))
		l.Settle("a", Outcome{Refusal: rillreach.NotRun(rillreach.ReasonOverload, "full")})
		assert.True(t, l.Claim(start, claimOf("a", time.Minute)).Run)
	})
	t.Run("an unknown outcome is final", func(t *testing.T) {
		l := &Ledger{}
		l.Claim(start, claimOf("a", time.Minute))
		l.Settle("a", Outcome{Refusal: rillreach.Unknown(rillreach.ReasonCut, "cut")})
		assert.False(t, l.Claim(start, claimOf("a", time.Minute)).Run)
	})
	t.Run("the same name for another request is refused", func(t *testing.T) {
		l := &Ledger{}
		l.Claim(start, claimOf("a", time.Minute))
		other := claimOf("a", time.Minute)
		other.Fingerprint[0] = 1
		assertClaimRefused(t, l.Claim(start, other), rillreach.OutcomeNotRun, rillreach.ReasonKeyReused)
	})
	t.Run("what is forgotten is refused as unknown", func(t *testing.T) {
		l := &Ledger{}
		l.Claim(start, claimOf("a", time.Minute))
		l.Settle("a", Outcome{Status: 200})
		l.Claim(start.Add(time.Hour), claimOf("b", 2*time.Hour))
		assertClaimRefused(t, l.Claim(start.Add(time.Hour), claimOf("a", time.Minute)), rillreach.OutcomeUnknown, rillreach.ReasonExpired)
	})
	t.Run("a clock that goes back forgets nothing twice", func(t *testing.T) {
		l := &Ledger{}
		l.Claim(start, claimOf("a", time.Minute))
		l.Settle("a", Outcome{Status: 200})
		l.Claim(start.Add(time.Hour), claimOf("b", 2*time.Hour))
		assertClaimRefused(t, l.Claim(start, claimOf("a", time.Minute)), rillreach.OutcomeUnknown, rillreach.ReasonExpired)
	})
	t.Run("a full ledger takes nothing new and forgets nothing", func(t *testing.T) {
		l := &Ledger{MaxBytes: 2 * entryOverhead}
		l.Claim(start, claimOf("a", time.Minute))
		l.Claim(start, claimOf("b", time.Minute))
		assertClaimRefused(t, l.Claim(start, claimOf("c", time.Minute)), rillreach.OutcomeNotRun, rillreach.ReasonOverload)
		assert.False(t, l.Claim(start, claimOf("a", time.Minute)).Run)
	})
}

// TestLedgerRunsOnce has claims, outcomes and time come in any order: a name that was let run and not settled as not run
// is never let run again.
func TestLedgerRunsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := &Ledger{MaxBytes: int64(rapid.IntRange(1, 6).Draw(rt, "room")) * entryOverhead}
		now := start
		ran, running := map[string]bool{}, map[string]bool{}
		name := func(rt *rapid.T) string { return fmt.Sprint(rapid.IntRange(0, 5).Draw(rt, "name")) }
		// A name's end is part of its identity: a ticket is signed with it, a key carries the time it follows from.
		until := map[string]time.Duration{}
		for i := range 6 {
			until[fmt.Sprint(i)] = time.Duration(rapid.IntRange(1, 20).Draw(rt, "until")) * time.Second
		}
		rt.Repeat(map[string]func(*rapid.T){
			"claim": func(rt *rapid.T) {
				id := name(rt)
				if l.Claim(now, claimOf(id, until[id])).Run {
					require.False(rt, ran[id], "%s runs twice", id)
					ran[id], running[id] = true, true
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
					ran[id], running[id] = false, false
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
	t.Run("a ticket is read back as it was signed", func(t *testing.T) {
		got, err := signer.Verify(text)
		require.NoError(t, err)
		assert.Equal(t, ticket.Owner, got.Owner)
		assert.True(t, ticket.Expires.Equal(got.Expires))
	})
	t.Run("another fleet's ticket is refused", func(t *testing.T) {
		_, err := NewSigner([]byte("another secret")).Verify(text)
		assert.Error(t, err)
	})
	t.Run("a changed ticket is refused", func(t *testing.T) {
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
		if minted, err := ParseKey(s); err == nil {
			assert.False(t, minted.IsZero())
		}
	})
}
