package once

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/hash"
)

// Owner is an incarnation of an agent that can own idempotency keys.
type Owner struct {
	ID          rillreach.InstanceID  `json:"id"`
	Incarnation rillreach.Incarnation `json:"incarnation"`
}

// Epoch is the set of owners of a service's keys from a point in time until the next epoch. It is stored as an object
// that is written once and never changed.
type Epoch struct {
	Service rillreach.ServiceID `json:"service"`
	Number  uint64              `json:"number"`
	From    time.Time           `json:"from"`
	Owners  []Owner             `json:"owners"`
}

// Check reports whether the epoch is invalid.
func (e Epoch) Check() error {
	if e.Service == "" || e.Number == 0 || e.From.IsZero() {
		return errors.New("epoch lacks a service, a number or a start time")
	}
	if len(e.Owners) == 0 {
		return errors.New("epoch has no owners")
	}
	return nil
}

// DecodeEpoch decodes and checks an epoch in JSON.
func DecodeEpoch(data []byte) (Epoch, error) {
	var e Epoch
	if err := json.Unmarshal(data, &e); err != nil {
		return Epoch{}, errors.Wrap(err, "decode epoch")
	}
	if err := e.Check(); err != nil {
		return Epoch{}, errors.Wrap(err, "check epoch")
	}
	return e, nil
}

// owner selects the owner of a key by rendezvous hashing.
func (e Epoch) owner(keyHash uint64) Owner {
	best, bestWeight := Owner{}, uint64(0)
	for _, o := range e.Owners {
		weight := hash.Mix(keyHash, hash.String(string(o.Incarnation)))
		if weight >= bestWeight {
			best, bestWeight = o, weight
		}
	}
	return best
}

// OwnerView is a process's view of the epochs of all services. It is safe for concurrent use.
type OwnerView struct {
	// LeadTime is the minimum time between the recording of an epoch and its start. It is the same for all processes.
	LeadTime time.Duration

	mu sync.RWMutex
	// confirmedUntil is the platform's time up to which all recorded epochs are known.
	confirmedUntil time.Time
	services       map[rillreach.ServiceID]*serviceEpochs
}

// serviceEpochs are the epochs of one service.
type serviceEpochs struct {
	// valid are the epochs that were recorded in time, sorted by their start.
	valid []Epoch
	// highestNumber is the highest number of any epoch, valid or not.
	highestNumber uint64
}

// Apply applies a change of an object that contains an epoch. An epoch that was recorded less than LeadTime before its
// start is invalid in all processes.
func (o *OwnerView) Apply(object rillreach.Object) error {
	e, err := DecodeEpoch(object.Value)
	if err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.epochsOf(e.Service)
	if object.Deleted {
		s.remove(e.Number)
		return nil
	}
	s.highestNumber = max(s.highestNumber, e.Number)
	if object.Changed.Add(o.LeadTime).After(e.From) {
		return errors.Newf("epoch %d of service %s was recorded less than %v before its start", e.Number, e.Service, o.LeadTime)
	}
	s.add(e)
	return nil
}

// Confirm records that all objects that the platform had recorded up to a time, by its own clock, have been applied.
func (o *OwnerView) Confirm(recordedUntil time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if recordedUntil.After(o.confirmedUntil) {
		o.confirmedUntil = recordedUntil
	}
}

// NewestEpoch returns the highest epoch number of a service, valid or not, and the valid epoch with the latest start.
func (o *OwnerView) NewestEpoch(service rillreach.ServiceID) (uint64, Epoch) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	s := o.services[service]
	if s == nil {
		return 0, Epoch{}
	}
	if len(s.valid) == 0 {
		return s.highestNumber, Epoch{}
	}
	return s.highestNumber, s.valid[len(s.valid)-1]
}

// Verdict is the result of a search for the owner of a key.
type Verdict string

const (
	// VerdictOwned means that the owner is known for certain.
	VerdictOwned Verdict = "owned"
	// VerdictViewTooOld means that the process may not yet know the epoch of the key.
	VerdictViewTooOld Verdict = "view-too-old"
	// VerdictKeyTooOld means that the key is older than all known epochs.
	VerdictKeyTooOld Verdict = "key-too-old"
	// VerdictNoOwner means that the service has no valid epochs.
	VerdictNoOwner Verdict = "no-owner"
)

// FindOwner returns the owner of a key by its timestamp and hash. All processes that get VerdictOwned get the same
// owner.
func (o *OwnerView) FindOwner(service rillreach.ServiceID, createdAt time.Time, keyHash uint64) (Owner, Verdict) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	if createdAt.After(o.confirmedUntil.Add(o.LeadTime)) {
		return Owner{}, VerdictViewTooOld
	}
	s := o.services[service]
	if s == nil || len(s.valid) == 0 {
		return Owner{}, VerdictNoOwner
	}
	for i := len(s.valid) - 1; i >= 0; i-- {
		if !s.valid[i].From.After(createdAt) {
			return s.valid[i].owner(keyHash), VerdictOwned
		}
	}
	return Owner{}, VerdictKeyTooOld
}

// Released reports whether an incarnation will own no keys with timestamps from now on, by the platform's clock.
func (o *OwnerView) Released(service rillreach.ServiceID, incarnation rillreach.Incarnation) bool {
	o.mu.RLock()
	defer o.mu.RUnlock()
	s := o.services[service]
	if s == nil || len(s.valid) == 0 {
		return true
	}
	newest := s.valid[len(s.valid)-1]
	owns := slices.ContainsFunc(newest.Owners, func(owner Owner) bool { return owner.Incarnation == incarnation })
	return !owns && !newest.From.After(o.confirmedUntil)
}

// SupersededEpochs returns the numbers of the service's epochs that contain no keys with timestamps after the given
// time.
func (o *OwnerView) SupersededEpochs(service rillreach.ServiceID, after time.Time) []uint64 {
	o.mu.RLock()
	defer o.mu.RUnlock()
	var numbers []uint64
	s := o.services[service]
	if s == nil {
		return nil
	}
	for i := 0; i+1 < len(s.valid); i++ {
		if s.valid[i+1].From.Before(after) {
			numbers = append(numbers, s.valid[i].Number)
		}
	}
	return numbers
}

func (o *OwnerView) epochsOf(id rillreach.ServiceID) *serviceEpochs {
	if o.services == nil {
		o.services = map[rillreach.ServiceID]*serviceEpochs{}
	}
	s := o.services[id]
	if s == nil {
		s = &serviceEpochs{}
		o.services[id] = s
	}
	return s
}

// add inserts a valid epoch in the order of start times. Of two epochs with the same start, the one with the higher
// number comes last and takes precedence.
func (s *serviceEpochs) add(e Epoch) {
	at, found := slices.BinarySearchFunc(s.valid, e, compareEpochs)
	if !found {
		s.valid = slices.Insert(s.valid, at, e)
	}
}

func (s *serviceEpochs) remove(number uint64) {
	s.valid = slices.DeleteFunc(s.valid, func(e Epoch) bool { return e.Number == number })
}

func compareEpochs(a, b Epoch) int {
	if c := a.From.Compare(b.From); c != 0 {
		return c
	}
	switch {
	case a.Number < b.Number:
		return -1
	case a.Number > b.Number:
		return 1
	default:
		return 0
	}
}
