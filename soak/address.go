package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/internal/standin"
)

const (
	// minNetwork and maxNetwork bound the second byte of the loopback addresses of a cluster. The addresses 127.0.x.x
	// are left to other programs.
	minNetwork = 1
	maxNetwork = 254
	// claimPort is held open by the owner of a network.
	claimPort = standin.FirstPort - 1
)

// tagSeparator separates the name of a request from the tag of its cluster.
const tagSeparator = "."

// tagBase is the base in which tags are written.
const tagBase = 36

// network is a range of loopback addresses that belongs to one cluster, so that the processes of clusters that run at
// the same time never reach each other.
type network struct {
	second byte
	claim  net.Listener
	ports  standin.Ports
	// tag distinguishes the request IDs of this cluster from those of all others.
	tag string
}

// claimNetwork reserves a network that no other cluster uses, until release is called or the program ends.
func claimNetwork() (*network, error) {
	const count = maxNetwork - minNetwork + 1
	first := rand.IntN(count)
	var err error
	for i := range count {
		n := &network{second: byte(minNetwork + (first+i)%count), tag: strconv.FormatUint(rand.Uint64(), tagBase)}
		address := netip.AddrPortFrom(n.host(), claimPort).String()
		if n.claim, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", address); err == nil {
			return n, nil
		}
	}
	return nil, errors.Wrap(err, "claim a network")
}

// release lets other clusters use the network.
func (n *network) release() error { return n.claim.Close() }

// address returns a loopback address of the network.
func (n *network) address(third, fourth byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, n.second, third, fourth})
}

// host returns the address of everything that needs no address of its own.
func (n *network) host() netip.Addr { return n.address(0, 1) }

// engineHost returns the address of an engine and its agent.
func (n *network) engineHost(number int) netip.Addr { return n.address(1, byte(number+1)) }

// runnerHost returns the address of a plain runner. Each runner has its own, so that no other process takes its port
// while it is down.
func (n *network) runnerHost(number int) netip.Addr { return n.address(2, byte(number+1)) }

// serverOffset is added to the third byte of a proxy's address.
const serverOffset = 2

// serverHost returns the address of the server behind a proxy. It is another one than the proxy's, whose port must stay free
// while the proxy refuses connections.
func serverHost(proxy netip.AddrPort) netip.Addr {
	address := proxy.Addr().As4()
	address[2] += serverOffset
	return netip.AddrFrom4(address)
}
