package deployment

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
)

// WeightVersion is a version number of a model's weights. It starts at one and increases; zero is unknown.
type WeightVersion uint64

// Runner is the platform's record of one run of a backend server.
type Runner struct {
	// ID identifies the runner and Generation its run. A restart keeps the ID and increases the generation.
	ID         rillreach.InstanceID
	Generation rillreach.Generation
	Service    rillreach.ServiceID
	Address    netip.AddrPort
	Zone       rillreach.ZoneID
	Slots      int
	// Revision is the revision of the record's last change.
	Revision rillreach.Revision
	// Leaving reports that the runner is about to stop and accepts no new requests.
	Leaving bool
	// ColdRemaining is how long the runner stays cold (see SlowStart), counted from the time the record was written.
	// ColdUntil is the latest end of that period by the clock of the process that has read the record. Both are zero
	// for a runner that is not cold.
	ColdRemaining time.Duration
	ColdUntil     time.Time
	// Weights maps each loaded model to the version of its weights.
	Weights map[rillreach.ModelID]WeightVersion
	// Software is the version of the runner's software.
	Software SoftwareVersion
}

// Run returns the run that the record describes.
func (r Runner) Run() rillreach.InstanceRun {
	return rillreach.InstanceRun{ID: r.ID, Generation: r.Generation}
}

// maxSlots exceeds the batch size of any engine. A record with more slots is corrupt or forged.
const maxSlots = 1 << 20

// Check reports why the runner can't be used, if it can't.
func (r *Runner) Check() error {
	switch {
	case r.ID == "" || r.Service == "" || r.Zone == "":
		return errors.New("runner lacks an ID, a service or a zone")
	case !r.Address.IsValid() || r.Address.Port() == 0:
		return errors.Newf("runner has invalid address %q", r.Address)
	case r.Address.Addr().IsUnspecified() || r.Address.Addr().IsMulticast():
		return errors.Newf("runner has address %q, which is unspecified or multicast", r.Address)
	case r.Slots < 1 || r.Slots > maxSlots:
		return errors.Newf("runner has an invalid number of slots: %d", r.Slots)
	default:
		return nil
	}
}

// DesiredWeights is the version of a model's weights that the operators last requested.
type DesiredWeights struct {
	Model   rillreach.ModelID `cbor:"1,keyasint"`
	Version WeightVersion     `cbor:"2,keyasint"`
	// Revision is the revision of the stored object that contains the version.
	Revision rillreach.Revision `cbor:"3,keyasint"`
}

// eraShift is the position of the era in a fencing token: the lower bits hold the object store's change counter.
const eraShift = 32

// FencingToken returns the fencing token of orders to load this version. It increases with each change of the stored
// object, even if the object store was restored from a backup and reuses revision numbers.
func (w DesiredWeights) FencingToken() uint64 {
	return (max(w.Revision.Era, 1)-1)<<eraShift + w.Revision.Number
}

// Load is the state that a runner reports about itself.
type Load struct {
	// Generation identifies the run that reports.
	Generation rillreach.Generation
	// Waiting is the number of requests in the runner's queue.
	Waiting int
	// Running is the number of requests that have started.
	Running int
	// AwaitingFirstEvent is the number of running requests that have not produced an event yet.
	AwaitingFirstEvent int
	Weights            map[rillreach.ModelID]WeightVersion
	// LoadingWeights reports that the runner executes an order to load weights, or is about to.
	LoadingWeights bool
	// OrdersTaken is the number of orders that the runner has accepted since its start.
	OrdersTaken uint64
	// UsedTokens is how much of the KV cache's CapacityTokens is in use and cannot be evicted.
	UsedTokens     int
	CapacityTokens int
	Leaving        bool
	// Unresponsive reports that the runner does not answer its agent.
	Unresponsive bool
	// Clock is the time of the report by the clock that all runners share.
	Clock time.Time
}

// maxReportedCount exceeds the number of requests or tokens that any runner can have. A higher report is corrupt or
// forged.
const maxReportedCount = 1 << 30

// Check reports a value that no runner can have.
func (l *Load) Check() error {
	for _, n := range []int{l.Waiting, l.Running, l.AwaitingFirstEvent, l.UsedTokens, l.CapacityTokens} {
		if n < 0 || n > maxReportedCount {
			return errors.Newf("runner reports an invalid count: %d", n)
		}
	}
	if l.AwaitingFirstEvent > l.Running {
		return errors.Newf("runner reports %d requests that await their first event, but only %d running requests", l.AwaitingFirstEvent, l.Running)
	}
	return nil
}
