package rillreach

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func validRow() Row {
	return Row{
		Format: RowFormat, Account: "kigali", Model: "m", Version: "v1", Weights: Weights{Old: 30, New: 70}, Objective: ObjectiveFirstToken,
	}
}

func TestRowCheck(t *testing.T) {
	require.NoError(t, validRow().Check())
	for name, invalidate := range map[string]func(*Row){
		"an unsupported format":          func(r *Row) { r.Format = 2 },
		"no account":                     func(r *Row) { r.Account = "" },
		"an account with a slash":        func(r *Row) { r.Account = "a/b" },
		"weights that do not add up":     func(r *Row) { r.Weights.Old = 31 },
		"a negative weight":              func(r *Row) { r.Weights = Weights{Old: -1, New: 101} },
		"a negative limit":               func(r *Row) { r.Limits.ConcurrentRequests = -1 },
		"an unknown objective":           func(r *Row) { r.Objective = "cheap" },
		"a credential that is too short": func(r *Row) { r.Credentials = []Credential{{Salt: []byte{1}}} },
	} {
		t.Run(name+" is rejected", func(t *testing.T) {
			row := validRow()
			invalidate(&row)
			assert.Error(t, row.Check())
		})
	}
	t.Run("an unknown field is rejected", func(t *testing.T) {
		_, err := DecodeRow([]byte(`{"format":1,"colour":"red"}`))
		assert.Error(t, err)
	})
}

func TestAPIKey(t *testing.T) {
	key, credential, err := NewAPIKey("kigali")
	require.NoError(t, err)
	account, secret, ok := ParseAPIKey(key)
	require.True(t, ok)
	assert.Equal(t, AccountID("kigali"), account)
	assert.True(t, credential.Matches(secret))
	assert.False(t, credential.Matches(secret+"x"))
	assert.False(t, MatchAny(nil, secret))
}

func TestDoneCallsFunctionsOnceInReverseOrder(t *testing.T) {
	var order []int
	x := &Exchange{}
	x.OnDone(func() { order = append(order, 1) })
	x.OnDone(func() { order = append(order, 2) })
	x.Done()
	x.Done()
	assert.Equal(t, []int{2, 1}, order)
}

// A request that may have run must not be retried at another backend server, whatever the reason. The status of a
// refusal must be an HTTP error status.
func TestNoRetryElsewhereIfRequestMayHaveRun(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		reason := Reason(rapid.SampledFrom([]string{"overload", "leaving", "no-backend", "deadline", "bad-request", "cut", "limit"}).Draw(rt, "reason"))
		require.False(rt, MayHaveRun(reason, "").CanRetryElsewhere())
		require.GreaterOrEqual(rt, NotRun(reason, "").HTTPStatus(), 400)
	})
}

func FuzzDecodeRow(f *testing.F) {
	data, err := json.Marshal(validRow())
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if row, err := DecodeRow(data); err == nil {
			assert.NoError(t, row.Check())
		}
	})
}

func FuzzParseAPIKey(f *testing.F) {
	f.Add("rr-kigali~secret")
	f.Add("rr-~")
	f.Fuzz(func(t *testing.T, key string) {
		if account, secret, ok := ParseAPIKey(key); ok {
			assert.NotEmpty(t, account)
			assert.NotEmpty(t, secret)
		}
	})
}
