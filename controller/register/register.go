// Package register keeps a process's own record in the platform's list of instances.
package register

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/pause"
)

const (
	retryEvery = time.Second
	lastCall   = 2 * time.Second
)

// Controller registers one instance.
type Controller struct {
	// Self is the instance as it is to be listed.
	Self rillreach.Instance
	// Store is the platform's object API.
	Store rillreach.ObjectStore
	// Log takes what goes wrong.
	Log logr.Logger
	// OnSuperseded is called once a later incarnation is found in this instance's place; it may be nil.
	OnSuperseded func()
}

// Name is the controller's name.
func (c *Controller) Name() string { return "register" }

// Run registers the instance, tries again for as long as the platform does not take it, and then waits.
func (c *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := c.put(ctx, c.Self)
		if err == nil {
			c.Log.Info("registered", "instance", c.Self.ID, "incarnation", c.Self.Incarnation)
			break
		}
		if errors.Is(err, errSuperseded) {
			c.Log.Info("a later incarnation has this place", "instance", c.Self.ID)
			if c.OnSuperseded != nil {
				c.OnSuperseded()
			}
			break
		}
		c.Log.V(1).Info("not registered yet", "cause", err.Error())
		pause.For(ctx, retryEvery/2+rand.N(retryEvery))
	}
	<-ctx.Done()
	return nil
}

// MarkLeaving records that the instance leaves; it does not depend on Run.
func (c *Controller) MarkLeaving(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, lastCall)
	defer cancel()
	leaving := c.Self
	leaving.Leaving = true
	return c.put(ctx, leaving)
}

// Remove takes the instance's record away if it is still this incarnation's.
func (c *Controller) Remove(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, lastCall)
	defer cancel()
	object, err := c.Store.Get(ctx, rillreach.KindInstance, string(c.Self.ID))
	if err != nil {
		return err
	}
	if listed, err := rillreach.DecodeInstance(object.Value); err == nil && listed.Incarnation != c.Self.Incarnation {
		return errSuperseded
	}
	return c.Store.Delete(ctx, rillreach.KindInstance, string(c.Self.ID), object.Version)
}

var errSuperseded = errors.New("a later incarnation is registered")

func (c *Controller) put(ctx context.Context, self rillreach.Instance) error {
	version, err := c.versionToReplace(ctx)
	if err != nil {
		return err
	}
	value, err := json.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "encode instance")
	}
	_, err = c.Store.Put(ctx, rillreach.KindInstance, string(self.ID), version, value)
	return err
}

func (c *Controller) versionToReplace(ctx context.Context) (uint64, error) {
	object, err := c.Store.Get(ctx, rillreach.KindInstance, string(c.Self.ID))
	if errors.Is(err, rillreach.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	listed, err := rillreach.DecodeInstance(object.Value)
	if err == nil && listed.Incarnation > c.Self.Incarnation {
		return 0, errSuperseded
	}
	return object.Version, nil
}
