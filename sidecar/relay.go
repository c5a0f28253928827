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
	// relaysPerZone is how many agents of a zone watch the object store for its entries: one more than is needed.
	relaysPerZone = 2
	// minRunnersForRelays is how many runners a service has at the least where agents are relays: before some ten entries, as stand before fewer runners,
	// relays make more calls to the store than they save the entries, some 50 each in the first minute.
	minRunnersForRelays = 64
	// minRelayWatchTimeout and mostRelayWait bound how long one watch of a relay waits. It is drawn anew each time: watches that a change has ended
	// together would end together from then on, and entries would hear of nobody between.
	minRelayWatchTimeout = time.Second
	maxRelayWatchTimeout = 3 * time.Second
	// relayCoalesceDelay is a pause between a relay's watches of the runners, whose records change in quick succession.
	relayCoalesceDelay = 300 * time.Millisecond
	// relayCheckInterval is how often an agent looks whether it is a relay.
	relayCheckInterval = 500 * time.Millisecond
)

// relayRole remembers whether the agent is a relay; its zero value has not looked.
type relayRole struct {
	mu        sync.Mutex
	isRelay   bool
	checkedAt time.Time
}

// relayPace is the pace of a relay, and reports whether this agent is one.
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

// ranksAsRelay reports that this agent's runner is among the first of its zone by a hash of their identifiers.
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

// relaysOf are the relays among the runners of a service in a zone.
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

// notices are what the agent tells as a relay; nothing where it is none.
func (p *publisher) notices() []notify.Notice {
	if !p.isRelay() {
		return nil
	}
	return p.sidecar.state.Notices(time.Now())
}
