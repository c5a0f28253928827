package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
)

const (
	// firstPort and portCount bound the ports that processes are given: below those from which the system takes the ports of
	// outgoing connections, so that none of these is in the way of a process that starts again.
	firstPort = 12000
	portCount = 20000
)

// nextPort runs through the ports from a place of its own for each soak, since several may run at once.
var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32N(portCount)) }

// freeAddress returns an address of loopback for a process that listens later.
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
