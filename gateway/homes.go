package gateway

import (
	"sync"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/hash"
	"github.com/rillreach/rillreach/ring"
	"github.com/rillreach/rillreach/roster"
)

const (
	// maxExamined is the number of runners of a service up to which a decision examines all of them.
	maxExamined = 64
	// homeCandidates is the number of a conversation's homes that a decision examines in a larger service.
	homeCandidates = 4
)

// homeRing caches the rings of the runners of large services. All entries place a conversation at the same runners, its
// homes, so that its KV cache is found there without any message.
type homeRing struct {
	mu        sync.Mutex
	byService map[rillreach.ServiceID]*serviceRing
}

// serviceRing is the ring of one service at a version of the list of runners.
type serviceRing struct {
	version uint64
	runners []*roster.Runner
	ring    *ring.Ring
}

// homes returns runners of a service in the order in which they are preferred for a conversation.
func (h *homeRing) homes(list *roster.Roster, service rillreach.ServiceID, conversation uint64) []*roster.Runner {
	r := h.ringOf(list, service)
	nearest := r.ring.Nearest(conversation)
	homes := make([]*roster.Runner, len(nearest))
	for i, member := range nearest {
		homes[i] = r.runners[member]
	}
	return homes
}

// ringOf returns the ring of a service, and makes it anew if the list has changed.
func (h *homeRing) ringOf(list *roster.Roster, service rillreach.ServiceID) *serviceRing {
	version := list.Version()
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.byService[service]; r != nil && r.version == version {
		return r
	}
	runners := list.ByService(service)
	hashes := make([]uint64, len(runners))
	for i, runner := range runners {
		hashes[i] = hash.String(string(runner.Info().ID))
	}
	r := &serviceRing{version: version, runners: runners, ring: ring.New(hashes)}
	if h.byService == nil {
		h.byService = map[rillreach.ServiceID]*serviceRing{}
	}
	h.byService[service] = r
	return r
}
