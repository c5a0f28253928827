// Package epochs keeps the epochs of key owners of one plain service in step with the agents beside it.
package epochs

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/hash"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/membership"
	"github.com/rillreach/rillreach/once"
)

const (
	// DefaultInterval is how often the owners are compared with the members.
	DefaultInterval = 500 * time.Millisecond
	// margin is how much later than it must an epoch comes into force, for the time its recording takes.
	margin = 2 * time.Second
)

// Controller proposes a new epoch when the agents of its service have changed. All agents of the service run it; each
// waits for those before it by rank, so that as a rule one of them writes.
type Controller struct {
	// Self is this agent.
	Self rillreach.Instance
	// Store is the platform's object API.
	Store rillreach.ObjectStore
	// Owners and Members are what the process knows.
	Owners  *once.OwnerView
	Members *membership.Members
	// Clock tells the time.
	Clock rillreach.Clock
	// Log takes a line for each epoch.
	Log logr.Logger
	// KeyTTL is how long a key may be used after its minting.
	KeyTTL time.Duration
	// Interval is how often to compare; zero means the default.
	Interval time.Duration

	differing int
}

// Name is the controller's name.
func (c *Controller) Name() string { return "epochs" }

// Run compares and proposes until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	if c.Interval == 0 {
		c.Interval = DefaultInterval
	}
	pause.Every(ctx, c.Interval, c.round)
	return nil
}

func (c *Controller) round(ctx context.Context) {
	wanted := c.wanted()
	_, newest := c.Owners.NewestEpoch(c.Self.Service)
	if len(wanted) == 0 || slices.Equal(wanted, newest.Owners) {
		c.differing = 0
		c.tidy(ctx, wanted)
		return
	}
	c.differing++
	if c.differing <= c.rank(wanted) {
		return
	}
	c.differing = 0
	if err := c.propose(ctx, wanted); err != nil {
		c.Log.Info("epoch of owners not recorded", "service", c.Self.Service, "cause", err.Error())
	}
}

// wanted are the owners that the members call for: the agents beside the service that are not leaving. An agent out of
// reach stays, since only the platform's list says that it is gone.
func (c *Controller) wanted() []once.Owner {
	var owners []once.Owner
	for _, side := range []rillreach.Side{rillreach.SideNew, rillreach.SideOld} {
		for _, m := range c.Members.Group(membership.Group{Role: rillreach.RoleAgent, Side: side, Service: c.Self.Service}) {
			if !m.IsLeaving() {
				owners = append(owners, once.Owner{ID: m.ID, Incarnation: m.Incarnation})
			}
		}
	}
	slices.SortFunc(owners, func(a, b once.Owner) int { return strings.Compare(string(a.Incarnation), string(b.Incarnation)) })
	return owners
}

// rank is how many agents are before this one in proposing; the order differs from service to service.
func (c *Controller) rank(wanted []once.Owner) int {
	weight := func(id rillreach.InstanceID) uint64 {
		return hash.Mix(hash.String(string(c.Self.Service)), hash.String(string(id)))
	}
	before := 0
	for _, o := range wanted {
		if weight(o.ID) > weight(c.Self.ID) {
			before++
		}
	}
	return before
}

// propose records the next epoch. It reads the platform first, for the last number and the platform's own time.
func (c *Controller) propose(ctx context.Context, wanted []once.Owner) error {
	page, err := c.Store.List(ctx, rillreach.KindOwners)
	if err != nil {
		return err
	}
	last := lastOf(page.Objects, c.Self.Service)
	if slices.Equal(last.Owners, wanted) {
		return nil
	}
	e := once.Epoch{
		Service: c.Self.Service,
		Number:  last.Number + 1,
		From:    page.Time.Add(c.Owners.LeadTime + margin),
		Owners:  wanted,
	}
	if !e.From.After(last.From) {
		e.From = last.From.Add(time.Millisecond)
	}
	value, err := json.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode epoch")
	}
	if _, err := c.Store.Put(ctx, rillreach.KindOwners, objectName(e.Service, e.Number), 0, value); err != nil {
		return err
	}
	c.Log.Info("epoch of owners", "decision", "recorded", "service", e.Service, "number", e.Number, "from", e.From, "owners", len(wanted))
	return nil
}

// tidy removes, from the first agent by rank, an epoch that no usable key falls into any more.
func (c *Controller) tidy(ctx context.Context, wanted []once.Owner) {
	if c.rank(wanted) > 0 {
		return
	}
	for _, number := range c.Owners.SupersededEpochs(c.Self.Service, c.Clock.Now().Add(-c.KeyTTL)) {
		object, err := c.Store.Get(ctx, rillreach.KindOwners, objectName(c.Self.Service, number))
		if err != nil {
			return
		}
		if err := c.Store.Delete(ctx, rillreach.KindOwners, object.Name, object.Version); err != nil {
			return
		}
	}
}

func lastOf(objects []rillreach.Object, service rillreach.ServiceID) once.Epoch {
	var last once.Epoch
	for _, o := range objects {
		e, err := once.DecodeEpoch(o.Value)
		if err == nil && e.Service == service && e.Number > last.Number {
			last = e
		}
	}
	return last
}

func objectName(service rillreach.ServiceID, number uint64) string {
	return string(service) + "/" + strconv.FormatUint(number, 10)
}
