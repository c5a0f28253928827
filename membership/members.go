package membership

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/hash"
)

// Member is the state of one incarnation of an instance, as this process knows it.
type Member struct {
	rillreach.Instance

	// PlacementHash is the hash of the instance's identifier, which ranks instances in placement.
	PlacementHash uint64

	loadHint atomic.Pointer[LoadHint]
	// suspectedUntil is in Unix nanoseconds, zero if the member is not suspected.
	suspectedUntil atomic.Int64
	// failures is the number of consecutive failures.
	failures atomic.Int32
	leaving  atomic.Bool
	// changeCount is the counter of the set that the member belongs to.
	changeCount *atomic.Uint64
}

// LoadHint is an agent's last report of its own load. It lags behind the actual load.
type LoadHint struct {
	// QueueWait is the estimated time that a new request waits in the agent's queue.
	QueueWait time.Duration `cbor:"1,keyasint,omitempty"`
	// PrefillRate is the number of prompt tokens a second that the engine processes.
	PrefillRate float64 `cbor:"2,keyasint,omitempty"`
	// Backlog is the queued work, in tokens.
	Backlog float64 `cbor:"3,keyasint,omitempty"`
	// HitRate is a moving average of how often the state of a returning prompt was still in the engine's memory.
	HitRate float64 `cbor:"4,keyasint,omitempty"`
	// LinkRate is the throughput of the slowest link to a store, in bytes a second.
	LinkRate float64 `cbor:"5,keyasint,omitempty"`
	// BytesPerToken is the size of one token's state in the last export.
	BytesPerToken float64 `cbor:"6,keyasint,omitempty"`
	// ReceivedAt is when this process received the hint.
	ReceivedAt time.Time `cbor:"-"`
}

// LoadHint returns the latest hint, or the zero value if there is none.
func (m *Member) LoadHint() LoadHint {
	if h := m.loadHint.Load(); h != nil {
		return *h
	}
	return LoadHint{}
}

// SetLoadHint stores a hint unless a later one is already known.
func (m *Member) SetLoadHint(h LoadHint) {
	for {
		old := m.loadHint.Load()
		if old != nil && old.ReceivedAt.After(h.ReceivedAt) {
			return
		}
		if m.loadHint.CompareAndSwap(old, &h) {
			return
		}
	}
}

const (
	// initialSuspicion is how long a member is suspected after its first failure.
	initialSuspicion = time.Second
	// maxSuspicion is the longest time that a member is suspected after any number of failures.
	maxSuspicion = 30 * time.Second
)

// Suspect marks the member as suspected and returns for how long. The time doubles with each consecutive failure, up to
// maxSuspicion.
func (m *Member) Suspect(now time.Time) time.Duration {
	duration := initialSuspicion << min(m.failures.Add(1)-1, 5) // five doublings exceed maxSuspicion
	duration = min(duration, maxSuspicion)
	m.changeCount.Add(1)
	m.suspectedUntil.Store(now.Add(duration).UnixNano())
	return duration
}

// ClearSuspicion ends the suspicion and resets the count of consecutive failures.
func (m *Member) ClearSuspicion() {
	m.failures.Store(0)
	m.suspectedUntil.Store(0)
	m.changeCount.Add(1)
}

// Suspected reports whether the member must not be used at the given time.
func (m *Member) Suspected(now time.Time) bool {
	return now.UnixNano() < m.suspectedUntil.Load()
}

// Failing reports whether the last use of the member failed, even if the suspicion has expired since.
func (m *Member) Failing() bool {
	return m.failures.Load() > 0
}

func (m *Member) markLeaving() {
	if !m.leaving.Swap(true) {
		m.changeCount.Add(1)
	}
}

// IsLeaving reports whether the platform or the instance itself has announced that it shuts down.
func (m *Member) IsLeaving() bool {
	return m.leaving.Load()
}

// Group identifies a set of interchangeable members.
type Group struct {
	Role    rillreach.Role
	Side    rillreach.Side
	Model   rillreach.ModelID
	Version rillreach.VersionID
	Service rillreach.ServiceID
}

// Members is the set of known instances. Changes copy the slices of groups, so that readers can use them without the
// lock.
type Members struct {
	changeCount atomic.Uint64

	mu   sync.RWMutex
	byID map[rillreach.InstanceID]*Member
	// removed holds the last incarnation of each removed instance, so that late announcements don't add it again.
	removed map[rillreach.InstanceID]rillreach.Incarnation
	groups  map[Group][]*Member
}

// New returns an empty set of members.
func New() *Members {
	return &Members{
		byID:    map[rillreach.InstanceID]*Member{},
		removed: map[rillreach.InstanceID]rillreach.Incarnation{},
		groups:  map[Group][]*Member{},
	}
}

// Apply applies a change of one object in the platform's instance list.
func (s *Members) Apply(object rillreach.Object) error {
	if object.Deleted {
		s.remove(rillreach.InstanceID(object.Name), object.Value)
		return nil
	}
	instance, err := rillreach.DecodeInstance(object.Value)
	if err != nil {
		return err
	}
	s.Upsert(instance)
	return nil
}

// Upsert adds or updates an instance from its own announcement or from the platform's list. Data about an older
// incarnation than the known one is ignored. Incarnations are time-ordered identifiers, so the greater one started
// later.
func (s *Members) Upsert(instance rillreach.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if instance.Incarnation <= s.removed[instance.ID] {
		return
	}
	old := s.byID[instance.ID]
	switch {
	case old == nil || instance.Incarnation > old.Incarnation:
		s.replace(old, s.newMember(instance))
	case instance.Incarnation < old.Incarnation:
		return
	default:
		s.update(old, instance)
	}
}

func (s *Members) newMember(instance rillreach.Instance) *Member {
	m := &Member{Instance: instance, PlacementHash: hash.String(string(instance.ID)), changeCount: &s.changeCount}
	m.leaving.Store(instance.Leaving)
	return m
}

// update applies new data about the same incarnation. An incarnation that is leaving stays so.
func (s *Members) update(old *Member, instance rillreach.Instance) {
	if instance.Leaving {
		old.markLeaving()
	}
	if slices.Equal(old.Versions, instance.Versions) && old.Address == instance.Address {
		return
	}
	m := s.newMember(instance)
	m.leaving.Store(instance.Leaving || old.leaving.Load())
	m.loadHint.Store(old.loadHint.Load())
	s.replace(old, m)
}

// MarkLeaving marks an instance as leaving if it still runs the given incarnation.
func (s *Members) MarkLeaving(id rillreach.InstanceID, incarnation rillreach.Incarnation) {
	if m := s.Find(id); m != nil && m.Incarnation == incarnation {
		m.markLeaving()
	}
}

// ChangeCount returns a counter that grows whenever the set changes or a member becomes leaving, suspected or cleared.
func (s *Members) ChangeCount() uint64 { return s.changeCount.Load() }

// Find returns the member with the identifier, or nil if there is none.
func (s *Members) Find(id rillreach.InstanceID) *Member {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byID[id]
}

// Group returns the members of a group, sorted by identifier. The caller must not modify the slice.
func (s *Members) Group(g Group) []*Member {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.groups[g]
}

// All returns all members in no particular order.
func (s *Members) All() []*Member {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make([]*Member, 0, len(s.byID))
	for _, m := range s.byID {
		all = append(all, m)
	}
	return all
}

// remove removes an instance that the platform has deleted, unless lastValue, its last object, is of an older
// incarnation.
func (s *Members) remove(id rillreach.InstanceID, lastValue []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.byID[id]
	if old == nil {
		return
	}
	if instance, err := rillreach.DecodeInstance(lastValue); err == nil && instance.Incarnation < old.Incarnation {
		return
	}
	s.removed[id] = old.Incarnation
	s.replace(old, nil)
}

// replace replaces a member in the set and in its groups. Either side may be nil, to add or to remove a member.
func (s *Members) replace(old, m *Member) {
	s.changeCount.Add(1)
	if old != nil {
		delete(s.byID, old.ID)
		for _, g := range groupsOf(old.Instance) {
			s.groups[g] = removeMember(s.groups[g], old)
		}
	}
	if m == nil {
		return
	}
	s.byID[m.ID] = m
	for _, g := range groupsOf(m.Instance) {
		s.groups[g] = insertMember(s.groups[g], m)
	}
}

// groupsOf returns the groups that an instance belongs to.
func groupsOf(i rillreach.Instance) []Group {
	if i.Role == rillreach.RoleEntry {
		return []Group{{Role: i.Role}}
	}
	if i.Role == rillreach.RoleStore {
		return []Group{{Role: i.Role, Side: i.Side}}
	}
	if i.Service != "" {
		return []Group{{Role: i.Role, Side: i.Side, Service: i.Service}}
	}
	groups := make([]Group, 0, len(i.Versions))
	for _, v := range i.Versions {
		groups = append(groups, Group{Role: i.Role, Side: i.Side, Model: i.Model, Version: v})
	}
	return groups
}

// removeMember returns a copy of the slice without the member.
func removeMember(members []*Member, m *Member) []*Member {
	remaining := make([]*Member, 0, len(members))
	for _, other := range members {
		if other != m {
			remaining = append(remaining, other)
		}
	}
	return remaining
}

// insertMember returns a copy of the sorted slice with the member inserted.
func insertMember(members []*Member, m *Member) []*Member {
	at, _ := slices.BinarySearchFunc(members, m, func(a, b *Member) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return slices.Insert(slices.Clone(members), at, m)
}
