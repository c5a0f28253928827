package sidecar

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/iter"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/platform"
)

const (
	// readerPollInterval is how often runners that have not answered are asked again.
	readerPollInterval = time.Second
	// readerTimeout is how long an agent waits for a runner that does not answer, from when it was asked first, and from when it was listed last:
	// the longest stall that has been seen is 12 s, and parts that nobody may fetch any more take the place of others meanwhile.
	readerTimeout = 12 * time.Second
)

// pendingReaders are the runs of engines that may still read parts of replaced weights. Each has to answer once after the end of the last fetch that
// was allowed: one that stands still ends its fetch only when it goes on.
type pendingReaders struct {
	pending map[rillreach.InstanceID]reader
	// firstPolledAt is when they were asked first, and askedLast when they were last.
	firstPolledAt time.Time
	lastPolledAt  time.Time
}

// reader is a run that is waited for.
type reader struct {
	address    netip.AddrPort
	generation rillreach.Generation
}

// add has the runs be waited for as well.
func (r *pendingReaders) add(runs map[rillreach.InstanceID]*listedRun) {
	if r.pending == nil {
		r.pending = map[rillreach.InstanceID]reader{}
	}
	for id, run := range runs {
		r.pending[id] = reader{address: run.address, generation: run.generation}
	}
}

// poll asks those of the runs that have not answered, and reports whether nobody is waited for any more.
func (r *pendingReaders) poll(ctx context.Context, now time.Time, runs map[rillreach.InstanceID]*listedRun) bool {
	maps.DeleteFunc(r.pending, func(id rillreach.InstanceID, pending reader) bool { return hasEnded(id, pending, runs[id]) })
	if len(r.pending) == 0 {
		return true
	}
	if r.firstPolledAt.IsZero() {
		r.firstPolledAt = now
	}
	if now.Sub(r.firstPolledAt) > readerTimeout {
		return true
	}
	if !r.lastPolledAt.IsZero() && now.Sub(r.lastPolledAt) < readerPollInterval {
		return false
	}
	r.lastPolledAt = now
	asked := slices.Collect(maps.Keys(r.pending))
	answered := iter.Map(asked, func(id *rillreach.InstanceID) bool { return responds(ctx, r.pending[*id].address) })
	for i, id := range asked {
		if answered[i] {
			delete(r.pending, id)
		}
	}
	return len(r.pending) == 0
}

// hasEnded reports that a run that is waited for reads no more: it is off the list for good, or a later run of the same runner is there.
func hasEnded(id rillreach.InstanceID, pending reader, listed *listedRun) bool {
	if listed == nil {
		return true
	}
	later := rillreach.InstanceRun{ID: id, Generation: listed.generation}
	return later.Supersedes(rillreach.InstanceRun{ID: id, Generation: pending.generation})
}

// listedRun is a run of an engine that is listed, or was until lately: the record of one that stands still lapses after some seconds.
type listedRun struct {
	address    netip.AddrPort
	generation rillreach.Generation
	// lastListedAt is when it was lastListedAt listed, and leaving that it had said that it ends: once it is off the list, it has.
	lastListedAt time.Time
	leaving      bool
}

// updateEngineRuns keeps the runs of engines that are listed now, and those that were while a fetch of theirs may be waited for.
func (c *collector) updateEngineRuns(now time.Time) {
	if c.engineRuns == nil {
		c.engineRuns = map[rillreach.InstanceID]*listedRun{}
	}
	for _, runner := range c.sidecar.state.Roster.All() {
		info := runner.Info()
		if len(info.Weights) == 0 {
			continue // no engine
		}
		c.engineRuns[info.ID] = &listedRun{address: info.Address, generation: info.Generation, lastListedAt: now, leaving: info.Leaving}
	}
	for id, run := range c.engineRuns {
		if run.leaving && run.lastListedAt.Before(now) || now.Sub(run.lastListedAt) > readerTimeout {
			delete(c.engineRuns, id)
		}
	}
}

// responds reports that the run at the address goes on or has ended: whatever comes back, be it a refusal or another process's answer, does
// not come from a run that stands still.
func responds(ctx context.Context, address netip.AddrPort) bool {
	runner := platform.NewRunner(address)
	defer runner.Close()
	_, err := runner.Report(ctx)
	var netErr net.Error
	timedOut := errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout()
	return ctx.Err() == nil && !timedOut
}
