package roster

import (
	"slices"
	"strings"

	"github.com/rillreach/rillreach/deployment"
)

// joinGroup adds a runner to those of its service. In a list it's added at the end, since to keep the order each time takes a time that grows with
// the square of their number.
func (r *Roster) joinGroup(runner *Runner, info *deployment.Runner) {
	group := r.byService[info.Service]
	if r.unsorted[info.Service] {
		r.byService[info.Service] = append(group, runner)
		return
	}
	group = append(slices.Clone(group), runner)
	r.byService[info.Service] = group
	if r.unsorted != nil {
		r.unsorted[info.Service] = true
		return
	}
	slices.SortFunc(group, byIdentifier)
}

// sortGroups puts the runners in order that a list has added.
func (r *Roster) sortGroups() {
	for service := range r.unsorted {
		slices.SortFunc(r.byService[service], byIdentifier)
	}
	r.unsorted = nil
}

// byIdentifier compares runners by their identifiers, which never change.
func byIdentifier(a, b *Runner) int { return strings.Compare(string(a.info.ID), string(b.info.ID)) }
