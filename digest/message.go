package digest

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/poison"
)

// Subscribe subscribes a process to the digests of a relay.
type Subscribe struct {
	// Name identifies the subscriber, and Zone is its availability zone.
	Name rillreach.InstanceID `cbor:"1,keyasint"`
	Zone rillreach.ZoneID     `cbor:"2,keyasint"`
	// Relay means that the subscriber is a relay of another zone, which needs the reports of this zone only.
	Relay bool `cbor:"3,keyasint,omitempty"`
}

// Check reports whether the request is invalid.
func (s Subscribe) Check() error {
	if s.Name == "" {
		return errors.New("subscriber has no name")
	}
	return nil
}

// Report is the latest state of one run of a runner, according to its agent.
type Report struct {
	Runner     rillreach.InstanceID `cbor:"1,keyasint"`
	Generation rillreach.Generation `cbor:"2,keyasint,omitempty"`
	Zone       rillreach.ZoneID     `cbor:"3,keyasint"`
	Load       bulletin.Load        `cbor:"4,keyasint"`
	// Clock is when the agent made the report, by the clock that all runners share, in milliseconds; zero if unknown.
	Clock int64 `cbor:"5,keyasint,omitempty"`
	// Lost means that the agent does not report any more.
	Lost bool `cbor:"6,keyasint,omitempty"`
}

// Run returns the run that the report is about.
func (r *Report) Run() rillreach.InstanceRun {
	return rillreach.InstanceRun{ID: r.Runner, Generation: r.Generation}
}

// Check reports whether the report is invalid.
func (r *Report) Check() error {
	if r.Runner == "" || r.Zone == "" {
		return errors.New("report names no runner or no zone")
	}
	if r.Load.WeightLoadAt < 0 {
		return errors.Newf("report of runner %s has a negative time of the next weight load", r.Runner)
	}
	return nil
}

// StoreReport is the state of a cache store, according to the agent that manages it.
type StoreReport struct {
	// Agent is the runner of the agent, and Zone the agent's zone.
	Agent rillreach.InstanceID `cbor:"1,keyasint"`
	Zone  rillreach.ZoneID     `cbor:"2,keyasint"`
	// Clock is when the agent made the report, by the clock that all runners share, in milliseconds.
	Clock  int64                `cbor:"3,keyasint"`
	Update bulletin.CacheUpdate `cbor:"4,keyasint"`
}

// Check reports whether the report is invalid.
func (r *StoreReport) Check() error {
	if r.Agent == "" || r.Zone == "" || !r.Update.Store {
		return errors.New("report of a store names no agent, no zone or no store")
	}
	return r.Update.Check()
}

// ZoneEntries is the number of entries in a zone.
type ZoneEntries struct {
	Zone  rillreach.ZoneID `cbor:"1,keyasint"`
	Count int              `cbor:"2,keyasint"`
}

// Digest is what has changed since the previous digest of a subscription. Reports that it does not name, and that were not
// lost, still hold.
type Digest struct {
	Reports []Report      `cbor:"1,keyasint,omitempty"`
	Stores  []StoreReport `cbor:"2,keyasint,omitempty"`
	// Entries has the number of entries in each zone that the relay knows of.
	Entries []ZoneEntries `cbor:"3,keyasint,omitempty"`
	// Clock is the time of the digest by the clock that all runners share, in milliseconds; zero if unknown.
	Clock int64 `cbor:"4,keyasint,omitempty"`
	// DesiredWeights, WeightsFirstSeen and Config are what the relay knows from the object store.
	DesiredWeights   []deployment.DesiredWeights `cbor:"5,keyasint,omitempty"`
	WeightsFirstSeen []bulletin.WeightsFirstSeen `cbor:"6,keyasint,omitempty"`
	Config           *deployment.ConfigVersion   `cbor:"7,keyasint,omitempty"`
	// Crashes are crashes that the subscriber has not been sent yet.
	Crashes []poison.Crash `cbor:"8,keyasint,omitempty"`
}

// maxEntries exceeds the number of entries of any zone.
const maxEntries = 1 << 16

// Check reports whether the digest is invalid.
func (d Digest) Check() error {
	for i := range d.Reports {
		if err := d.Reports[i].Check(); err != nil {
			return err
		}
	}
	for i := range d.Stores {
		if err := d.Stores[i].Check(); err != nil {
			return err
		}
	}
	for _, e := range d.Entries {
		if e.Zone == "" || e.Count < 0 || e.Count > maxEntries {
			return errors.Newf("digest counts %d entries in zone %q", e.Count, e.Zone)
		}
	}
	for i := range d.Crashes {
		if err := d.Crashes[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

const (
	// TickInterval is the interval of digests.
	TickInterval = 200 * time.Millisecond
	// ownZoneLoadTicks and otherZoneLoadTicks are how many ticks apart changes of nothing but a runner's load are passed
	// on, from the relay's own zone and from others. A runner that leaves, does not respond or loads weights is passed on
	// at the next tick.
	ownZoneLoadTicks   = 2
	otherZoneLoadTicks = 5
)

// LoadAge returns how old the load of a runner may be according to digests, for a process of its own zone or of another.
func LoadAge(ownZone bool) time.Duration {
	if ownZone {
		return ownZoneLoadTicks * TickInterval
	}
	return otherZoneLoadTicks * TickInterval
}
