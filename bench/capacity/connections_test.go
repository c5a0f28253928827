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

// newPool returns a pool of peer connections that answers the sync method with an empty response.
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

// BenchmarkConnections measures the connections of one process to many peers. Both ends are in this process, so the
// memory is divided by two.
func BenchmarkConnections(b *testing.B) {
	for _, count := range []int{50, 200, 800} {
		b.Run(fmt.Sprintf("connections=%d", count), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			client, server := newPool(ctx, "dials"), newPool(ctx, "accepts")
			addresses := make([]netip.AddrPort, count)
			for i := range addresses {
				listener := httptest.NewServer(http.Handler(server))
				b.Cleanup(listener.Close)
				addresses[i] = netip.MustParseAddrPort(listener.Listener.Addr().String())
			}
			before := heapInUse() + stackInUse()
			for b.Loop() {
				for _, address := range addresses {
					conn, err := client.Get(ctx, address)
					require.NoError(b, err)
					_, err = peer.Invoke[fleet.SyncRequest, fleet.SyncResponse](ctx, conn, peer.MethodSync, fleet.SyncRequest{})
					require.NoError(b, err)
				}
			}
			b.ReportMetric(float64(heapInUse()+stackInUse()-before)/float64(count)/2, "bytes/end")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(count), "us/ask")
		})
	}
}

// BenchmarkLeaseBytes measures the size of the messages between an entry and an owner per row and lease renewal.
func BenchmarkLeaseBytes(b *testing.B) {
	for _, rows := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("rows=%d", rows), func(b *testing.B) {
			var size int
			for b.Loop() {
				var request fleet.LeaseRequest
				var response fleet.LeaseResponse
				for i := range rows {
					demand := limit.Amounts{1.25, 312.5, 2}
					request.Rows = append(request.Rows, fleet.RowDemand{Row: fmt.Sprintf("account-%d/model-%d/v1", i, i%37), Demand: demand})
					response.Granted = append(response.Granted, demand)
				}
				encodedRequest, err := peer.Encode(request)
				require.NoError(b, err)
				encodedResponse, err := peer.Encode(response)
				require.NoError(b, err)
				size = len(encodedRequest) + len(encodedResponse)
			}
			b.ReportMetric(float64(size)/float64(rows), "bytes/row")
		})
	}
}
