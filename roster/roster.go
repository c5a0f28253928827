package roster

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

// Roster is the list of runners. The zero value is empty and ready to use.
type Roster struct {
	mu        sync.RWMutex
	byID      map[rillreach.InstanceID]*Runner
	byService map[rillreach.ServiceID][]*Runner
	// byAddress holds the runners whose records name an address: usually one, more if there are leftover
	// or copied records.
	byAddress map[netip.AddrPort][]*Runner
	// latestGenerations holds the generation of each runner's latest known run, also of runners that
	// are no longer listed.
	latestGenerations map[rillreach.InstanceID]rillreach.Generation
	completeAt        time.Time
	// version increases whenever a runner is listed or delisted, or its service or address changes.
	version uint64
	// unsortedServices holds the services to be sorted at the end of Replace; nil outside of it.
	unsortedServices map[rillreach.ServiceID]bool
}

// Replace replaces the whole list and returns the changes. A runner that is no longer listed stays until removeAt,
// and is removed at once if that has passed or is zero.
func (r *Roster) Replace(now time.Time, list []deployment.Runner, removeAt time.Time) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[rillreach.InstanceID]bool, len(list))
	var changes []Change
	r.unsortedServices = map[rillreach.ServiceID]bool{}
	defer r.sortServices()
	for i := range list {
		listed[list[i].ID] = true
		changes = r.put(changes, list[i])
	}
	for id, runner := range r.byID {
		if listed[id] {
			continue
		}
		changes = append(changes, r.removeOrSchedule(runner, now, removeAt))
	}
	r.completeAt = now
	return changes
}

// Put adds or updates one runner and returns the changes.
func (r *Roster) Put(info deployment.Runner) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.put(nil, info)
}

// Remove removes a runner at the given time, or at once if that has passed or is zero.
func (r *Roster) Remove(now time.Time, id rillreach.InstanceID, removeAt time.Time) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	runner := r.byID[id]
	if runner == nil {
		return nil
	}
	return []Change{r.removeOrSchedule(runner, now, removeAt)}
}

// MarkComplete records that the list is known to be complete at the given time.
func (r *Roster) MarkComplete(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completeAt = now
}

// Expire removes the runners whose removal time has passed.
func (r *Roster) Expire(now time.Time) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changes []Change
	for _, runner := range r.byID {
		runner.mu.Lock()
		due := !runner.removeAt.IsZero() && now.After(runner.removeAt)
		runner.mu.Unlock()
		if due {
			changes = append(changes, r.removeOrSchedule(runner, now, time.Time{}))
		}
	}
	return changes
}

// Event is what happened to a runner.
type Event string

// The events of a runner.
const (
	EventAdded   Event = "added"
	EventChanged Event = "changed"
	// EventDoubtful means that the runner is no longer listed, but is kept for a while since it may be listed again.
	EventDoubtful Event = "doubtful"
	EventRemoved  Event = "removed"
	// EventRestarted means that a later run has replaced the known one; nothing that was learned about the earlier
	// run applies to it.
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
		r.byAddress, r.latestGenerations = map[netip.AddrPort][]*Runner{}, map[rillreach.InstanceID]rillreach.Generation{}
	}
	runner, latest := r.byID[info.ID], r.latestRun(info.ID)
	if latest.Supersedes(info.Run()) {
		if runner != nil {
			runner.cancelRemoval() // an outdated record still shows that the runner is listed
		}
		return changes
	}
	restarted := info.Run().Supersedes(latest)
	info.Generation = max(info.Generation, latest.Generation)
	r.latestGenerations[info.ID] = info.Generation
	switch {
	case restarted:
		return append(changes, r.replaceRun(runner, info, time.Time{}))
	case runner == nil:
		r.list(newRunner(info, time.Time{}))
		return append(changes, Change{Event: EventAdded, Runner: info})
	default:
		before := runner.Info()
		if info.Revision.Era > before.Revision.Era {
			info = mergeRecord(before, info)
		}
		runner.updateRecord(info)
		r.reindex(runner, &before, &info)
		return append(changes, Change{Event: EventChanged, Runner: info})
	}
}

// list adds a runner to the list.
func (r *Roster) list(runner *Runner) {
	info := runner.Info()
	runner.resolveAddress = func() { r.resolveAddressOf(runner) }
	r.byID[info.ID] = runner
	r.addToIndexes(runner, &info)
}

// delist removes a runner from the list.
func (r *Roster) delist(runner *Runner) {
	info := runner.Info()
	delete(r.byID, info.ID)
	r.removeFromIndexes(runner, &info)
}

// reindex updates the indexes after a record has changed, possibly with another service or address.
func (r *Roster) reindex(runner *Runner, before, info *deployment.Runner) {
	if before.Service == info.Service && before.Address == info.Address {
		r.resolveAddress(info.Address)
		return
	}
	r.removeFromIndexes(runner, before)
	r.addToIndexes(runner, info)
}

// addToIndexes adds a runner to the indexes by service and by address.
func (r *Roster) addToIndexes(runner *Runner, info *deployment.Runner) {
	r.version++
	r.addToService(runner, info)
	r.byAddress[info.Address] = append(r.byAddress[info.Address], runner)
	r.resolveAddress(info.Address)
}

// removeFromIndexes removes a runner from the indexes by service and by address.
func (r *Roster) removeFromIndexes(runner *Runner, info *deployment.Runner) {
	r.version++
	same := func(other *Runner) bool { return other == runner }
	r.byService[info.Service] = slices.DeleteFunc(slices.Clone(r.byService[info.Service]), same)
	r.byAddress[info.Address] = slices.DeleteFunc(r.byAddress[info.Address], same)
	if len(r.byAddress[info.Address]) == 0 {
		delete(r.byAddress, info.Address)
	}
	r.resolveAddress(info.Address)
}

// removeOrSchedule removes a runner, or schedules its removal if the given time is in the future.
func (r *Roster) removeOrSchedule(runner *Runner, now, removeAt time.Time) Change {
	runner.mu.Lock()
	info := runner.info
	if now.Before(removeAt) {
		runner.removeAt = removeAt
	}
	runner.mu.Unlock()
	if now.Before(removeAt) {
		return Change{Event: EventDoubtful, Runner: info}
	}
	r.delist(runner)
	return Change{Event: EventRemoved, Runner: info}
}

// ByService returns the runners of a service, sorted by identifier. The slice must not be modified.
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

// ByAddress returns the runner that owns the address, or nil.
func (r *Roster) ByAddress(address netip.AddrPort) *Runner {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.addressOwner(address)
}

// All returns all listed runners in no particular order.
func (r *Roster) All() []*Runner {
	r.mu.RLock()
	defer r.mu.RUnlock()
	all := make([]*Runner, 0, len(r.byID))
	for _, runner := range r.byID {
		all = append(all, runner)
	}
	return all
}

// Len returns the number of listed runners.
func (r *Roster) Len() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.byID)
}

// Version returns a counter that changes whenever a result of ByService may.
func (r *Roster) Version() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.version
}

// CompleteAt returns when the list was last known to be complete.
func (r *Roster) CompleteAt() time.Time {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.completeAt
}
