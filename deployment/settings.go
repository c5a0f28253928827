package deployment

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
)

// Bounds are the times and shares that the site promises its callers and its operators.
type Bounds struct {
	// Recovery is how long after the last trouble, of its own or of the object store, an instance has to keep the bounds again.
	Recovery time.Duration
	// RunnerDrainNotice is how long after the notice a leaving runner may still be sent requests.
	RunnerDrainNotice time.Duration
	// GracePeriod is how long a process has from the signal to its end.
	GracePeriod time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound the sends beyond a request's first: over the window, not more than the
	// ratio of the requests plus the slack, over all entries together.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ZoneEvacuation is how soon a zone that is evacuated gets nothing more; zero where none ever is.
	ZoneEvacuation time.Duration
	// SlowStartFactor and SlowStartSlack bound the requests that a cold runner gets in any one second from all entries: what it bears a second
	// times the one, plus the other.
	SlowStartFactor float64
	SlowStartSlack  float64
	// WeightsRollout is how soon new weights are in use.
	WeightsRollout time.Duration
}

// Settings are what the platform tells a process at its start.
type Settings struct {
	Name string
	Zone rillreach.ZoneID
	Host netip.Addr
	// Regions are the regions of the availability zones.
	Regions map[rillreach.ZoneID]rillreach.RegionID
	Bounds  Bounds
	// ObjectStoreAddress is the address of the platform's object store.
	ObjectStoreAddress netip.AddrPort
	// CallerAddress and Readiness are the addresses of an entry for callers and for the balancer's question.
	CallerAddress    netip.AddrPort
	ReadinessAddress netip.AddrPort
	// RunnerAddress is the address of the runner on the same instance, Service its service; they are set for an agent.
	RunnerAddress netip.AddrPort
	Service       rillreach.ServiceID
	// FirstPort and LastPort bound the ports for traffic between the system's processes; they are alike everywhere.
	FirstPort uint16
	LastPort  uint16
	// MemoryMB bounds the process's memory, in units of 2^20 bytes.
	MemoryMB int
}

// Check reports all that is wrong with the settings.
func (s *Settings) Check() error {
	var faults error
	add := func(bad bool, what string) {
		if bad {
			faults = errors.Join(faults, errors.New(what))
		}
	}
	add(s.Name == "", "name of the instance is missing")
	add(!s.Host.IsValid(), "address of the instance is missing")
	add(!s.ObjectStoreAddress.IsValid(), "address of the object store is missing")
	add(s.FirstPort == 0 || s.LastPort < s.FirstPort, "range of ports between processes is missing")
	add(s.Bounds.GracePeriod <= 0, "grace period is missing")
	return faults
}
