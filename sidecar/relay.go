package sidecar

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/controller/follow"
	"github.com/rillreach/rillreach/internal/hash"
	"github.com/rillreach/rillreach/notify"
	"github.com/rillreach/rillreach/roster"
)

const (
	// relaysPerZone is how many agents of a zone watch the object store on behalf of its entries: one more than needed.
	relaysPerZone = 2
	// minRunnersForRelays is the least number of runners of a service for which agents act as relays. Fewer runners
	// have only about ten entries, and relays would then make more calls to the object store than they save the
	// entries, about 50 each in the first minute.
	minRunnersForRelays = 64
	// minRelayWatchTimeout and maxRelayWatchTimeout bound the watch timeout of a relay, which is drawn at random for
	// each watch. Otherwise watches that a change has ended at the same time would go on ending at the same time, and
	// no relay would send entries a notice in between.
	minRelayWatchTimeout = time.Second
	maxRelayWatchTimeout = 3 * time.Second
	// relayCoalesceDelay is the pause between a relay's watches, so that changes of runners' records in quick
	// succession cost one call.
	relayCoalesceDelay = 300 * time.Millisecond
	// relayCheckInterval is how often an agent checks whether it is a relay.
	relayCheckInterval = 500 * time.Millisecond
)

// relayRole caches whether the agent is a relay. The zero value is ready to use.
type relayRole struct {
	mu        sync.Mutex
	isRelay   bool
	checkedAt time.Time
}

// relayPace returns the pace at which a relay follows the object store, and whether this agent is a relay.
func (p *publisher) relayPace() (follow.Pace, bool) {
	timeout := minRelayWatchTimeout + rand.N(maxRelayWatchTimeout-minRelayWatchTimeout)
	return follow.Pace{WatchTimeout: timeout, CoalesceDelay: relayCoalesceDelay}, p.isRelay()
}

// isRelay reports whether this agent is a relay.
func (p *publisher) isRelay() bool {
	p.relay.mu.Lock()
	defer p.relay.mu.Unlock()
	if now := time.Now(); now.Sub(p.relay.checkedAt) >= relayCheckInterval {
		p.relay.isRelay, p.relay.checkedAt = p.ranksAsRelay(), now
	}
	return p.relay.isRelay
}

// ranksAsRelay reports whether the service has enough runners for relays and this agent's runner is among those of its
// zone.
func (p *publisher) ranksAsRelay() bool {
	s := p.sidecar
	self := s.state.Roster.ByAddress(s.Settings.RunnerAddress)
	if self == nil {
		return false
	}
	info := self.Info()
	runners := s.state.Roster.ByService(info.Service)
	return len(runners) >= minRunnersForRelays && slices.Contains(relaysOf(runners, info.Zone), info.ID)
}

// relaysOf returns the runners in a zone whose agents are relays: those that come first by the hash of their
// identifiers, out of the given runners of a service that are not leaving.
func relaysOf(runners []*roster.Runner, zone rillreach.ZoneID) []rillreach.InstanceID {
	var ids []rillreach.InstanceID
	for _, r := range runners {
		if info := r.Info(); info.Zone == zone && !info.Leaving {
			ids = append(ids, info.ID)
		}
	}
	slices.SortFunc(ids, func(a, b rillreach.InstanceID) int {
		return cmp.Compare(hash.String(string(a)), hash.String(string(b)))
	})
	return ids[:min(len(ids), relaysPerZone)]
}

// notices returns the notices that the agent sends as a relay, or nil if it is not one.
func (p *publisher) notices() []notify.Notice {
	if !p.isRelay() {
		return nil
	}
	return p.sidecar.state.Notices(time.Now())
}
