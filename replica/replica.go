package replica

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/broadcast"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/platform"
)

// errStale means that no copy of the objects is current enough to be used.
var errStale = errors.New("copy of the store's objects is not current")

// firstCopyTimeout bounds the wait for the first copy of a kind in one call.
const firstCopyTimeout = 2 * time.Second

// Store is the platform's object store.
type Store interface {
	platform.ObjectReader
	// ListStale lists objects that may be seconds old, until onPage returns false.
	ListStale(ctx context.Context, kind string, onPage func(objects []platform.Object) (more bool)) error
}

// Replica keeps a process's copy of the objects of some kinds and implements platform.ObjectReader. Exported fields are
// set before Run.
type Replica struct {
	// Store is the object store.
	Store Store
	// Kinds are the kinds that the process needs. All processes of a deployment need the same.
	Kinds []string
	// Pool connects to peers.
	Pool *peer.Pool
	// Self is this process's own address for peers, Zone its availability zone and Name its name. AgentPort is the port
	// on which agents accept peers.
	Self      netip.AddrPort
	Zone      rillreach.ZoneID
	Name      rillreach.InstanceID
	AgentPort uint16
	// MaxAge is how old a copy may be while it is used.
	MaxAge time.Duration
	// AwaitRunners is how long the process waits for runners to be listed before it takes the deployment for a small
	// one: zero unless all of the deployment is being started.
	AwaitRunners time.Duration
	// Log receives changes of the process's source.
	Log logr.Logger

	initOnce   sync.Once
	decideOnce sync.Once
	// decided is closed once it is known whether the deployment uses relays; relayed then says whether it does.
	decided chan struct{}
	relayed atomic.Bool
	copies  map[string]*kindCopy
	// changed is signalled when any copy changes.
	changed broadcast.Signal
	store   storeFollowers

	mu     sync.Mutex
	agents []Agent
	relay  Agent
	// relayChanged is signalled when the process subscribes to another relay.
	relayChanged broadcast.Signal
}

// controller runs a replica.
type controller struct{ *Replica }

// Name returns the controller's name.
func (c controller) Name() string { return "replicate-store" }

// Controller returns the controller that keeps the copies current.
func (r *Replica) Controller() rillreach.Controller { return controller{r} }

// init prepares the replica for use by concurrent callers.
func (r *Replica) init() {
	r.initOnce.Do(func() {
		r.decided = make(chan struct{})
		r.copies = make(map[string]*kindCopy, len(r.Kinds))
		for _, kind := range r.Kinds {
			r.copies[kind] = &kindCopy{onChange: r.changed.Wake}
		}
		r.store.replica = r
	})
}

// Run keeps the copies current until the context ends.
func (r *Replica) Run(ctx context.Context) error {
	r.init()
	r.store.run(ctx)
	defer r.store.wg.Wait()
	r.decide(ctx)
	if ctx.Err() == nil && r.relayed.Load() {
		r.followRelays(ctx)
	}
	<-ctx.Done()
	return nil
}

// Relayed reports whether the deployment is known to use relays.
func (r *Replica) Relayed() bool { return r.relayed.Load() }

// ReadsStore reports whether the process follows the store itself on behalf of others.
func (r *Replica) ReadsStore() bool { return r.store.active() }

// Relay returns the relay that the process is subscribed to, and false if there is none.
func (r *Replica) Relay() (Agent, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.relay, r.relay.Address.IsValid()
}

// RelayChanged returns a channel that is closed when the result of Relay changes.
func (r *Replica) RelayChanged() <-chan struct{} { return r.relayChanged.Wait() }

func (r *Replica) setRelay(a Agent) {
	r.mu.Lock()
	changed := r.relay != a
	r.relay = a
	r.mu.Unlock()
	if changed {
		r.relayChanged.Wake()
	}
}

// Agents returns the agents of the deployment as far as they are known. It is empty if the deployment uses no relays.
func (r *Replica) Agents() []Agent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.agents
}

func (r *Replica) setAgents(agents []Agent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agents = agents
}

// copyOf returns the copy of a kind, or nil if the process reads the store itself.
func (r *Replica) copyOf(ctx context.Context, kind string) (*kindCopy, error) {
	r.init()
	select {
	case <-r.decided:
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	if !r.relayed.Load() {
		return nil, nil
	}
	c := r.copies[kind]
	if c == nil {
		return nil, errors.Newf("kind %q is not replicated", kind)
	}
	return c, nil
}

// List returns all objects of a kind and their revision.
func (r *Replica) List(ctx context.Context, kind string) ([]platform.Object, rillreach.Revision, error) {
	c, err := r.copyOf(ctx, kind)
	if err != nil {
		return nil, rillreach.Revision{}, err
	}
	if c == nil {
		return r.Store.List(ctx, kind)
	}
	if err := r.awaitFresh(ctx, c); err != nil {
		return nil, rillreach.Revision{}, errors.Wrapf(err, "list %s", kind)
	}
	objects, at := c.list()
	return objects, at, nil
}

// Watch returns the changes of a kind after a revision, and waits for them if there are none yet.
func (r *Replica) Watch(ctx context.Context, kind string, from rillreach.Revision, wait time.Duration) ([]platform.Change, rillreach.Revision, error) {
	c, err := r.copyOf(ctx, kind)
	if err != nil {
		return nil, from, err
	}
	if c == nil {
		return r.Store.Watch(ctx, kind, from, wait)
	}
	deadline := time.Now().Add(wait)
	for {
		changed := c.changed.Wait()
		changes, at, ok := c.since(from)
		if !ok {
			return nil, from, errors.Wrapf(platform.ErrHistoryGone, "watch %s after %s", kind, from)
		}
		if len(changes) > 0 {
			return changes, at, nil
		}
		remaining, fresh := time.Until(deadline), r.MaxAge-c.age(time.Now())
		switch {
		case fresh <= 0:
			return nil, from, errors.Wrapf(errStale, "watch %s", kind)
		case remaining <= 0 || ctx.Err() != nil:
			if from.After(at) {
				at = from
			}
			return nil, at, context.Cause(ctx)
		}
		awaitChange(ctx, changed, min(remaining, fresh))
	}
}

// awaitFresh waits until a copy is current, at most firstCopyTimeout.
func (r *Replica) awaitFresh(ctx context.Context, c *kindCopy) error {
	for deadline := time.Now().Add(firstCopyTimeout); ; {
		changed := c.changed.Wait()
		if c.age(time.Now()) < r.MaxAge {
			return nil
		}
		remaining := time.Until(deadline)
		if remaining <= 0 || ctx.Err() != nil {
			return errors.CombineErrors(context.Cause(ctx), errStale)
		}
		awaitChange(ctx, changed, min(remaining, confirmationPollInterval))
	}
}

// confirmationPollInterval is how often awaitFresh checks whether a copy was confirmed without a change.
const confirmationPollInterval = 100 * time.Millisecond

// awaitChange waits for a signal, at most for the given time.
func awaitChange(ctx context.Context, changed <-chan struct{}, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// stale reports whether any copy has not been current since the given time plus MaxAge.
func (r *Replica) stale(now, since time.Time) bool {
	if now.Sub(since) < r.MaxAge {
		return false
	}
	for _, c := range r.copies {
		if c.age(now) >= r.MaxAge {
			return true
		}
	}
	return false
}
