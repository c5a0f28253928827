package deployment

import (
	"slices"

	"github.com/rillreach/rillreach"
)

// AllowedRegions returns the sorted regions that both the route and the account allow. If restricted is false, all
// regions are allowed and the list is empty; if it is true, an empty list allows none. A nil account allows all
// regions.
func AllowedRegions(r *Route, a *Account) (regions []rillreach.RegionID, restricted bool) {
	regions = r.Regions
	switch {
	case a == nil || a.Regions == nil:
	case r.Regions == nil:
		regions = a.Regions
	default:
		regions = slices.DeleteFunc(slices.Clone(r.Regions), func(region rillreach.RegionID) bool { return !slices.Contains(a.Regions, region) })
	}
	return slices.Sorted(slices.Values(regions)), regions != nil
}
