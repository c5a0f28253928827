package controller

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc/pool"

	"github.com/rillreach/rillreach"
)

// Run runs all controllers until the context ends or one of them fails. A failure cancels the others, and Run returns
// the first one.
func Run(ctx context.Context, log logr.Logger, controllers ...rillreach.Controller) error {
	group := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	for _, c := range controllers {
		group.Go(func(ctx context.Context) error { return runOne(ctx, log, c) })
	}
	return group.Wait()
}

func runOne(ctx context.Context, log logr.Logger, c rillreach.Controller) error {
	log.V(1).Info("controller started", "controller", c.Name())
	if err := c.Run(ctx); err != nil && ctx.Err() == nil {
		return errors.Wrapf(err, "run controller %s", c.Name())
	}
	return nil
}
