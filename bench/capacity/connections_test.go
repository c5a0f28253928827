package capacity

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/limit"
	"github.com/rillreach/rillreach/peer"
)

func newPool(ctx context.Context, name string) *peer.Pool {
	p := &peer.Pool{
		Self: rillreach.Instance{
			ID: rillreach.InstanceID(name), Role: rillreach.RoleEntry, Incarnation: "1", Address: netip.MustParseAddrPort("127.0.0.1:1"),
		},
		Mux: &peer.Mux{Log: logr.Discard()}, Log: logr.Discard(),
	}
	peer.HandleUnary(p.Mux, peer.MethodSync, func(context.Context, *peer.Conn, fleet.SyncRequest) (fleet.SyncResponse, error) {
		return fleet.SyncResponse{}, nil
	})
	p.Start(ctx)
	return p
}

// BenchmarkConnections is one process's connections to many peers; both ends are in this process, so that each
// connection's figure is twice what one process spends.
func BenchmarkConnections(b *testing.B) {
	for _, count := range []int{50, 200, 800} {
		b.Run(fmt.Sprintf("connections=%d", count), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			dialling, accepting := newPool(ctx, "dials"), newPool(ctx, "accepts")
			addresses := make([]netip.AddrPort, count)
			for i := range addresses {
				server := httptest.NewServer(http.Handler(accepting))
				b.Cleanup(server.Close)
				addresses[i] = netip.MustParseAddrPort(server.Listener.Addr().String())
			}
			before := heap() + stacks()
			for b.Loop() {
				for _, address := range addresses {
					conn, err := dialling.Get(ctx, address)
					require.NoError(b, err)
					_, err = peer.Invoke[fleet.SyncRequest, fleet.SyncResponse](ctx, conn, peer.MethodSync, fleet.SyncRequest{})
					require.NoError(b, err)
				}
			}
			b.ReportMetric(float64(heap()+stacks()-before)/float64(count)/2, "bytes/end")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(count), "us/ask")
		})
	}
}

// BenchmarkLeaseBytes is the size of what an entry and an owner send each other for each row and renewal.
func BenchmarkLeaseBytes(b *testing.B) {
	for _, rows := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("rows=%d", rows), func(b *testing.B) {
			var size int
			for b.Loop() {
				var ask fleet.LeaseRequest
				var leases fleet.LeaseResponse
				for i := range rows {
					demand := limit.Amounts{1.25, 312.5, 2}
					ask.Rows = append(ask.Rows, fleet.RowDemand{Row: fmt.Sprintf("account-%d/model-%d/v1", i, i%37), Demand: demand})
					leases.Granted = append(leases.Granted, demand)
				}
				asked, err := peer.Encode(ask)
				require.NoError(b, err)
				granted, err := peer.Encode(leases)
				require.NoError(b, err)
				size = len(asked) + len(granted)
			}
			b.ReportMetric(float64(size)/float64(rows), "bytes/row")
		})
	}
}
