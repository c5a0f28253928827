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
	// readerPollInterval is how often runners that have not responded are polled again.
	readerPollInterval = time.Second
	// readerTimeout is how long the agent waits for runners that do not respond, counted from the first poll, and for a
	// run that is no longer listed, counted from when it was last listed. It covers the longest stalls of runners. A
	// longer wait would let parts that may no longer be fetched take up space that other parts need.
	readerTimeout = 12 * time.Second
)

// pendingReaders are the engine runs that may still read parts of replaced weights. Each has to respond once after the
// last allowed fetch should have ended: a stalled run ends its fetch only once it resumes.
type pendingReaders struct {
	pending map[rillreach.InstanceID]reader
	// firstPolledAt is when the runs were first polled, and lastPolledAt when they were last.
	firstPolledAt time.Time
	lastPolledAt  time.Time
}

// reader is a run that has not responded yet.
type reader struct {
	address    netip.AddrPort
	generation rillreach.Generation
}

// add adds runs to wait for.
func (r *pendingReaders) add(runs map[rillreach.InstanceID]*listedRun) {
	if r.pending == nil {
		r.pending = map[rillreach.InstanceID]reader{}
	}
	for id, run := range runs {
		r.pending[id] = reader{address: run.address, generation: run.generation}
	}
}

// poll polls the runs that have not responded, and reports whether there are none left to wait for.
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
	ids := slices.Collect(maps.Keys(r.pending))
	responded := iter.Map(ids, func(id *rillreach.InstanceID) bool { return responds(ctx, r.pending[*id].address) })
	for i, id := range ids {
		if responded[i] {
			delete(r.pending, id)
		}
	}
	return len(r.pending) == 0
}

// hasEnded reports whether a pending run can no longer be reading: it is no longer tracked, or a later run of the same
// runner has replaced it.
func hasEnded(id rillreach.InstanceID, pending reader, listed *listedRun) bool {
	if listed == nil {
		return true
	}
	later := rillreach.InstanceRun{ID: id, Generation: listed.generation}
	return later.Supersedes(rillreach.InstanceRun{ID: id, Generation: pending.generation})
}

// listedRun is an engine run that is listed, or was until recently: the record of a stalled run expires after a few
// seconds.
type listedRun struct {
	address    netip.AddrPort
	generation rillreach.Generation
	// lastListedAt is when the run was last listed. If leaving is set, it had announced its shutdown, so that it has
	// ended once it is no longer listed.
	lastListedAt time.Time
	leaving      bool
}

// updateEngineRuns records the engine runs that are listed now, and removes those that have ended or were last listed
// more than readerTimeout ago.
func (c *collector) updateEngineRuns(now time.Time) {
	if c.engineRuns == nil {
		c.engineRuns = map[rillreach.InstanceID]*listedRun{}
	}
	for _, runner := range c.sidecar.state.Roster.All() {
		info := runner.Info()
		if len(info.Weights) == 0 {
			continue // not an engine
		}
		c.engineRuns[info.ID] = &listedRun{address: info.Address, generation: info.Generation, lastListedAt: now, leaving: info.Leaving}
	}
	for id, run := range c.engineRuns {
		if run.leaving && run.lastListedAt.Before(now) || now.Sub(run.lastListedAt) > readerTimeout {
			delete(c.engineRuns, id)
		}
	}
}

// responds reports whether the run at the address is running or has ended. Any result other than a timeout counts, even
// a refused connection or the response of another process: none of them comes from a stalled run.
func responds(ctx context.Context, address netip.AddrPort) bool {
	runner := platform.NewRunnerClient(address)
	defer runner.Close()
	_, err := runner.Report(ctx)
	var netErr net.Error
	timedOut := errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout()
	return ctx.Err() == nil && !timedOut
}
