// Package lease renews an entry's leases on rows' limits, and grants leases on the parts that the entry owns.
package lease

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/internal/hash"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/limit"
	"github.com/rillreach/rillreach/membership"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/table"
)

const (
	shardCount     = 16
	requestTimeout = 500 * time.Millisecond
	// minRefreshInterval is the minimum time between two renewals of a row's leases outside the regular interval.
	minRefreshInterval = 500 * time.Millisecond
)

// Controller holds the leases of one entry and the parts that it owns.
type Controller struct {
	// Self is this entry.
	Self rillreach.Instance
	// Members are the known instances, and Table holds the rows.
	Members *membership.Members
	Table   *table.Table
	// Pool connects to the other entries.
	Pool *peer.Pool
	// Clock is the source of the current time.
	Clock rillreach.Clock
	// Log receives failures to renew leases.
	Log logr.Logger

	shards [shardCount]limiterShard
	owned  ownedParts
}

type limiterShard struct {
	mu   sync.Mutex
	rows map[string]*rowLimiter
}

type rowLimiter struct {
	limit.Limiter
	row rillreach.Row
	// refreshedAt is when the leases were last renewed outside the regular interval.
	refreshedAt time.Time
}

// Name returns the controller's name.
func (c *Controller) Name() string { return "lease" }

// Register registers the handler of lease requests from other entries.
func (c *Controller) Register(mux *peer.Mux) {
	peer.HandleUnary(mux, peer.MethodLease, c.handleLease)
}

// Run renews the leases until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	c.pruneOwned()
	pause.Every(ctx, limit.RenewInterval, func(ctx context.Context) {
		c.renew(ctx, c.activeRows())
		c.pruneOwned()
	})
	return nil
}

// Admit decides on a request of a row. If it is admitted, the caller must call the returned function when the request
// ends. Before Admit rejects a request, it renews the row's leases, unless it did so within minRefreshInterval.
func (c *Controller) Admit(ctx context.Context, row rillreach.Row, tokens int) (limit.Verdict, func()) {
	if _, limited := limit.AmountsOf(row.Limits); limited == [len(limited)]bool{} {
		return limit.Verdict{OK: true}, func() {}
	}
	name := row.Name()
	verdict, refresh := c.tryAdmit(name, row, tokens)
	if !verdict.OK && refresh {
		c.renew(ctx, []string{name})
		verdict, _ = c.tryAdmit(name, row, tokens)
	}
	if !verdict.OK {
		return verdict, nil
	}
	return verdict, func() { c.withLimiter(name, func(limiter *rowLimiter) { limiter.Done() }) }
}

// tryAdmit decides within the current leases, and reports whether the leases should be renewed before a rejection.
func (c *Controller) tryAdmit(name string, row rillreach.Row, tokens int) (limit.Verdict, bool) {
	shard := c.shardOf(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	limiter := shard.get(name)
	c.setRow(limiter, row)
	now := c.Clock.Now()
	verdict := limiter.Admit(now, float64(tokens))
	if verdict.OK || now.Sub(limiter.refreshedAt) < minRefreshInterval {
		return verdict, false
	}
	limiter.refreshedAt = now
	return verdict, true
}

// setRow updates the limiter's row and its share of the static part if the limits have changed.
func (c *Controller) setRow(limiter *rowLimiter, row rillreach.Row) {
	if limiter.row.Limits == row.Limits && limiter.row.Account != "" {
		return
	}
	limiter.row = row
	capacity, limited := limit.AmountsOf(row.Limits)
	limiter.SetMetrics(limited)
	rank, entries := c.rank(row.Name())
	limiter.SetLease(c.Clock.Now(), limit.PartStatic, limit.StaticShare(limit.Split(capacity)[limit.PartStatic], rank, entries), time.Time{})
}

func (c *Controller) shardOf(name string) *limiterShard {
	return &c.shards[hash.String(name)%shardCount]
}

func (c *Controller) withLimiter(name string, do func(*rowLimiter)) {
	shard := c.shardOf(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if limiter := shard.rows[name]; limiter != nil {
		do(limiter)
	}
}

func (s *limiterShard) get(name string) *rowLimiter {
	if s.rows == nil {
		s.rows = map[string]*rowLimiter{}
	}
	limiter := s.rows[name]
	if limiter == nil {
		limiter = &rowLimiter{}
		s.rows[name] = limiter
	}
	return limiter
}

// activeRows returns the names of the rows in use, and removes the limiters of idle ones.
func (c *Controller) activeRows() []string {
	var names []string
	for i := range c.shards {
		shard := &c.shards[i]
		shard.mu.Lock()
		for name, limiter := range shard.rows {
			if limiter.Idle() {
				delete(shard.rows, name)
				continue
			}
			names = append(names, name)
		}
		shard.mu.Unlock()
	}
	return names
}

// renew requests leases on the rows, with one request to each owner.
func (c *Controller) renew(ctx context.Context, names []string) {
	requests := map[rillreach.InstanceID]*fleet.LeaseRequest{}
	for _, name := range names {
		owners := c.owners(name)
		var demand limit.Amounts
		c.withLimiter(name, func(limiter *rowLimiter) { demand = limiter.Demand(c.Clock.Now()) })
		for part, owner := range owners {
			if requests[owner] == nil {
				requests[owner] = &fleet.LeaseRequest{}
			}
			requests[owner].Rows = append(requests[owner].Rows, fleet.RowDemand{Row: name, Part: limit.Part(part), Demand: demand})
		}
	}
	var wg conc.WaitGroup
	for owner, req := range requests {
		wg.Go(func() { c.requestLeases(ctx, owner, *req) })
	}
	wg.Wait()
}

// requestLeases requests leases from one owner. A lease's TTL starts before the request is sent, so that the lease
// expires here before it expires at the owner.
func (c *Controller) requestLeases(ctx context.Context, owner rillreach.InstanceID, req fleet.LeaseRequest) {
	sentAt := c.Clock.Now()
	resp, err := c.callOwner(ctx, owner, req)
	if err != nil || len(resp.Granted) != len(req.Rows) {
		c.Log.V(1).Info("leases not renewed", "owner", owner, "cause", err)
		return
	}
	for i, demand := range req.Rows {
		c.withLimiter(demand.Row, func(limiter *rowLimiter) {
			limiter.SetLease(c.Clock.Now(), demand.Part, resp.Granted[i], sentAt.Add(limit.LeaseTTL))
		})
	}
}

func (c *Controller) callOwner(ctx context.Context, owner rillreach.InstanceID, req fleet.LeaseRequest) (fleet.LeaseResponse, error) {
	if owner == c.Self.ID {
		return c.grantAll(c.Self.ID, req), nil
	}
	m := c.Members.Find(owner)
	if m == nil {
		return fleet.LeaseResponse{}, errors.Newf("owner %s is not a known member", owner)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	conn, err := c.Pool.Get(ctx, m.Address)
	if err != nil {
		return fleet.LeaseResponse{}, err
	}
	return peer.Invoke[fleet.LeaseRequest, fleet.LeaseResponse](ctx, conn, peer.MethodLease, req)
}

func (c *Controller) handleLease(_ context.Context, from *peer.Conn, req fleet.LeaseRequest) (fleet.LeaseResponse, error) {
	if from.Peer.Role != rillreach.RoleEntry {
		return fleet.LeaseResponse{}, rillreach.NotRun(rillreach.ReasonUnauthorized, "only entries have leases")
	}
	return c.grantAll(from.Peer.ID, req), nil
}
