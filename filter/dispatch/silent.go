package dispatch

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/peer"
)

// unackedStreams are the streams of agents that have not acknowledged a request in time. Such an agent may only be
// stalled and respond later, so its stream stays open until another agent has responded. Streams of a dead connection
// end by themselves.
type unackedStreams struct {
	streams []*peer.ClientStream
}

// add adds the stream if the error is errAckTimeout, and reports whether it did. The caller must not close an added
// stream.
func (s *unackedStreams) add(stream *peer.ClientStream, err error) bool {
	if s == nil || !errors.Is(err, errAckTimeout) {
		return false
	}
	s.streams = append(s.streams, stream)
	return true
}

// close closes all streams.
func (s *unackedStreams) close() {
	for _, stream := range s.streams {
		stream.Close()
	}
}

// awaitUnacked waits for the response of an agent that has not acknowledged the request in time. It is called with
// the refusal of the other attempts if all of them have failed, and returns the last refusal if there is no response.
func (f *Filter) awaitUnacked(ctx context.Context, x *rillreach.Exchange, unacked *unackedStreams, refusal error) error {
	for _, stream := range unacked.streams {
		if x.ResponseStarted {
			break
		}
		f.Log.Info("route", "decision", "await-silent", "request", x.Request.ID, "account", x.Request.Account, "cause", refusal.Error())
		if _, err := readAck(ctx, stream); err != nil {
			f.Log.Info("agent did not respond after its acknowledgement timeout", "decision", "refuse", "request", x.Request.ID, "cause", err.Error())
			continue
		}
		err := f.relayResponse(ctx, x, stream)
		if err == nil {
			return nil
		}
		refusal = overallRefusal(asRefusal(err), true)
	}
	return refusal
}
