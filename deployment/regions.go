package deployment

import (
	"slices"

	"github.com/rillreach/rillreach"
)

// AllowedRegions are the regions that a route and an account both allow, sorted; limited says that not all are. Of an account that is nil only the
// route counts.
func AllowedRegions(r *Route, a *Account) (regions []rillreach.RegionID, limited bool) {
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
