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

// Owner is one agent that can own keys.
type Owner struct {
	ID          rillreach.InstanceID  `json:"id"`
	Incarnation rillreach.Incarnation `json:"incarnation"`
}

// Epoch is one set of owners of a service's keys; it is an object that is written once and never changed.
type Epoch struct {
	Service rillreach.ServiceID `json:"service"`
	Number  uint64              `json:"number"`
	From    time.Time           `json:"from"`
	Owners  []Owner             `json:"owners"`
}

// Check reports the first fault of the epoch.
func (e Epoch) Check() error {
	if e.Service == "" || e.Number == 0 || e.From.IsZero() {
		return errors.New("epoch lacks its service, its number or its time")
	}
	if len(e.Owners) == 0 {
		return errors.New("epoch has no owners")
	}
	return nil
}

// DecodeEpoch reads an epoch from JSON and checks it.
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

// owner picks the key's owner among the epoch's.
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

// OwnerView is a process's copy of the epochs of all services.
type OwnerView struct {
	// LeadTime is how long after its recording an epoch may come into force at the earliest; the same everywhere.
	LeadTime time.Duration

	mu       sync.RWMutex
	known    time.Time
	services map[rillreach.ServiceID]*epochs
}

type epochs struct {
	valid  []Epoch
	newest uint64
}

// Apply takes one object of the kind owners. An epoch recorded too late for its own time counts for nobody.
func (o *OwnerView) Apply(object rillreach.Object) error {
	e, err := DecodeEpoch(object.Value)
	if err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.service(e.Service)
	if object.Deleted {
		s.drop(e.Number)
		return nil
	}
	s.newest = max(s.newest, e.Number)
	if object.Changed.Add(o.LeadTime).After(e.From) {
		return errors.Newf("epoch %d of %s was recorded less than %v before its time", e.Number, e.Service, o.LeadTime)
	}
	s.add(e)
	return nil
}

// Confirm records that everything the platform had recorded up to a time of its own clock has been applied.
func (o *OwnerView) Confirm(known time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if known.After(o.known) {
		o.known = known
	}
}

// NewestEpoch returns the highest number seen for a service, and the valid epoch with the latest time.
func (o *OwnerView) NewestEpoch(service rillreach.ServiceID) (uint64, Epoch) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	s := o.services[service]
	if s == nil {
		return 0, Epoch{}
	}
	if len(s.valid) == 0 {
		return s.newest, Epoch{}
	}
	return s.newest, s.valid[len(s.valid)-1]
}

// Verdict says whether the owner of a key is certain.
type Verdict string

// The verdicts on a key.
const (
	VerdictOwned      Verdict = "owned"
	VerdictViewTooOld Verdict = "view-too-old"
	VerdictKeyTooOld  Verdict = "key-too-old"
	VerdictNoOwner    Verdict = "no-owner"
)

// FindOwner returns the owner of a key that was minted at a time. The answer is the same in every process that is certain.
func (o *OwnerView) FindOwner(service rillreach.ServiceID, minted time.Time, keyHash uint64) (Owner, Verdict) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	if minted.After(o.known.Add(o.LeadTime)) {
		return Owner{}, VerdictViewTooOld
	}
	s := o.services[service]
	if s == nil || len(s.valid) == 0 {
		return Owner{}, VerdictNoOwner
	}
	for i := len(s.valid) - 1; i >= 0; i-- {
		if !s.valid[i].From.After(minted) {
			return s.valid[i].owner(keyHash), VerdictOwned
		}
	}
	return Owner{}, VerdictKeyTooOld
}

// Released reports whether an incarnation owns no key that is minted from now on, by the platform's clock.
func (o *OwnerView) Released(service rillreach.ServiceID, incarnation rillreach.Incarnation) bool {
	o.mu.RLock()
	defer o.mu.RUnlock()
	s := o.services[service]
	if s == nil || len(s.valid) == 0 {
		return true
	}
	newest := s.valid[len(s.valid)-1]
	owns := slices.ContainsFunc(newest.Owners, func(owner Owner) bool { return owner.Incarnation == incarnation })
	return !owns && !newest.From.After(o.known)
}

// SupersededEpochs returns the epochs of a service that no key minted after a time can fall into.
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

func (o *OwnerView) service(id rillreach.ServiceID) *epochs {
	if o.services == nil {
		o.services = map[rillreach.ServiceID]*epochs{}
	}
	s := o.services[id]
	if s == nil {
		s = &epochs{}
		o.services[id] = s
	}
	return s
}

// add keeps the epochs in the order of their times; of two with one time the higher number counts.
func (s *epochs) add(e Epoch) {
	at, found := slices.BinarySearchFunc(s.valid, e, compareEpochs)
	if !found {
		s.valid = slices.Insert(s.valid, at, e)
	}
}

func (s *epochs) drop(number uint64) {
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
