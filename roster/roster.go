package roster

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

// Roster is the list of runners; its zero value is empty and ready.
type Roster struct {
	mu        sync.RWMutex
	byID      map[rillreach.InstanceID]*Runner
	byService map[rillreach.ServiceID][]*Runner
	// byAddress are the runners whose records name an address: one, but for records that are left over or another's.
	byAddress map[netip.AddrPort][]*Runner
	// latest are the latest runs that are known, also of runners that are no longer listed.
	latest  map[rillreach.InstanceID]rillreach.Generation
	updated time.Time
	// unsorted are the services whose runners are put in order at the end of a list; nil outside of one.
	unsorted map[rillreach.ServiceID]bool
}

// Replace sets the whole list; a runner that is no longer listed stays until the given moment, and is removed at once
// where that is zero. It returns what changed.
func (r *Roster) Replace(now time.Time, list []deployment.Runner, doubtful time.Time) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[rillreach.InstanceID]bool, len(list))
	var changes []Change
	r.unsorted = map[rillreach.ServiceID]bool{}
	defer r.sortGroups()
	for i := range list {
		listed[list[i].ID] = true
		changes = r.put(changes, list[i])
	}
	for id, runner := range r.byID {
		if listed[id] {
			continue
		}
		changes = append(changes, r.lapse(runner, now, doubtful))
	}
	r.updated = now
	return changes
}

// Put sets one runner.
func (r *Roster) Put(info deployment.Runner) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.put(nil, info)
}

// Remove takes a runner off the list, at the given moment or at once where that is zero.
func (r *Roster) Remove(now time.Time, id rillreach.InstanceID, doubtful time.Time) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	runner := r.byID[id]
	if runner == nil {
		return nil
	}
	return []Change{r.lapse(runner, now, doubtful)}
}

// MarkComplete records that the list is known to be complete at this moment.
func (r *Roster) MarkComplete(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updated = now
}

// Expire removes the runners whose doubtful time is over.
func (r *Roster) Expire(now time.Time) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changes []Change
	for _, runner := range r.byID {
		runner.mu.Lock()
		over := !runner.gone.IsZero() && now.After(runner.gone)
		runner.mu.Unlock()
		if over {
			changes = append(changes, r.lapse(runner, now, time.Time{}))
		}
	}
	return changes
}

// Event says what happened to a listed runner.
type Event string

// The events of a runner.
const (
	EventAdded    Event = "added"
	EventChanged  Event = "changed"
	EventDoubtful Event = "doubtful"
	EventRemoved  Event = "removed"
	// EventRestarted says that a later run has taken the place of the one that was known, of which nothing holds any more.
	EventRestarted Event = "restarted"
)

// Change is an event of one runner.
type Change struct {
	Event  Event
	Runner deployment.Runner
}

func (r *Roster) put(changes []Change, info deployment.Runner) []Change {
	if r.byID == nil {
		r.byID, r.byService = map[rillreach.InstanceID]*Runner{}, map[rillreach.ServiceID][]*Runner{}
		r.byAddress, r.latest = map[netip.AddrPort][]*Runner{}, map[rillreach.InstanceID]rillreach.Generation{}
	}
	runner, latest := r.byID[info.ID], r.latestOf(info.ID)
	if latest.Supersedes(info.Run()) {
		if runner != nil {
			runner.listAgain() // the record is late, and yet it is there
		}
		return changes
	}
	restarted := info.Run().Supersedes(latest)
	info.Generation = max(info.Generation, latest.Generation)
	r.latest[info.ID] = info.Generation
	switch {
	case restarted:
		return append(changes, r.restart(runner, info, time.Time{}))
	case runner == nil:
		r.add(newRunner(info, time.Time{}))
		return append(changes, Change{Event: EventAdded, Runner: info})
	default:
		before := runner.Info()
		if info.Revision.Era > before.Revision.Era {
			info = carryOver(before, info)
		}
		runner.relist(info)
		r.reindex(runner, &before, &info)
		return append(changes, Change{Event: EventChanged, Runner: info})
	}
}

// add lists a runner.
func (r *Roster) add(runner *Runner) {
	info := runner.Info()
	runner.resettle = func() { r.resettle(runner) }
	r.byID[info.ID] = runner
	r.join(runner, &info)
}

// drop takes a runner off the list.
func (r *Roster) drop(runner *Runner) {
	info := runner.Info()
	delete(r.byID, info.ID)
	r.leave(runner, &info)
}

// reindex keeps the look-ups right where a record names another service or address than before.
func (r *Roster) reindex(runner *Runner, before, info *deployment.Runner) {
	if before.Service == info.Service && before.Address == info.Address {
		r.settle(info.Address)
		return
	}
	r.leave(runner, before)
	r.join(runner, info)
}

// join adds a runner to the look-ups by service and address.
func (r *Roster) join(runner *Runner, info *deployment.Runner) {
	r.joinGroup(runner, info)
	r.byAddress[info.Address] = append(r.byAddress[info.Address], runner)
	r.settle(info.Address)
}

// leave takes a runner off the look-ups by service and address.
func (r *Roster) leave(runner *Runner, info *deployment.Runner) {
	is := func(other *Runner) bool { return other == runner }
	r.byService[info.Service] = slices.DeleteFunc(slices.Clone(r.byService[info.Service]), is)
	r.byAddress[info.Address] = slices.DeleteFunc(r.byAddress[info.Address], is)
	if len(r.byAddress[info.Address]) == 0 {
		delete(r.byAddress, info.Address)
	}
	r.settle(info.Address)
}

// lapse removes a runner, or marks when it is to be removed.
func (r *Roster) lapse(runner *Runner, now, doubtful time.Time) Change {
	runner.mu.Lock()
	info := runner.info
	if now.Before(doubtful) {
		runner.gone = doubtful
	}
	runner.mu.Unlock()
	if now.Before(doubtful) {
		return Change{Event: EventDoubtful, Runner: info}
	}
	r.drop(runner)
	return Change{Event: EventRemoved, Runner: info}
}

// ByService returns the runners of a service in the order of their identifiers; the slice must not be changed.
func (r *Roster) ByService(service rillreach.ServiceID) []*Runner {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.byService[service]
}

// Find returns the runner with the identifier, or nil.
func (r *Roster) Find(id rillreach.InstanceID) *Runner {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.byID[id]
}

// ByAddress returns the runner that has the address, or nil.
func (r *Roster) ByAddress(address netip.AddrPort) *Runner {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.occupant(address)
}

// All returns all listed runners.
func (r *Roster) All() []*Runner {
	r.mu.RLock()
	defer r.mu.RUnlock()
	all := make([]*Runner, 0, len(r.byID))
	for _, runner := range r.byID {
		all = append(all, runner)
	}
	return all
}

// Len is how many runners are listed.
func (r *Roster) Len() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.byID)
}

// CompleteAt is when the list was last known to be complete.
func (r *Roster) CompleteAt() time.Time {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.updated
}
