package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
)

const (
	// firstPort and portCount define the range of ports for the processes. It lies below the ephemeral port range, so
	// that no outgoing connection occupies the port of a process that is being restarted.
	firstPort = 12000
	portCount = 20000
)

// nextPort is the offset of the next port to try. It starts at a random offset, since several soaks may run at once.
var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32N(portCount)) }

// freeAddress returns a loopback address with a port that is currently free.
func freeAddress() (string, error) {
	var err error
	for range portCount {
		address := netip.AddrPortFrom(loopback, uint16(firstPort+nextPort.Add(1)%portCount)).String()
		var l net.Listener
		if l, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", err
}
