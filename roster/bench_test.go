package roster

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

// BenchmarkFirstList measures how long the first list of a fleet takes to load, as at the start of each process.
func BenchmarkFirstList(b *testing.B) {
	for _, n := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := make([]deployment.Runner, n)
			for i := range list {
				list[i] = deployment.Runner{
					ID: rillreach.InstanceID(fmt.Sprintf("i-%08x", uint32(i)*2654435761)), Service: "s",
					Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8080),
				}
			}
			for b.Loop() {
				var r Roster
				r.Replace(time.Unix(1000, 0), list, time.Time{})
			}
		})
	}
}
