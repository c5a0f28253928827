package deployment

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
)

// WeightVersion numbers the weights of a model; it begins at one and rises.
type WeightVersion uint64

// Runner is one run of a backend server, as the platform lists it.
type Runner struct {
	// ID names the runner, Generation its run: a restart keeps the one and raises the other.
	ID         rillreach.InstanceID
	Generation rillreach.Generation
	Service    rillreach.ServiceID
	Address    netip.AddrPort
	Zone       rillreach.ZoneID
	Slots      int
	// Revision is that of the record's last change.
	Revision rillreach.Revision
	// Leaving says that the runner is about to end and takes nothing new.
	Leaving bool
	// ColdRemaining is for how much longer after its record was written the runner bears few requests, and ColdUntil when that ends at the latest, by the
	// clock of the process that has read the record; zero where it doesn't.
	ColdRemaining time.Duration
	ColdUntil     time.Time
	// Weights are the versions of the models that it has loaded.
	Weights map[rillreach.ModelID]WeightVersion
}

// Run is the run that the record is of.
func (r Runner) Run() rillreach.InstanceRun {
	return rillreach.InstanceRun{ID: r.ID, Generation: r.Generation}
}

// mostSlots is more than any engine's batch holds; a record that names more was misread or made up.
const mostSlots = 1 << 20

// Check reports why the runner can't be used.
func (r *Runner) Check() error {
	switch {
	case r.ID == "" || r.Service == "" || r.Zone == "":
		return errors.New("runner has no identifier, service or zone")
	case !r.Address.IsValid() || r.Address.Port() == 0:
		return errors.Newf("runner has address %q", r.Address)
	case r.Address.Addr().IsUnspecified() || r.Address.Addr().IsMulticast():
		return errors.Newf("runner has address %q, which is nobody's", r.Address)
	case r.Slots < 1 || r.Slots > mostSlots:
		return errors.Newf("runner has %d slots", r.Slots)
	default:
		return nil
	}
}

// DesiredWeights is the newest version of a model's weights that the operators want.
type DesiredWeights struct {
	Model   rillreach.ModelID `cbor:"1,keyasint"`
	Version WeightVersion     `cbor:"2,keyasint"`
	// Revision is that of the object which names the version.
	Revision rillreach.Revision `cbor:"3,keyasint"`
}

// eraBits is where in a fencing token the era begins, above the store's counter of changes.
const eraBits = 32

// FencingToken is the fencing token of orders for the version. It grows with each name that is written, also where the store gives revisions out again.
func (w DesiredWeights) FencingToken() uint64 {
	return (max(w.Revision.Era, 1)-1)<<eraBits + w.Revision.Number
}

// Load is what a runner reports of itself.
type Load struct {
	// Generation is that of the run which reports.
	Generation rillreach.Generation
	// Waiting requests have not begun, Running ones have, Unread ones of these have no event yet.
	Waiting            int
	Running            int
	AwaitingFirstEvent int
	Weights            map[rillreach.ModelID]WeightVersion
	// LoadingWeights says that the runner carries out an order, or is about to.
	LoadingWeights bool
	// OrdersTaken is how many orders the runner has taken since its start.
	OrdersTaken uint64
	// UsedTokens is how much of its memory, in tokens, cannot give way, of Capacity.
	UsedTokens     int
	CapacityTokens int
	Leaving        bool
	// Unresponsive says that the runner does not answer its agent.
	Unresponsive bool
	// Clock is the runners' common clock at the time of the report.
	Clock time.Time
}

// mostReported is more requests, or tokens, than any runner can have; a report beyond it was misread or made up.
const mostReported = 1 << 30

// Check reports why the load can't be true.
func (l *Load) Check() error {
	for _, n := range []int{l.Waiting, l.Running, l.AwaitingFirstEvent, l.UsedTokens, l.CapacityTokens} {
		if n < 0 || n > mostReported {
			return errors.Newf("runner reports a number of %d", n)
		}
	}
	if l.AwaitingFirstEvent > l.Running {
		return errors.Newf("runner reports %d unread requests of %d", l.AwaitingFirstEvent, l.Running)
	}
	return nil
}
