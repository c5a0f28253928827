package gateway

import (
	"slices"
	"strings"
	"sync"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/hash"
	"github.com/rillreach/rillreach/ring"
	"github.com/rillreach/rillreach/roster"
)

const (
	// maxExamined is the number of runners of a service up to which a decision examines all of them.
	maxExamined = 64
	// maxHomes is the number of a conversation's homes that a decision examines in a larger service.
	maxHomes = 4
)

// homeRing caches the rings of the runners of large services. All entries of a region place a conversation at the same
// runners, its homes, so that its KV cache is found there without any message.
type homeRing struct {
	mu    sync.Mutex
	rings map[ringKey]*serviceRing
}

// ringKey identifies a ring: a service, and the regions of its runners, separated by commas.
type ringKey struct {
	service rillreach.ServiceID
	regions string
}

// serviceRing is the ring of one service at a version of the list of runners.
type serviceRing struct {
	version uint64
	runners []*roster.Runner
	ring    *ring.Ring
}

// homesOf returns runners of the request's service in the order in which they are preferred for its conversation.
func (g *Gateway) homesOf(x *exchange) []*roster.Runner {
	r := g.ringFor(x)
	nearest := r.ring.Nearest(hash.String(conversationID(x)))
	homes := make([]*roster.Runner, len(nearest))
	for i, member := range nearest {
		homes[i] = r.runners[member]
	}
	return homes
}

// ringFor returns the ring for a request, and makes it anew if the list of runners has changed.
func (g *Gateway) ringFor(x *exchange) *serviceRing {
	regions := g.homeRegions(x)
	key, version := ringKey{x.service.Name, joinRegions(regions)}, g.state.Roster.Version()
	h := &g.homes
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.rings[key]; r != nil && r.version == version {
		return r
	}
	runners := g.homeCandidates(x, regions)
	hashes := make([]uint64, len(runners))
	for i, runner := range runners {
		hashes[i] = hash.String(string(runner.Info().ID))
	}
	r := &serviceRing{version: version, runners: runners, ring: ring.New(hashes)}
	if h.rings == nil {
		h.rings = map[ringKey]*serviceRing{}
	}
	h.rings[key] = r
	return r
}

// homeRegions returns the regions in which a conversation has its homes: the entry's own one, or those in which the request
// may run if its own is none of them. Links between regions are slow, and a request crosses them with its whole body.
func (g *Gateway) homeRegions(x *exchange) []rillreach.RegionID {
	own := g.Settings.Regions[g.Settings.Zone]
	if x.regionsLimited && !slices.Contains(x.regions, own) {
		return x.regions
	}
	return []rillreach.RegionID{own}
}

// homeCandidates returns the runners of the request's service in the given regions, or all if there are too few for a choice
// and the request may run anywhere.
func (g *Gateway) homeCandidates(x *exchange, regions []rillreach.RegionID) []*roster.Runner {
	all := g.state.Roster.ByService(x.service.Name)
	var inRegions []*roster.Runner
	for _, r := range all {
		if slices.Contains(regions, g.Settings.Regions[r.Info().Zone]) {
			inRegions = append(inRegions, r)
		}
	}
	if len(inRegions) < maxHomes && !x.regionsLimited {
		return all
	}
	return inRegions
}

// joinRegions returns a text that identifies a list of regions.
func joinRegions(regions []rillreach.RegionID) string {
	names := make([]string, len(regions))
	for i, region := range regions {
		names[i] = string(region)
	}
	return strings.Join(names, ",")
}
