package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/peer"
)

const (
	// connectTimeout bounds connecting to a relay, which takes a few milliseconds unless its instance is dead.
	connectTimeout = 400 * time.Millisecond
	// silenceTimeout is how long a relay may be silent: three heartbeats.
	silenceTimeout = 3 * heartbeatInterval
	// roundPause is the pause after all candidates have been tried.
	roundPause = 300 * time.Millisecond
	// reviewInterval is how often a process checks whether another relay precedes its own.
	reviewInterval = 10 * time.Second
	// retryUnreachable is how long a relay that could not be reached is passed over.
	retryUnreachable = time.Second
	// maxUnreachable is how long a process waits for a relay that can be reached before it reads the store itself, and
	// maxOutage how long it waits for one whose copies are current: while the relays can be reached but are not current,
	// the store is most likely down for all. Processes spread up to twice the time, since many of them may have started
	// together.
	maxUnreachable = 3 * time.Second
	maxOutage      = 10 * time.Second
	// ownReadTime is how long a process reads the store itself before it tries the relays again.
	ownReadTime = 5 * time.Second
)

// errPreceded ends the subscription to a relay because another one precedes it.
var errPreceded = errors.New("another relay precedes this one")

// followRelays subscribes to one relay after the other, as each fails, until the context ends.
func (r *Replica) followRelays(ctx context.Context) {
	f := &relayFollower{replica: r, unreachableAt: map[Agent]time.Time{}, lastFresh: time.Now(), patience: 1 + rand.Float64()}
	for ctx.Err() == nil {
		f.tryCandidates(ctx)
		pause.For(ctx, roundPause/2+rand.N(roundPause))
	}
}

// relayFollower is the state of followRelays.
type relayFollower struct {
	replica *Replica
	// unreachableAt is when a candidate last failed without having sent a heartbeat.
	unreachableAt map[Agent]time.Time
	// lastFresh is when the copies were last current. The process reads the store itself after maxUnreachable or
	// maxOutage, times patience.
	lastFresh time.Time
	patience  float64
}

// tryCandidates subscribes to each candidate until it fails. If none can be reached, or none has been current for too
// long, the process reads the store itself for a while.
func (f *relayFollower) tryCandidates(ctx context.Context) {
	r := f.replica
	r.updateAgents()
	reached := false
	for _, candidate := range Candidates(r.Agents(), r.Zone, r.Name) {
		if ctx.Err() != nil {
			return
		}
		if at, ok := f.unreachableAt[candidate]; ok && time.Since(at) < retryUnreachable {
			continue
		}
		if candidate.Address == r.Self {
			f.readStore(ctx, f.untilPreceded(candidate))
			return
		}
		err := f.follow(ctx, candidate)
		if _, followed := r.Relay(); followed && ctx.Err() == nil {
			r.Log.Info("relay left", "decision", "next", "relay", candidate.Address, "zone", candidate.Zone, "cause", err.Error())
		}
		r.setRelay(Agent{})
		if errors.Is(err, errPreceded) {
			return
		}
		_, unreachable := f.unreachableAt[candidate]
		reached = reached || !unreachable
	}
	limit := maxUnreachable
	if reached {
		limit = maxOutage
	}
	if time.Since(f.lastFresh) > time.Duration(f.patience*float64(limit)) {
		f.readStore(ctx, func() bool { return false })
	}
}

// readStore reads the store itself for ownReadTime, and longer as long as the condition holds.
func (f *relayFollower) readStore(ctx context.Context, longer func() bool) {
	release, ok := f.replica.store.acquire()
	if !ok {
		return
	}
	defer release()
	for again := true; again && ctx.Err() == nil; again = longer() {
		pause.For(ctx, ownReadTime)
	}
	f.lastFresh = time.Now()
}

// untilPreceded returns the condition that this process itself is still the first candidate that can be reached.
func (f *relayFollower) untilPreceded(self Agent) func() bool {
	r := f.replica
	return func() bool {
		r.updateAgents()
		candidates := Candidates(r.Agents(), r.Zone, r.Name)
		return len(candidates) > 0 && candidates[0] == self
	}
}

// follow subscribes to one relay until it fails, is not current or another one precedes it.
func (f *relayFollower) follow(ctx context.Context, candidate Agent) error {
	r := f.replica
	f.unreachableAt[candidate] = time.Now()
	stream, err := r.subscribe(ctx, candidate)
	if err != nil {
		return err
	}
	defer stream.Close()
	subscribedAt := time.Now()
	for reviewedAt := subscribedAt; ; {
		if err := r.receive(ctx, stream); err != nil {
			return err
		}
		delete(f.unreachableAt, candidate)
		now := time.Now()
		if r.stale(now, subscribedAt) {
			return errStale
		}
		if _, known := r.Relay(); !known {
			r.Log.Info("relay followed", "decision", "follow", "relay", candidate.Address, "zone", candidate.Zone)
		}
		r.setRelay(candidate)
		f.lastFresh = now
		if now.Sub(reviewedAt) < reviewInterval {
			continue
		}
		reviewedAt = now
		if f.preceded(candidate, now) {
			return errPreceded
		}
	}
}

// preceded reports whether another candidate that may be reachable precedes the given one.
func (f *relayFollower) preceded(candidate Agent, now time.Time) bool {
	r := f.replica
	r.updateAgents()
	for _, other := range Candidates(r.Agents(), r.Zone, r.Name) {
		if other == candidate {
			return false
		}
		if at, ok := f.unreachableAt[other]; !ok || now.Sub(at) >= retryUnreachable {
			return true
		}
	}
	return true
}

// subscribe opens a subscription to a relay.
func (r *Replica) subscribe(ctx context.Context, relay Agent) (*peer.ClientStream, error) {
	connectCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := r.Pool.Get(connectCtx, relay.Address)
	if err != nil {
		return nil, err
	}
	request := Subscribe{Name: r.Name}
	for _, kind := range r.Kinds {
		at, _ := r.copies[kind].position()
		request.Kinds = append(request.Kinds, Position{Kind: kind, After: at})
	}
	body, err := peer.Encode(request)
	if err != nil {
		return nil, err
	}
	return conn.Open(ctx, peer.MethodReplicate, body)
}

// receive applies the next message of a relay. If the relay is silent, its connection is closed.
func (r *Replica) receive(ctx context.Context, stream *peer.ClientStream) error {
	messageCtx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	body, err := stream.NextMessage(messageCtx)
	if err != nil {
		return err
	}
	m, err := peer.Decode[Message](body)
	if err != nil {
		return err
	}
	r.apply(m, time.Now())
	return nil
}

// apply applies a message of a relay.
func (r *Replica) apply(m Message, now time.Time) {
	for _, confirmed := range m.Confirmed {
		if c := r.copies[confirmed.Kind]; c != nil {
			c.confirm(confirmed.At, now.Add(-confirmed.Age))
		}
	}
	c := r.copies[m.Kind]
	if c == nil {
		return
	}
	changes := decodeObjects(m.Objects)
	if !m.Replace {
		c.apply(changes, m.At, time.Time{})
		return
	}
	c.replace(objectsOf(changes), m.At, time.Time{})
}
