package lease

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/limit"
	"github.com/rillreach/rillreach/membership"
	"github.com/rillreach/rillreach/table"
)

var limitedRow = rillreach.Row{
	Format: rillreach.RowFormat, Account: "kigali", Model: "m", Version: "v", Weights: rillreach.Weights{Old: 100},
	Objective: rillreach.ObjectiveFirstToken, Limits: rillreach.Limits{RequestsPerSecond: 100, ConcurrentRequests: 10},
}

func entryInstance(i int) rillreach.Instance {
	return rillreach.Instance{
		ID: rillreach.InstanceID(fmt.Sprintf("entry-%04d", i)), Role: rillreach.RoleEntry, Incarnation: "1",
		Address: netip.MustParseAddrPort("127.0.0.1:1"),
	}
}

// newController returns the controller of entry number self among the given number of entries, and its clock's time,
// which the test advances.
func newController(tb testing.TB, self, entries int) (*Controller, *time.Time) {
	tb.Helper()
	now := time.Unix(1_700_000_000, 0)
	members := membership.New()
	for i := range entries {
		members.Upsert(entryInstance(i))
	}
	c := &Controller{
		Self: entryInstance(self), Members: members, Table: &table.Table{}, Log: logr.Discard(),
		Clock: rillreach.ClockFunc(func() time.Time { return now }),
	}
	value, err := json.Marshal(limitedRow)
	require.NoError(tb, err)
	c.Table.Apply(rillreach.Object{Name: limitedRow.Name(), Version: 1, Value: value})
	c.pruneOwned()
	return c, &now
}

func leaseRequest(demand float64) fleet.LeaseRequest {
	return fleet.LeaseRequest{Rows: []fleet.RowDemand{{Row: limitedRow.Name(), Part: limit.PartFirst, Demand: limit.Amounts{demand, 0, demand}}}}
}

func TestOwners(t *testing.T) {
	t.Run("all entries agree on the two owners", func(t *testing.T) {
		first, _ := newController(t, 0, 10)
		second, _ := newController(t, 7, 10)
		assert.Equal(t, first.owners(limitedRow.Name()), second.owners(limitedRow.Name()))
		assert.NotEqual(t, first.owners(limitedRow.Name())[0], first.owners(limitedRow.Name())[1])
	})
	t.Run("a leaving entry is replaced as owner, a suspected one is not", func(t *testing.T) {
		c, now := newController(t, 0, 10)
		before := c.owners(limitedRow.Name())
		m := c.Members.Find(before[0])
		m.Suspect(*now)
		assert.Equal(t, before, c.owners(limitedRow.Name()))
		c.Members.MarkLeaving(m.ID, m.Incarnation)
		assert.Equal(t, before[1], c.owners(limitedRow.Name())[0])
	})
	t.Run("an entry grants no lease on a part that it does not own", func(t *testing.T) {
		c, now := newController(t, 0, 1)
		*now = now.Add(limit.LeaseTTL)
		assert.NotZero(t, c.grantAll("entry-0000", leaseRequest(5)).Granted[0])
		c.Members.Upsert(entryInstance(1))
		c.Members.Upsert(entryInstance(2))
		c.Members.MarkLeaving("entry-0000", "1")
		assert.Zero(t, c.grantAll("entry-0000", leaseRequest(5)).Granted[0])
	})
	t.Run("a restarted owner grants nothing until earlier leases have expired", func(t *testing.T) {
		c, now := newController(t, 0, 1)
		*now = now.Add(limit.LeaseTTL)
		require.NotZero(t, c.grantAll("entry-0000", leaseRequest(5)).Granted[0])
		c.Members.Upsert(rillreach.Instance{
			ID: "entry-0000", Role: rillreach.RoleEntry, Incarnation: "2", Address: netip.MustParseAddrPort("127.0.0.1:1"),
		})
		*now = now.Add(demandExpiry)
		c.pruneOwned()
		assert.Zero(t, c.grantAll("entry-0000", leaseRequest(5)).Granted[0])
		*now = now.Add(limit.LeaseTTL)
		assert.NotZero(t, c.grantAll("entry-0000", leaseRequest(5)).Granted[0])
	})
	t.Run("a lowered limit is in force within the TTL of a lease", func(t *testing.T) {
		c, now := newController(t, 0, 1)
		*now = now.Add(limit.LeaseTTL)
		before := c.grantAll("entry-0000", leaseRequest(50)).Granted[0][limit.RequestsPerSecond]
		lower := limitedRow
		lower.Limits.RequestsPerSecond = 10
		value, err := json.Marshal(lower)
		require.NoError(t, err)
		c.Table.Apply(rillreach.Object{Name: lower.Name(), Version: 2, Value: value})
		after := c.grantAll("entry-0000", leaseRequest(50)).Granted[0][limit.RequestsPerSecond]
		assert.Less(t, after, before/4)
		assert.LessOrEqual(t, limit.LeaseTTL, 8*time.Second)
	})
}

// demandExpiry is longer than the time after which an owner discards an entry's demand.
const demandExpiry = 3 * limit.LeaseTTL

func TestAdmitWithoutLimits(t *testing.T) {
	c, _ := newController(t, 0, 1)
	unlimited := limitedRow
	unlimited.Limits = rillreach.Limits{}
	verdict, done := c.Admit(context.Background(), unlimited, 1000)
	assert.True(t, verdict.OK)
	done()
}

// BenchmarkOwners measures the computation of a row's owners, which every renewal does for each row.
func BenchmarkOwners(b *testing.B) {
	for _, entries := range []int{10, 100, 830} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			c, _ := newController(b, 0, entries)
			b.ReportAllocs()
			for b.Loop() {
				c.owners(limitedRow.Name())
			}
		})
	}
}
