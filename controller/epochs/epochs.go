// Package epochs records a new epoch of key owners of a plain service when the service's agents change.
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
	// DefaultInterval is the default time between two comparisons of the owners with the members.
	DefaultInterval = 500 * time.Millisecond
	// recordingMargin is added to the lead time of an epoch, because recording it takes time.
	recordingMargin = 2 * time.Second
)

// Controller records a new epoch when the agents of its service have changed. All agents of the service run it. Each
// waits one interval for every agent of a higher rank, so that usually only one of them writes.
type Controller struct {
	// Self is this agent.
	Self rillreach.Instance
	// Store is the platform's object API.
	Store rillreach.ObjectStore
	// Owners are the recorded epochs, and Members the known instances.
	Owners  *once.OwnerView
	Members *membership.Members
	// Clock is the source of the current time.
	Clock rillreach.Clock
	// Log receives a line for each recorded epoch and each failure.
	Log logr.Logger
	// KeyTTL is how long a key can be used after its creation.
	KeyTTL time.Duration
	// Interval is the time between two comparisons; zero means the default.
	Interval time.Duration

	// mismatches is the number of consecutive comparisons that found a difference.
	mismatches int
}

// Name returns the controller's name.
func (c *Controller) Name() string { return "epochs" }

// Run compares owners and members until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	if c.Interval == 0 {
		c.Interval = DefaultInterval
	}
	pause.Every(ctx, c.Interval, c.reconcile)
	return nil
}

func (c *Controller) reconcile(ctx context.Context) {
	desired := c.desiredOwners()
	_, newest := c.Owners.NewestEpoch(c.Self.Service)
	if len(desired) == 0 || slices.Equal(desired, newest.Owners) {
		c.mismatches = 0
		c.deleteSuperseded(ctx, desired)
		return
	}
	c.mismatches++
	if c.mismatches <= c.rank(desired) {
		return
	}
	c.mismatches = 0
	if err := c.propose(ctx, desired); err != nil {
		c.Log.Info("epoch of owners not recorded", "service", c.Self.Service, "cause", err.Error())
	}
}

// desiredOwners returns the owners of the next epoch: the service's agents that are not leaving. Unreachable agents
// remain owners, because only the platform's list shows that an agent is gone.
func (c *Controller) desiredOwners() []once.Owner {
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

// rank returns the number of agents that propose before this one. The order is different for each service.
func (c *Controller) rank(desired []once.Owner) int {
	weight := func(id rillreach.InstanceID) uint64 {
		return hash.Mix(hash.String(string(c.Self.Service)), hash.String(string(id)))
	}
	higher := 0
	for _, o := range desired {
		if weight(o.ID) > weight(c.Self.ID) {
			higher++
		}
	}
	return higher
}

// propose records the next epoch. It lists the epochs first to get the latest number and the platform's time.
func (c *Controller) propose(ctx context.Context, desired []once.Owner) error {
	page, err := c.Store.List(ctx, rillreach.KindOwners)
	if err != nil {
		return err
	}
	latest := latestEpoch(page.Objects, c.Self.Service)
	if slices.Equal(latest.Owners, desired) {
		return nil
	}
	e := once.Epoch{
		Service: c.Self.Service,
		Number:  latest.Number + 1,
		From:    page.Time.Add(c.Owners.LeadTime + recordingMargin),
		Owners:  desired,
	}
	if !e.From.After(latest.From) {
		e.From = latest.From.Add(time.Millisecond)
	}
	value, err := json.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode epoch")
	}
	if _, err := c.Store.Put(ctx, rillreach.KindOwners, objectName(e.Service, e.Number), 0, value); err != nil {
		return err
	}
	c.Log.Info("epoch of owners", "decision", "recorded", "service", e.Service, "number", e.Number, "from", e.From, "owners", len(desired))
	return nil
}

// deleteSuperseded deletes the epochs that contain no usable keys any more. Only the agent with the highest rank does
// this.
func (c *Controller) deleteSuperseded(ctx context.Context, desired []once.Owner) {
	if c.rank(desired) > 0 {
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

func latestEpoch(objects []rillreach.Object, service rillreach.ServiceID) once.Epoch {
	var latest once.Epoch
	for _, o := range objects {
		e, err := once.DecodeEpoch(o.Value)
		if err == nil && e.Service == service && e.Number > latest.Number {
			latest = e
		}
	}
	return latest
}

func objectName(service rillreach.ServiceID, number uint64) string {
	return string(service) + "/" + strconv.FormatUint(number, 10)
}
