package dispatch

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/peer"
)

// silentAgents are the streams of agents that have not said in time that they have a request. One that only stands still may answer yet, so
// that it is kept until another has answered; a connection that is dead ends its streams by itself.
type silentAgents struct {
	streams []*peer.Stream
}

// keep takes a stream over where its agent is silent, and reports whether it did.
func (s *silentAgents) keep(stream *peer.Stream, err error) bool {
	if s == nil || !errors.Is(err, errSilent) {
		return false
	}
	s.streams = append(s.streams, stream)
	return true
}

// close gives all of them up.
func (s *silentAgents) close() {
	for _, stream := range s.streams {
		stream.Close()
	}
}

// awaitSilent has a request answered by an agent that was silent, where no other has taken it; refusal is what the others said.
func (f *Filter) awaitSilent(ctx context.Context, x *rillreach.Exchange, silent *silentAgents, refusal error) error {
	for _, stream := range silent.streams {
		if x.ResponseStarted {
			break
		}
		f.Log.Info("route", "decision", "await-silent", "request", x.Request.ID, "account", x.Request.Account, "cause", refusal.Error())
		if _, err := readAck(ctx, stream); err != nil {
			f.Log.Info("silent agent does not answer", "decision", "refuse", "request", x.Request.ID, "cause", err.Error())
			continue
		}
		err := f.passOn(ctx, x, stream)
		if err == nil {
			return nil
		}
		refusal = ofAll(asRefusal(err), true)
	}
	return refusal
}
