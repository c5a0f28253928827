// Package subscribe receives the bulletins of one agent, and reconnects when the stream breaks.
package subscribe

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/peer"
)

const (
	// retryDelay is the pause before reconnecting to an agent.
	retryDelay = 400 * time.Millisecond
	// silenceTimeout bounds connecting to the agent and the wait for each bulletin.
	silenceTimeout = 2 * time.Second
)

// Subscription follows one agent. Exported fields are set before Run.
type Subscription struct {
	// Pool connects to peers.
	Pool *peer.Pool
	// Agent is the agent's address.
	Agent netip.AddrPort
	// Request identifies the follower and selects the content of the bulletins.
	Request bulletin.FollowRequest
	// OnBulletin is called with each bulletin and the time of its arrival.
	OnBulletin func(b *bulletin.Bulletin, now time.Time)
	// Log receives a line when the agent becomes unavailable and when it is available again.
	Log logr.Logger

	lost bool
}

// Run follows the agent until the context ends.
func (s *Subscription) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.readBulletins(ctx)
		if ctx.Err() == nil && !s.lost {
			s.lost = true
			s.Log.Error(err, "dependency lost", "dependency", "agent", "agent", s.Agent)
		}
		pause.For(ctx, retryDelay)
	}
}

// readBulletins reads bulletins from one stream until it fails.
func (s *Subscription) readBulletins(ctx context.Context) error {
	conn, err := withTimeout(ctx, func(ctx context.Context) (*peer.Conn, error) { return s.Pool.Get(ctx, s.Agent) })
	if err != nil {
		return err
	}
	body, err := peer.Encode(s.Request)
	if err != nil {
		return err
	}
	stream, err := conn.Open(ctx, peer.MethodFollow, body)
	if err != nil {
		return err
	}
	defer stream.Close()
	var previous bulletin.Bulletin
	for {
		part, err := withTimeout(ctx, stream.Next)
		if err != nil {
			if ctx.Err() == nil { // the connection is of no use if the agent is silent
				conn.Close()
			}
			return err
		}
		b, err := peer.Decode[bulletin.Bulletin](part)
		if err != nil {
			return err
		}
		if err := b.FillFrom(&previous); err != nil {
			return err
		}
		previous = b
		if s.lost {
			s.lost = false
			s.Log.Info("dependency regained", "dependency", "agent", "agent", s.Agent)
		}
		s.OnBulletin(&b, time.Now())
	}
}

// withTimeout calls do with a context that is limited to silenceTimeout.
func withTimeout[T any](ctx context.Context, do func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	return do(ctx)
}
