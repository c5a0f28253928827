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
	// askReadersEvery is how often runners that have not answered are asked again.
	askReadersEvery = time.Second
	// readersMost is how long an agent waits for a runner that does not answer, from when it was asked first, and from when it was listed last:
	// the longest stall that has been seen is 12 s, and parts that nobody may fetch any more take the place of others meanwhile.
	readersMost = 12 * time.Second
)

// readers are the runs of engines that may still read parts of replaced weights. Each has to answer once after the end of the last fetch that
// was allowed: one that stands still ends its fetch only when it goes on.
type readers struct {
	waiting map[rillreach.InstanceID]reader
	// askedAt is when they were asked first, and askedLast when they were last.
	askedAt   time.Time
	askedLast time.Time
}

// reader is a run that is waited for.
type reader struct {
	address    netip.AddrPort
	generation rillreach.Generation
}

// add has the runs be waited for as well.
func (r *readers) add(runs map[rillreach.InstanceID]*listedRun) {
	if r.waiting == nil {
		r.waiting = map[rillreach.InstanceID]reader{}
	}
	for id, run := range runs {
		r.waiting[id] = reader{address: run.address, generation: run.generation}
	}
}

// done asks those of the runs that have not answered, and reports whether nobody is waited for any more.
func (r *readers) done(ctx context.Context, now time.Time, runs map[rillreach.InstanceID]*listedRun) bool {
	maps.DeleteFunc(r.waiting, func(id rillreach.InstanceID, one reader) bool { return hasEnded(id, one, runs[id]) })
	if len(r.waiting) == 0 {
		return true
	}
	if r.askedAt.IsZero() {
		r.askedAt = now
	}
	if now.Sub(r.askedAt) > readersMost {
		return true
	}
	if !r.askedLast.IsZero() && now.Sub(r.askedLast) < askReadersEvery {
		return false
	}
	r.askedLast = now
	asked := slices.Collect(maps.Keys(r.waiting))
	answered := iter.Map(asked, func(id *rillreach.InstanceID) bool { return answers(ctx, r.waiting[*id].address) })
	for i, id := range asked {
		if answered[i] {
			delete(r.waiting, id)
		}
	}
	return len(r.waiting) == 0
}

// hasEnded reports that a run that is waited for reads no more: it is off the list for good, or a later run of the same runner is there.
func hasEnded(id rillreach.InstanceID, one reader, listed *listedRun) bool {
	if listed == nil {
		return true
	}
	later := rillreach.InstanceRun{ID: id, Generation: listed.generation}
	return later.Supersedes(rillreach.InstanceRun{ID: id, Generation: one.generation})
}

// listedRun is a run of an engine that is listed, or was until lately: the record of one that stands still lapses after some seconds.
type listedRun struct {
	address    netip.AddrPort
	generation rillreach.Generation
	// last is when it was last listed, and leaving that it had said that it ends: once it is off the list, it has.
	last    time.Time
	leaving bool
}

// noteRuns keeps the runs of engines that are listed now, and those that were while a fetch of theirs may be waited for.
func (c *collector) noteRuns(now time.Time) {
	if c.runs == nil {
		c.runs = map[rillreach.InstanceID]*listedRun{}
	}
	for _, runner := range c.sidecar.state.Roster.All() {
		info := runner.Info()
		if len(info.Weights) == 0 {
			continue // no engine
		}
		c.runs[info.ID] = &listedRun{address: info.Address, generation: info.Generation, last: now, leaving: info.Leaving}
	}
	for id, run := range c.runs {
		if run.leaving && run.last.Before(now) || now.Sub(run.last) > readersMost {
			delete(c.runs, id)
		}
	}
}

// answers reports that the run at the address goes on or has ended: whatever comes back, be it a refusal or another process's answer, does
// not come from a run that stands still.
func answers(ctx context.Context, at netip.AddrPort) bool {
	runner := platform.NewRunnerClient(at)
	defer runner.Close()
	_, err := runner.Report(ctx)
	var failure net.Error
	silent := errors.Is(err, context.DeadlineExceeded) || errors.As(err, &failure) && failure.Timeout()
	return ctx.Err() == nil && !silent
}
