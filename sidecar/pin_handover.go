package sidecar

import (
	"context"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/pinning"
)

// handoverTimeout bounds how long the agent's exit waits for the handover.
const handoverTimeout = 500 * time.Millisecond

// pinHandover hands the records of streams to other agents when this one shuts down: the entries that made them may have
// ended, and agents are often stopped one after the other.
type pinHandover struct {
	sidecar *Sidecar
	self    rillreach.Instance
}

// Name returns the controller's name.
func (h *pinHandover) Name() string { return "hand-over-streams" }

// Run waits until the context is cancelled, and then hands the records over.
func (h *pinHandover) Run(ctx context.Context) error {
	<-ctx.Done()
	if records := h.sidecar.pins.Records(time.Now()); len(records) > 0 {
		h.handOver(records)
	}
	return nil
}

// handOver sends the records to the agents that hold them in place of this one, and to others if these cannot be reached.
// The connections are new, since those of the agent end with its context.
func (h *pinHandover) handOver(records []pinning.Record) {
	s := h.sidecar
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	pool := &peer.Pool{Self: h.self, Mux: &peer.Mux{Log: s.Log}, Log: s.Log}
	pool.Start(ctx)
	var distribution pinning.Distribution
	distribution.SetPlacement(pinning.NewPlacement(s.otherAgents()))
	for _, r := range records {
		distribution.Add(time.Now(), r)
	}
	reports := 0
	for due := distribution.Due(time.Now()); len(due) > 0 && ctx.Err() == nil; due = distribution.Due(time.Now()) {
		reports += len(due)
		var wg conc.WaitGroup
		for address, report := range due {
			wg.Go(func() { h.send(ctx, pool, &distribution, address, report) })
		}
		wg.Wait()
	}
	s.Log.Info("streams handed over", "decision", "tell", "streams", len(records), "reports", reports, "unreplicated", distribution.Unreplicated())
}

// send sends a report to one agent.
func (h *pinHandover) send(ctx context.Context, pool *peer.Pool, distribution *pinning.Distribution, address netip.AddrPort, report pinning.Report) {
	conn, err := pool.Get(ctx, address)
	if err == nil {
		_, err = peer.Invoke[pinning.Report, pinning.Receipt](ctx, conn, peer.MethodReportPins, report)
	}
	if err != nil {
		distribution.Failed(time.Now(), address)
		h.sidecar.Log.Info("cannot hand over streams", "decision", "retry", "agent", address, "cause", err.Error())
		return
	}
	distribution.Delivered(address, report)
}

// otherAgents returns the agents of the other engines that are not leaving.
func (s *Sidecar) otherAgents() []pinning.Replica {
	config := s.state.Config()
	if config == nil {
		return nil
	}
	var agents []pinning.Replica
	for name, service := range config.Services {
		if service.Engine == nil {
			continue
		}
		for _, r := range s.state.Roster.ByService(name) {
			info := r.Info()
			if address := netip.AddrPortFrom(info.Address.Addr(), s.Settings.FirstPort); !info.Leaving && info.Address != s.Settings.RunnerAddress {
				agents = append(agents, pinning.Replica{Address: address, Zone: info.Zone})
			}
		}
	}
	return agents
}
