package subscribe

import (
	"context"
	"net/netip"
	"time"

	"github.com/rillreach/rillreach/digest"
	"github.com/rillreach/rillreach/peer"
)

// Digests reads the digests of one relay until the subscription fails, the relay is silent or the context ends.
func Digests(ctx context.Context, pool *peer.Pool, relay netip.AddrPort, request digest.Subscribe, onDigest func(d *digest.Digest, now time.Time)) error {
	conn, err := withTimeout(ctx, func(ctx context.Context) (*peer.Conn, error) { return pool.Get(ctx, relay) })
	if err != nil {
		return err
	}
	body, err := peer.Encode(request)
	if err != nil {
		return err
	}
	stream, err := conn.Open(ctx, peer.MethodDigest, body)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		message, err := withTimeout(ctx, stream.NextMessage)
		if err != nil {
			return err
		}
		d, err := peer.Decode[digest.Digest](message)
		if err != nil {
			return err
		}
		onDigest(&d, time.Now())
	}
}
