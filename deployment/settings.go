package deployment

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
)

// Bounds are the limits that the deployment guarantees to its callers and operators.
type Bounds struct {
	// Recovery is the time after the end of a failure, of an instance or of the object store, within which the instance
	// must meet the other bounds again.
	Recovery time.Duration `json:"Contact"`
	// RunnerDrainDelay is how long requests may still be sent to a runner after it has announced that it is leaving.
	RunnerDrainDelay time.Duration `json:"RunnerStop"`
	// GracePeriod is the time from the termination signal until the process must have exited.
	GracePeriod time.Duration `json:"Grace"`
	// RetryRatio, RetryWindow and RetrySlack limit retries, summed over all entries: within RetryWindow, there are at
	// most RetryRatio times the number of requests, plus RetrySlack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ZoneEvacuation is the time after which an evacuated zone receives no more requests. It is zero if the deployment
	// does not support evacuations.
	ZoneEvacuation time.Duration `json:"Evacuation"`
	// SlowStartFactor and SlowStartSlack limit the requests that a cold runner receives from all entries in any second
	// to its SlowStart.RequestsPerSecond times SlowStartFactor, plus SlowStartSlack.
	SlowStartFactor float64 `json:"SlowStartOver"`
	SlowStartSlack  float64
	// WeightsRollout is the time within which newly requested weights are in use.
	WeightsRollout time.Duration `json:"Weights"`
	// VersionExposure is the share of a service's requests that a bad software version may get during its rollout. It is
	// zero if the deployment does not support rollouts of software.
	VersionExposure float64
}

// Settings are the settings that the platform gives a process at its start. Operators read them, and the bounds, as JSON
// from the command that checks a settings file, so that the JSON names must not change.
type Settings struct {
	Name string
	Zone rillreach.ZoneID
	Host netip.Addr
	// Regions maps availability zones to their regions.
	Regions map[rillreach.ZoneID]rillreach.RegionID
	Bounds  Bounds
	// ObjectStoreAddress is the address of the platform's object store.
	ObjectStoreAddress netip.AddrPort `json:"Store"`
	// CallerAddress is the address on which an entry accepts requests from callers.
	CallerAddress netip.AddrPort `json:"Callers"`
	// ReadinessAddress is the address on which an entry answers the load balancer's readiness probes.
	ReadinessAddress netip.AddrPort `json:"Readiness"`
	// RunnerAddress and Service are the address and the service of the runner on the same instance. They are set only
	// for agents.
	RunnerAddress netip.AddrPort `json:"Runner"`
	Service       rillreach.ServiceID
	// FirstPort and LastPort are the range of ports for internal traffic. It is the same for all processes.
	FirstPort uint16
	LastPort  uint16
	// MemoryMB is the memory limit of the process in MiB.
	MemoryMB int
	// Bootstrap is set if all of the deployment is being started for the first time.
	Bootstrap bool
}

// Check reports all required settings that are missing or invalid.
func (s *Settings) Check() error {
	var errs error
	check := func(invalid bool, message string) {
		if invalid {
			errs = errors.Join(errs, errors.New(message))
		}
	}
	check(s.Name == "", "name of the instance is missing")
	check(!s.Host.IsValid(), "address of the instance is missing")
	check(!s.ObjectStoreAddress.IsValid(), "address of the object store is missing")
	check(s.FirstPort == 0 || s.LastPort < s.FirstPort, "range of ports for internal traffic is missing or invalid")
	check(s.Bounds.GracePeriod <= 0, "grace period is missing")
	return errs
}

// MemoryBytes returns the memory limit of the process in bytes.
func (s *Settings) MemoryBytes() int64 {
	const bytesPerMB = 1 << 20
	return int64(s.MemoryMB) * bytesPerMB
}
