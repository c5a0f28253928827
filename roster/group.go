package roster

import (
	"slices"
	"strings"

	"github.com/rillreach/rillreach/deployment"
)

// addToService adds a runner to those of its service. While a list is loaded, runners are appended and sorted at
// the end: inserting each in order would take quadratic time.
func (r *Roster) addToService(runner *Runner, info *deployment.Runner) {
	group := r.byService[info.Service]
	if r.unsortedServices[info.Service] {
		r.byService[info.Service] = append(group, runner)
		return
	}
	group = append(slices.Clone(group), runner)
	r.byService[info.Service] = group
	if r.unsortedServices != nil {
		r.unsortedServices[info.Service] = true
		return
	}
	slices.SortFunc(group, compareIDs)
}

// sortServices sorts the services to which a list has appended runners.
func (r *Roster) sortServices() {
	for service := range r.unsortedServices {
		slices.SortFunc(r.byService[service], compareIDs)
	}
	r.unsortedServices = nil
}

// compareIDs compares runners by identifier. It needs no lock, since identifiers never change.
func compareIDs(a, b *Runner) int { return strings.Compare(string(a.info.ID), string(b.info.ID)) }
