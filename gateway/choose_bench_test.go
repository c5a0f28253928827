package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/roster"
)

// benchModel is what the engines of the benchmark serve.
const benchModel = "m"

// beforeEngines is an entry that knows so many engines, each with a report, and a request for one of them.
func beforeEngines(engines int) (*Gateway, *exchange) {
	g := &Gateway{Settings: &deployment.Settings{Zone: "z0"}, Log: logr.Discard()}
	g.line = newLine(g)
	now := time.Now()
	for i := range engines {
		info := deployment.Runner{
			ID: rillreach.InstanceID(fmt.Sprintf("r%d", i)), Service: "s", Zone: rillreach.ZoneID(fmt.Sprintf("z%d", i%3)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
			Weights: map[rillreach.ModelID]deployment.WeightVersion{benchModel: 1},
		}
		g.state.Roster.Put(info)
		load := deployment.Load{Running: i % 7, Unread: i % 2, Used: i * 100 % 60000}
		g.state.Roster.Find(info.ID).SetReport(roster.Report{At: now.Add(time.Hour), Load: load})
	}
	x := &exchange{
		sends: &sends{}, progress: &progress{},
		service: &deployment.Service{Name: "s", Engine: &deployment.Engine{CapacityTokens: 70000, TokenBytes: 18432, LinkBitsPerSecond: 3e11}},
		route:   &deployment.Route{Name: "r", Target: time.Second, Kind: deployment.EventStream},
		config:  &deployment.Config{}, arrived: now, ends: now.Add(10 * time.Second),
	}
	x.wire.Prompt = &deployment.Prompt{Model: benchModel, Tokens: 12000, MaxOut: 200, Parts: []deployment.Part{{ID: "a", Tokens: 500}, {ID: "b", Tokens: 8600}, {ID: "c", Tokens: 2900}}}
	return g, x
}

// BenchmarkDecision is one decision on a prompt, by the number of engines.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{9, 52, 300} {
		b.Run(fmt.Sprintf("%d engines", engines), func(b *testing.B) {
			g, x := beforeEngines(engines)
			now := time.Now()
			b.ReportAllocs()
			for b.Loop() {
				o := g.options(x, now)
				if choice, _ := g.chooseWithRoom(o, nil, 1); choice.Index < 0 {
					b.Fatal("no engine has room")
				}
			}
		})
	}
}
