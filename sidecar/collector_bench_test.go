package sidecar

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

// BenchmarkOwnedStores measures how long an agent takes to determine which stores it owns, which it does every
// collectInterval.
func BenchmarkOwnedStores(b *testing.B) {
	const runners, stores = 180, 42
	address := func(net, i byte) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, net, 0, i}), 80)
	}
	s := &Sidecar{Settings: &deployment.Settings{RunnerAddress: address(0, 0)}}
	s.state.Log = logr.Discard()
	for i := range runners {
		s.state.Roster.Put(deployment.Runner{ID: rillreach.InstanceID(fmt.Sprintf("i-%010x", i)), Service: "s", Address: address(0, byte(i))})
	}
	config := &deployment.Config{Revision: rillreach.Revision{Number: 1}, Services: map[rillreach.ServiceID]*deployment.Service{"s": {Name: "s"}}}
	for i := range stores {
		name := rillreach.ServiceID(fmt.Sprint("store", i))
		config.Services[name] = &deployment.Service{Name: name, CacheStore: &deployment.CacheStore{Address: address(1, byte(i)), Managed: true}}
	}
	s.state.SetConfig(config)
	c := &collector{sidecar: s}
	for b.Loop() {
		c.ownedAddresses()
	}
}
