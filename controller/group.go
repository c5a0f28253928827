package controller

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/pause"
)

// stopTimeout bounds the wait for controllers once their context has ended. The process serves nobody any more and is
// about to exit.
const stopTimeout = 200 * time.Millisecond

// Run runs all controllers until the context ends or one of them fails. A failure cancels the others, and Run returns
// the first one. Controllers that do not return within stopTimeout after that are logged and left behind.
func Run(ctx context.Context, log logr.Logger, controllers ...rillreach.Controller) error {
	g := &group{log: log, running: map[string]bool{}}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	for _, c := range controllers {
		wg.Go(func() {
			g.runOne(ctx, c)
			if g.failure() != nil {
				cancel()
			}
		})
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		wg.Wait()
	}()
	select {
	case <-ended:
	case <-ctx.Done():
		g.awaitStop(ended)
	}
	return g.failure()
}

// group is a set of running controllers.
type group struct {
	log logr.Logger

	mu      sync.Mutex
	running map[string]bool
	// firstErr is the failure of the controller that failed first.
	firstErr error
}

// awaitStop waits until all controllers have ended, for at most stopTimeout.
func (g *group) awaitStop(ended <-chan struct{}) {
	if !pause.AtMost(stopTimeout, func() { <-ended }) {
		g.log.Info("controllers have not stopped in time", "decision", "leave-behind", "controllers", g.runningNames())
	}
}

func (g *group) runOne(ctx context.Context, c rillreach.Controller) {
	g.log.V(1).Info("controller started", "controller", c.Name())
	g.setRunning(c.Name(), true)
	defer g.setRunning(c.Name(), false)
	if err := c.Run(ctx); err != nil && ctx.Err() == nil {
		g.recordFailure(errors.Wrapf(err, "run controller %s", c.Name()))
	}
}

func (g *group) recordFailure(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.firstErr == nil {
		g.firstErr = err
	}
}

// failure returns the first failure, or nil.
func (g *group) failure() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.firstErr
}

func (g *group) setRunning(name string, running bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if running {
		g.running[name] = true
		return
	}
	delete(g.running, name)
}

// runningNames returns the names of the controllers that are running.
func (g *group) runningNames() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	names := make([]string, 0, len(g.running))
	for name := range g.running {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
