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

// Member is what a process knows of one incarnation of an instance.
type Member struct {
	rillreach.Instance

	// PlacementHash is the instance's hash for placement.
	PlacementHash uint64

	hint      atomic.Pointer[LoadHint]
	suspected atomic.Int64
	failures  atomic.Int32
	leaving   atomic.Bool
	changes   *atomic.Uint64
}

// LoadHint is what an agent last said of its own load; it lags.
type LoadHint struct {
	QueueWait   time.Duration `cbor:"1,keyasint,omitempty"`
	PrefillRate float64       `cbor:"2,keyasint,omitempty"`
	Backlog     float64       `cbor:"3,keyasint,omitempty"`
	// HitRate is how often the engine's memory has lately held the state of a prompt that returned.
	HitRate float64 `cbor:"4,keyasint,omitempty"`
	// LinkRate is what the link to the stores carries, in bytes a second.
	LinkRate float64 `cbor:"5,keyasint,omitempty"`
	// BytesPerToken is the size of a token's state as it was last seen.
	BytesPerToken float64 `cbor:"6,keyasint,omitempty"`
	// ReceivedAt is when the hint came.
	ReceivedAt time.Time `cbor:"-"`
}

// LoadHint returns the last hint, or the zero hint.
func (m *Member) LoadHint() LoadHint {
	if h := m.hint.Load(); h != nil {
		return *h
	}
	return LoadHint{}
}

// SetLoadHint keeps a hint unless a later one is known.
func (m *Member) SetLoadHint(h LoadHint) {
	for {
		old := m.hint.Load()
		if old != nil && old.ReceivedAt.After(h.ReceivedAt) {
			return
		}
		if m.hint.CompareAndSwap(old, &h) {
			return
		}
	}
}

const (
	firstSuspicion = time.Second
	maxSuspicion   = 30 * time.Second
)

// Suspect keeps the member out of use for a time that doubles with each failure in a row.
func (m *Member) Suspect(now time.Time) time.Duration {
	wait := firstSuspicion << min(m.failures.Add(1)-1, 5)
	wait = min(wait, maxSuspicion)
	m.changes.Add(1)
	m.suspected.Store(now.Add(wait).UnixNano())
	return wait
}

// ClearSuspicion ends the suspicion.
func (m *Member) ClearSuspicion() {
	m.failures.Store(0)
	m.suspected.Store(0)
	m.changes.Add(1)
}

// Suspected reports whether the member is to be kept out of use.
func (m *Member) Suspected(now time.Time) bool {
	return now.UnixNano() < m.suspected.Load()
}

// Failing reports whether the member's last use failed, whether or not it is still kept out of use.
func (m *Member) Failing() bool {
	return m.failures.Load() > 0
}

func (m *Member) leave() {
	if !m.leaving.Swap(true) {
		m.changes.Add(1)
	}
}

// IsLeaving reports whether the platform or the instance itself has said that it leaves.
func (m *Member) IsLeaving() bool {
	return m.leaving.Load()
}

// Group names a set of members that can stand in for each other.
type Group struct {
	Role    rillreach.Role
	Side    rillreach.Side
	Model   rillreach.ModelID
	Version rillreach.VersionID
	Service rillreach.ServiceID
}

// Members is the set of known instances. A change makes new slices, so that a reader never holds the lock for long.
type Members struct {
	changes atomic.Uint64

	mu     sync.RWMutex
	byID   map[rillreach.InstanceID]*Member
	gone   map[rillreach.InstanceID]rillreach.Incarnation
	groups map[Group][]*Member
}

// New returns an empty set.
func New() *Members {
	return &Members{
		byID:   map[rillreach.InstanceID]*Member{},
		gone:   map[rillreach.InstanceID]rillreach.Incarnation{},
		groups: map[Group][]*Member{},
	}
}

// Apply takes one object of the platform's list into the set.
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

// Upsert takes in what an instance, or the platform, says of it; word of an older incarnation changes nothing.
// Incarnations are time-ordered identifiers, so that a greater one started later.
func (s *Members) Upsert(instance rillreach.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if instance.Incarnation <= s.gone[instance.ID] {
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
	m := &Member{Instance: instance, PlacementHash: hash.String(string(instance.ID)), changes: &s.changes}
	m.leaving.Store(instance.Leaving)
	return m
}

// update takes newer word of the same incarnation; leaving is never taken back within one.
func (s *Members) update(old *Member, instance rillreach.Instance) {
	if instance.Leaving {
		old.leave()
	}
	if slices.Equal(old.Versions, instance.Versions) && old.Address == instance.Address {
		return
	}
	m := s.newMember(instance)
	m.leaving.Store(instance.Leaving || old.leaving.Load())
	m.hint.Store(old.hint.Load())
	s.replace(old, m)
}

// MarkLeaving marks one incarnation as leaving.
func (s *Members) MarkLeaving(id rillreach.InstanceID, incarnation rillreach.Incarnation) {
	if m := s.Find(id); m != nil && m.Incarnation == incarnation {
		m.leave()
	}
}

// ChangeCount counts the changes of the set, of its members' leaving and of their suspicion.
func (s *Members) ChangeCount() uint64 { return s.changes.Load() }

// Find returns the member with the identifier, or nil.
func (s *Members) Find(id rillreach.InstanceID) *Member {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byID[id]
}

// Group returns the members of a group in the order of their identifiers; the slice must not be changed.
func (s *Members) Group(g Group) []*Member {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.groups[g]
}

// All returns every member.
func (s *Members) All() []*Member {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make([]*Member, 0, len(s.byID))
	for _, m := range s.byID {
		all = append(all, m)
	}
	return all
}

func (s *Members) remove(id rillreach.InstanceID, last []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.byID[id]
	if old == nil {
		return
	}
	if instance, err := rillreach.DecodeInstance(last); err == nil && instance.Incarnation < old.Incarnation {
		return
	}
	s.gone[id] = old.Incarnation
	s.replace(old, nil)
}

// replace swaps one member for another in the set and in its groups.
func (s *Members) replace(old, m *Member) {
	s.changes.Add(1)
	if old != nil {
		delete(s.byID, old.ID)
		for _, g := range groupsOf(old.Instance) {
			s.groups[g] = without(s.groups[g], old)
		}
	}
	if m == nil {
		return
	}
	s.byID[m.ID] = m
	for _, g := range groupsOf(m.Instance) {
		s.groups[g] = with(s.groups[g], m)
	}
}

// groupsOf are the groups that an instance stands in.
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

func without(members []*Member, m *Member) []*Member {
	kept := make([]*Member, 0, len(members))
	for _, other := range members {
		if other != m {
			kept = append(kept, other)
		}
	}
	return kept
}

func with(members []*Member, m *Member) []*Member {
	at, _ := slices.BinarySearchFunc(members, m, func(a, b *Member) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return slices.Insert(slices.Clone(members), at, m)
}
