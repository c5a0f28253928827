package replica

import (
	"context"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/peer"
)

// heartbeatInterval is how often a relay tells its subscribers how current its copies are.
const heartbeatInterval = 500 * time.Millisecond

// Serve sends the copies and their changes to one subscriber until it disconnects. The process follows the store itself
// meanwhile.
func (r *Replica) Serve(ctx context.Context, call *peer.ServerStream) error {
	request, err := peer.Decode[Subscribe](call.Body)
	if err != nil {
		return rillreach.NotRun(rillreach.ReasonBadRequest, err.Error())
	}
	r.init()
	r.setDecided(true) // the subscriber knows enough agents, even if this process does not yet
	for _, p := range request.Kinds {
		if r.copies[p.Kind] == nil {
			return rillreach.NotRun(rillreach.ReasonBadRequest, "kind is not replicated: "+p.Kind)
		}
	}
	release, ok := r.store.acquire()
	if !ok {
		return rillreach.NotRun(rillreach.ReasonBadRequest, "agent is starting or stopping")
	}
	defer release()
	r.Log.Info("subscriber connected", "decision", "relay", "subscriber", request.Name)
	defer r.Log.Info("subscriber disconnected", "decision", "relay", "subscriber", request.Name)
	return r.serve(ctx, call, request.Kinds)
}

// serve sends the changes after the given positions, and heartbeats.
func (r *Replica) serve(ctx context.Context, call *peer.ServerStream, positions []Position) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for heartbeat := true; ctx.Err() == nil; {
		changed := r.changed.Wait()
		for i := range positions {
			p := &positions[i]
			message, at, err := r.copies[p.Kind].message(p.Kind, p.After, peer.Encode[Message])
			if err != nil {
				return err
			}
			if message == nil {
				continue
			}
			if err := call.SendMessage(ctx, message); err != nil {
				return err
			}
			p.After = at
		}
		if heartbeat {
			if err := r.sendHeartbeat(ctx, call, positions); err != nil {
				return err
			}
		}
		heartbeat = false
		select {
		case <-ctx.Done():
		case <-changed:
		case <-ticker.C:
			heartbeat = true
		}
	}
	return nil
}

// sendHeartbeat tells a subscriber how current the copies are, up to what it has been sent.
func (r *Replica) sendHeartbeat(ctx context.Context, call *peer.ServerStream, positions []Position) error {
	now := time.Now()
	m := Message{Confirmed: make([]Confirmation, 0, len(positions))}
	for _, p := range positions {
		if at, confirmedAt := r.copies[p.Kind].position(); !confirmedAt.IsZero() && at == p.After {
			m.Confirmed = append(m.Confirmed, Confirmation{Kind: p.Kind, At: at, Age: max(0, now.Sub(confirmedAt))})
		}
	}
	body, err := peer.Encode(m)
	if err != nil {
		return err
	}
	return call.SendMessage(ctx, body)
}
