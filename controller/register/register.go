// Package register maintains a process's record in the platform's list of instances.
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
	retryInterval   = time.Second
	shutdownTimeout = 2 * time.Second
)

// Controller registers one instance.
type Controller struct {
	// Self is the instance to register.
	Self rillreach.Instance
	// Store is the platform's object API.
	Store rillreach.ObjectStore
	// Log receives the registration and its failures.
	Log logr.Logger
	// OnSuperseded is called if a later incarnation of the instance is registered already; it may be nil.
	OnSuperseded func()
}

// Name returns the controller's name.
func (c *Controller) Name() string { return "register" }

// Run registers the instance, retries until that succeeds or a later incarnation is found, and then waits for the end
// of the context.
func (c *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := c.put(ctx, c.Self)
		if err == nil {
			c.Log.Info("registered", "instance", c.Self.ID, "incarnation", c.Self.Incarnation)
			break
		}
		if errors.Is(err, errSuperseded) {
			c.Log.Info("a later incarnation is already registered", "instance", c.Self.ID)
			if c.OnSuperseded != nil {
				c.OnSuperseded()
			}
			break
		}
		c.Log.V(1).Info("registration failed, will retry", "cause", err.Error())
		pause.For(ctx, retryInterval/2+rand.N(retryInterval))
	}
	<-ctx.Done()
	return nil
}

// MarkLeaving records that the instance is leaving. It works whether or not Run is running.
func (c *Controller) MarkLeaving(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	leaving := c.Self
	leaving.Leaving = true
	return c.put(ctx, leaving)
}

// Remove deletes the instance's record unless it belongs to another incarnation.
func (c *Controller) Remove(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
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
