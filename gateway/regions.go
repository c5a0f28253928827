package gateway

import (
	"slices"

	"github.com/rillreach/rillreach"
)

// allows reports that a request may run in a zone, and that what it leaves may be kept there. A zone of no known region is only good for requests
// that may run anywhere.
func (g *Gateway) allows(x *exchange, zone rillreach.ZoneID) bool {
	return !x.regionsLimited || slices.Contains(x.regions, g.Settings.Regions[zone])
}
