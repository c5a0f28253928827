package once

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rillreach/rillreach"
)

const (
	lead    = 30 * time.Second
	service = rillreach.ServiceID("receipts")
)

var start = time.Unix(1_700_000_000, 0).UTC()

func epochObject(t require.TestingT, number uint64, recorded, from time.Time, owners ...string) rillreach.Object {
	e := Epoch{Service: service, Number: number, From: from}
	for _, o := range owners {
		e.Owners = append(e.Owners, Owner{ID: rillreach.InstanceID(o), Incarnation: rillreach.Incarnation(o)})
	}
	value, err := json.Marshal(e)
	require.NoError(t, err)
	return rillreach.Object{Kind: rillreach.KindOwners, Name: fmt.Sprint(number), Version: number, Changed: recorded, Value: value}
}

func assertOwner(t *testing.T, o *OwnerView, createdAt time.Time, owner string, verdict Verdict) {
	t.Helper()
	found, got := o.FindOwner(service, createdAt, 7)
	assert.Equal(t, verdict, got)
	assert.Equal(t, owner, string(found.ID))
}

func TestOwnerView(t *testing.T) {
	o := &OwnerView{LeadTime: lead}
	require.NoError(t, o.Apply(epochObject(t, 1, start, start.Add(lead), "a")))
	require.NoError(t, o.Apply(epochObject(t, 2, start.Add(time.Minute), start.Add(2*time.Minute), "b")))
	o.Confirm(start.Add(3 * time.Minute))

	t.Run("a key belongs to the owner in effect at its timestamp", func(t *testing.T) {
		assertOwner(t, o, start.Add(time.Minute), "a", VerdictOwned)
		assertOwner(t, o, start.Add(2*time.Minute), "b", VerdictOwned)
	})
	t.Run("a key older than the first epoch has no owner", func(t *testing.T) {
		assertOwner(t, o, start, "", VerdictKeyTooOld)
	})
	t.Run("the owner of a key beyond the confirmed time plus the lead time is unknown", func(t *testing.T) {
		assertOwner(t, o, start.Add(3*time.Minute+lead), "b", VerdictOwned)
		assertOwner(t, o, start.Add(3*time.Minute+lead+1), "", VerdictViewTooOld)
	})
	t.Run("an epoch recorded too late is invalid", func(t *testing.T) {
		late := &OwnerView{LeadTime: lead}
		require.Error(t, late.Apply(epochObject(t, 1, start.Add(1), start.Add(lead), "a")))
		late.Confirm(start.Add(time.Hour))
		assertOwner(t, late, start.Add(time.Minute), "", VerdictNoOwner)
	})
	t.Run("epochs without recent keys are superseded", func(t *testing.T) {
		assert.Equal(t, []uint64{1}, o.SupersededEpochs(service, start.Add(3*time.Minute)))
		assert.Empty(t, o.SupersededEpochs(service, start.Add(2*time.Minute)))
	})
}

// TestOwnerViewsAgree records random epochs, some of them too late, and gives two processes views that are confirmed up
// to different times. If both find an owner of a key, it must be the same one.
func TestOwnerViewsAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		second := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 300).Draw(rt, name)) * time.Second
		}
		var recorded []rillreach.Object
		at := start
		for i := range rapid.IntRange(0, 8).Draw(rt, "epochs") {
			at = at.Add(second("gap"))
			from := at.Add(second("leadTime"))
			recorded = append(recorded, epochObject(rt, uint64(i+1), at, from, fmt.Sprint("x", i), fmt.Sprint("y", i)))
		}
		viewWith := func(name string) *OwnerView {
			known := start.Add(6 * second(name))
			o := &OwnerView{LeadTime: lead}
			for _, object := range recorded {
				if !object.Changed.After(known) {
					_ = o.Apply(object)
				}
			}
			o.Confirm(known)
			return o
		}
		first, other := viewWith("first"), viewWith("other")
		createdAt, key := start.Add(8*second("createdAt")), rapid.Uint64().Draw(rt, "key")
		a, verdictA := first.FindOwner(service, createdAt, key)
		b, verdictB := other.FindOwner(service, createdAt, key)
		if verdictA == VerdictOwned && verdictB == VerdictOwned {
			require.Equal(rt, a, b)
		}
	})
}
