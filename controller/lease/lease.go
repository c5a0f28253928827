// Package lease keeps an entry's leases on rows' limits, and its books for those that it owns.
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
	shardCount = 16
	askTimeout = 500 * time.Millisecond
	// askGap is the least time between two askings out of turn for a row.
	askGap = 500 * time.Millisecond
)

// Controller holds the shares of one entry and the books of what it owns.
type Controller struct {
	// Self is this entry.
	Self rillreach.Instance
	// Members are the known instances, Table the rows.
	Members *membership.Members
	Table   *table.Table
	// Pool connects to the other entries.
	Pool *peer.Pool
	// Clock tells the time.
	Clock rillreach.Clock
	// Log takes what goes wrong.
	Log logr.Logger

	shares [shardCount]shareShard
	books  books
}

type shareShard struct {
	mu   sync.Mutex
	rows map[string]*rowShare
}

type rowShare struct {
	limit.Limiter
	row rillreach.Row
	// asked is when the owners were last asked out of turn.
	asked time.Time
}

// Name is the controller's name.
func (c *Controller) Name() string { return "lease" }

// Register sets the handler for what entries ask of this one as an owner.
func (c *Controller) Register(mux *peer.Mux) {
	peer.HandleUnary(mux, peer.MethodLease, c.answer)
}

// Run renews the leases until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	c.tidy()
	pause.Every(ctx, limit.RenewInterval, func(ctx context.Context) {
		c.renew(ctx, c.inUse())
		c.tidy()
	})
	return nil
}

// Admit decides on a request of a row, and returns what has to be called when the request has ended. A request that
// there is no room for waits, briefly, for the owners to be asked again, unless that was done a moment ago.
func (c *Controller) Admit(ctx context.Context, row rillreach.Row, tokens int) (limit.Verdict, func()) {
	if _, set := limit.AmountsOf(row.Limits); set == [len(set)]bool{} {
		return limit.Verdict{OK: true}, func() {}
	}
	name := row.Name()
	v, askAgain := c.tryAdmit(name, row, tokens)
	if !v.OK && askAgain {
		c.renew(ctx, []string{name})
		v, _ = c.tryAdmit(name, row, tokens)
	}
	if !v.OK {
		return v, nil
	}
	return v, func() { c.with(name, func(s *rowShare) { s.Done() }) }
}

// tryAdmit decides by what is held, and says whether a refusal calls for asking the owners out of turn.
func (c *Controller) tryAdmit(name string, row rillreach.Row, tokens int) (limit.Verdict, bool) {
	shard := c.shardOf(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	s := shard.share(name)
	c.setRow(s, row)
	now := c.Clock.Now()
	v := s.Admit(now, float64(tokens))
	if v.OK || now.Sub(s.asked) < askGap {
		return v, false
	}
	s.asked = now
	return v, true
}

// setRow takes in a row's limits, and the entry's part of what needs no owner.
func (c *Controller) setRow(s *rowShare, row rillreach.Row) {
	if s.row.Limits == row.Limits && s.row.Account != "" {
		return
	}
	s.row = row
	caps, set := limit.AmountsOf(row.Limits)
	s.SetMetrics(set)
	rank, entries := c.rank(row.Name())
	s.SetLease(c.Clock.Now(), limit.PartStatic, limit.StaticShare(limit.Split(caps)[limit.PartStatic], rank, entries), time.Time{})
}

func (c *Controller) shardOf(name string) *shareShard {
	return &c.shares[hash.String(name)%shardCount]
}

func (c *Controller) with(name string, do func(*rowShare)) {
	shard := c.shardOf(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if s := shard.rows[name]; s != nil {
		do(s)
	}
}

func (s *shareShard) share(name string) *rowShare {
	if s.rows == nil {
		s.rows = map[string]*rowShare{}
	}
	share := s.rows[name]
	if share == nil {
		share = &rowShare{}
		s.rows[name] = share
	}
	return share
}

// inUse returns the rows that are in use, and forgets the others.
func (c *Controller) inUse() []string {
	var names []string
	for i := range c.shares {
		shard := &c.shares[i]
		shard.mu.Lock()
		for name, s := range shard.rows {
			if s.Idle() {
				delete(shard.rows, name)
				continue
			}
			names = append(names, name)
		}
		shard.mu.Unlock()
	}
	return names
}

// renew asks the owners of rows for leases, each owner once.
func (c *Controller) renew(ctx context.Context, names []string) {
	asks := map[rillreach.InstanceID]*fleet.LeaseRequest{}
	for _, name := range names {
		owners := c.owners(name)
		var demand limit.Amounts
		c.with(name, func(s *rowShare) { demand = s.Demand(c.Clock.Now()) })
		for part, owner := range owners {
			if asks[owner] == nil {
				asks[owner] = &fleet.LeaseRequest{}
			}
			asks[owner].Rows = append(asks[owner].Rows, fleet.RowDemand{Row: name, Part: limit.Part(part), Demand: demand})
		}
	}
	var wg conc.WaitGroup
	for owner, ask := range asks {
		wg.Go(func() { c.ask(ctx, owner, *ask) })
	}
	wg.Wait()
}

// ask asks one owner. A lease's time runs from before the asking, so that it ends here before it ends at the owner.
func (c *Controller) ask(ctx context.Context, owner rillreach.InstanceID, ask fleet.LeaseRequest) {
	asked := c.Clock.Now()
	leases, err := c.askOwner(ctx, owner, ask)
	if err != nil || len(leases.Granted) != len(ask.Rows) {
		c.Log.V(1).Info("no leases", "owner", owner, "cause", err)
		return
	}
	for i, r := range ask.Rows {
		c.with(r.Row, func(s *rowShare) { s.SetLease(c.Clock.Now(), r.Part, leases.Granted[i], asked.Add(limit.LeaseTTL)) })
	}
}

func (c *Controller) askOwner(ctx context.Context, owner rillreach.InstanceID, ask fleet.LeaseRequest) (fleet.LeaseResponse, error) {
	if owner == c.Self.ID {
		return c.grantAll(c.Self.ID, ask), nil
	}
	m := c.Members.Find(owner)
	if m == nil {
		return fleet.LeaseResponse{}, errors.Newf("owner %s is not known", owner)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	conn, err := c.Pool.Get(ctx, m.Address)
	if err != nil {
		return fleet.LeaseResponse{}, err
	}
	return peer.Invoke[fleet.LeaseRequest, fleet.LeaseResponse](ctx, conn, peer.MethodLease, ask)
}

func (c *Controller) answer(_ context.Context, from *peer.Conn, ask fleet.LeaseRequest) (fleet.LeaseResponse, error) {
	if from.Peer.Role != rillreach.RoleEntry {
		return fleet.LeaseResponse{}, rillreach.NotRun(rillreach.ReasonUnauthorized, "only entries have leases")
	}
	return c.grantAll(from.Peer.ID, ask), nil
}
