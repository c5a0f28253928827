package gateway

import (
	"slices"

	"github.com/rillreach/rillreach"
)

// allowsZone reports whether the request may run, and its KV cache may be stored, in a zone. A zone without a known
// region is only allowed for requests that may run in any region.
func (g *Gateway) allowsZone(x *exchange, zone rillreach.ZoneID) bool {
	return !x.regionsLimited || slices.Contains(x.regions, g.Settings.Regions[zone])
}
