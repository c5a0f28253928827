// Package subscribe reads the bulletins of one agent, over and over, for as long as they are wanted.
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
	// again is a pause after an agent could not be followed.
	again = 400 * time.Millisecond
	// silentMost is how long an agent may be silent before the connection is given up.
	silentMost = 2 * time.Second
)

// Subscription follows one agent; exported fields are set before Run.
type Subscription struct {
	// Pool connects to peers.
	Pool *peer.Pool
	// Agent is the agent's address.
	Agent netip.AddrPort
	// Request says who follows, and what it wants to know.
	Request bulletin.FollowRequest
	// OnBulletin is given each bulletin and when it came.
	OnBulletin func(b *bulletin.Bulletin, now time.Time)
	// Log takes the agent's loss and return.
	Log logr.Logger

	lost bool
}

// Run follows the agent until the context ends.
func (s *Subscription) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.read(ctx)
		if ctx.Err() == nil && !s.lost {
			s.lost = true
			s.Log.Error(err, "dependency lost", "dependency", "agent", "agent", s.Agent)
		}
		pause.For(ctx, again)
	}
}

// read takes bulletins from one connection until it fails.
func (s *Subscription) read(ctx context.Context) error {
	conn, err := inTime(ctx, func(ctx context.Context) (*peer.Conn, error) { return s.Pool.Get(ctx, s.Agent) })
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
	var before bulletin.Bulletin
	for {
		part, err := inTime(ctx, stream.Next)
		if err != nil {
			conn.Close()
			return err
		}
		b, err := peer.Decode[bulletin.Bulletin](part)
		if err != nil {
			return err
		}
		if err := b.FillFrom(&before); err != nil {
			return err
		}
		before = b
		if s.lost {
			s.lost = false
			s.Log.Info("dependency regained", "dependency", "agent", "agent", s.Agent)
		}
		s.OnBulletin(&b, time.Now())
	}
}

// inTime bounds one step of following.
func inTime[T any](ctx context.Context, do func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, silentMost)
	defer cancel()
	return do(ctx)
}
