package pinning_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/pinning"
)

// BenchmarkRecord measures what the record of one stream costs the entry and its replicas together, without the network:
// with one record in each message, as while runners of two software versions serve, and with several, as with one version.
func BenchmarkRecord(b *testing.B) {
	for name, perMessage := range map[string]int{"two versions": 1, "one version": 9} {
		b.Run(name, func(b *testing.B) {
			var own, replica pinning.Table
			var distribution pinning.Distribution
			distribution.SetPlacement(pinning.NewPlacement(replicas(18)))
			now, sentBytes, n := time.Now(), 0, 0
			b.ReportAllocs()
			for b.Loop() {
				n++
				now = now.Add(time.Second / 10)
				record := pinning.Record{
					Stream: pinning.Stream{Account: "jeye930", Request: rillreach.RequestID(fmt.Sprintf("%016x", n))}, Pin: pinning.Pin{Service: "counter-llm", Software: "v1.1"}, Left: 14 * time.Second,
				}
				own.Put(now, record)
				distribution.Add(now, record)
				if n%perMessage != 0 {
					continue
				}
				for address, report := range distribution.Due(now) {
					body, err := peer.Encode(report)
					require.NoError(b, err)
					sentBytes += len(body)
					received, err := peer.Decode[pinning.Report](body)
					require.NoError(b, err)
					for _, r := range received.Records {
						replica.Put(now, r)
					}
					distribution.Delivered(address, report)
				}
			}
			b.ReportMetric(float64(sentBytes)/float64(n), "sent-B/record")
		})
	}
}

func replicas(n int) []pinning.Replica {
	all := make([]pinning.Replica, n)
	for i := range all {
		all[i] = pinning.Replica{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000), Zone: rillreach.ZoneID(fmt.Sprint("z", i%3))}
	}
	return all
}
