package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/controller/follow"
	"github.com/rillreach/rillreach/platform"
)

const (
	// The wait of a relay's watches is drawn between these fractions of MaxAge, so that the copy is confirmed in time and
	// relays do not fall into step.
	minWatchFraction = 0.5
	maxWatchFraction = 0.7
	// coalesceFraction of MaxAge is the pause between watches, so that changes in quick succession cost one call.
	coalesceFraction = 0.15
	// storeLinger is how long a process goes on following the store after the last need for it, so that a subscriber
	// that reconnects finds the copies current.
	storeLinger = 5 * time.Second
)

// storeFollowers keep the copies current from the store itself while anybody needs that.
type storeFollowers struct {
	replica *Replica
	ctx     context.Context
	wg      conc.WaitGroup

	mu    sync.Mutex
	users int
	stop  context.CancelFunc
	timer *time.Timer
}

// acquire starts the followers unless they run, and returns the function that ends the need for them. It fails if the
// process does not run.
func (f *storeFollowers) acquire() (release func(), ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ctx == nil || f.ctx.Err() != nil {
		return nil, false
	}
	f.users++
	if f.timer != nil {
		f.timer.Stop()
	}
	if f.stop == nil {
		f.start()
	}
	return sync.OnceFunc(f.release), true
}

// start starts a follower for each kind. The lock must be held.
func (f *storeFollowers) start() {
	r := f.replica
	ctx, stop := context.WithCancel(f.ctx)
	f.stop = stop
	r.Log.Info("objects are read from the store", "decision", "relay", "kinds", len(r.Kinds))
	for _, kind := range r.Kinds {
		c := r.storeController(kind)
		f.wg.Go(func() { _ = c.Run(ctx) }) // it returns no error
	}
}

func (f *storeFollowers) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.users--; f.users == 0 {
		f.timer = time.AfterFunc(storeLinger, f.stopIfUnused)
	}
}

func (f *storeFollowers) stopIfUnused() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.users == 0 && f.stop != nil {
		f.stop()
		f.stop = nil
		f.replica.Log.Info("objects are no longer read from the store", "decision", "relay")
	}
}

// run lets the followers run until the context ends.
func (f *storeFollowers) run(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ctx = ctx
}

// active reports whether the process follows the store itself.
func (f *storeFollowers) active() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stop != nil
}

// positionReader reads from the store and remembers the revision of the last response.
type positionReader struct {
	platform.ObjectReader
	at rillreach.Revision
}

// List implements platform.ObjectReader.
func (p *positionReader) List(ctx context.Context, kind string) ([]platform.Object, rillreach.Revision, error) {
	objects, at, err := p.ObjectReader.List(ctx, kind)
	if err == nil {
		p.at = at
	}
	return objects, at, err
}

// Watch implements platform.ObjectReader.
func (p *positionReader) Watch(ctx context.Context, kind string, from rillreach.Revision, wait time.Duration) ([]platform.Change, rillreach.Revision, error) {
	changes, at, err := p.ObjectReader.Watch(ctx, kind, from, wait)
	if err == nil {
		p.at = at
	}
	return changes, at, err
}

// storeController returns a controller that keeps the copy of a kind in sync with the store.
func (r *Replica) storeController(kind string) *follow.Controller[platform.Object] {
	reader := &positionReader{ObjectReader: r.Store}
	c := r.copies[kind]
	var pending []platform.Change
	return &follow.Controller[platform.Object]{
		Kind: kind, Source: platform.Objects(reader, kind), Log: r.Log,
		PaceOverride: r.storePace,
		OnListed: func(all []rillreach.Update[platform.Object], _ time.Time) {
			objects := make([]platform.Object, len(all))
			for i, u := range all {
				objects[i] = objectOf(u)
			}
			c.replace(objects, reader.at, time.Now())
		},
		OnChanged: func(u rillreach.Update[platform.Object], _ time.Time) {
			pending = append(pending, platform.Change{Deleted: u.Deleted, Object: objectOf(u)})
		},
		OnConfirmed: func() {
			c.apply(pending, reader.at, time.Now())
			pending = nil
		},
	}
}

// storePace returns the pace at which a process that reads the store itself follows it.
func (r *Replica) storePace() (follow.Pace, bool) {
	fraction := minWatchFraction + rand.Float64()*(maxWatchFraction-minWatchFraction)
	return follow.Pace{
		WatchTimeout:  time.Duration(fraction * float64(r.MaxAge)),
		CoalesceDelay: time.Duration(coalesceFraction * float64(r.MaxAge)),
	}, true
}

// objectOf returns the object of an update, which may be a deleted or an invalid one.
func objectOf(u rillreach.Update[platform.Object]) platform.Object {
	o := u.Value
	o.Metadata.Name, o.Metadata.Revision, o.Era, o.Err = u.Name, u.Revision.Number, u.Revision.Era, u.Err
	return o
}
