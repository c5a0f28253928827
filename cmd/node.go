package cmd

import (
	"context"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/controller/spread"
	"github.com/rillreach/rillreach/node"
	"github.com/rillreach/rillreach/objectstore"
	"github.com/rillreach/rillreach/settings"
	"github.com/rillreach/rillreach/telemetry"
)

const (
	defaultLead   = node.DefaultLead
	defaultGrace  = node.DefaultGrace
	defaultDigest = spread.DefaultDigestEvery
	defaultWatch  = spread.DefaultWatchWait
	minSecret     = 16
)

// nodeSettings are the checked settings of the common part of a process.
type nodeSettings struct {
	platform string
	peer     netip.AddrPort
	ops      netip.AddrPort
}

func checkNode(c *cli.Command, faults *settings.Validator) nodeSettings {
	checkLog(c, faults)
	faults.Required("zone", c.String("zone"))
	if len(c.String("secret")) < minSecret {
		faults.Addf("secret", "has fewer than %d characters", minSecret)
	}
	checkTLS(c, faults)
	faults.AtLeast("digest-every", c.Duration("digest-every").Milliseconds(), 1)
	faults.AtLeast("watch-wait", c.Duration("watch-wait").Milliseconds(), 1)
	return nodeSettings{
		platform: faults.ParseURL("platform", c.String("platform")),
		peer:     faults.ParseAddrPort("peer-listen", c.String("peer-listen")),
		ops:      faults.ParseAddrPort("ops-listen", c.String("ops-listen")),
	}
}

// newNode makes the common part of a process; the instance says what it is beside the common part.
func newNode(c *cli.Command, s nodeSettings, self rillreach.Instance) (*node.Node, error) {
	listener, err := listen(s.peer)
	if err != nil {
		return nil, err
	}
	certificates, err := newTLS(c)
	if err != nil {
		return nil, err
	}
	self.Address = addressOf(listener)
	self.Zone = rillreach.ZoneID(c.String("zone"))
	if self.Incarnation, err = newIncarnation(); err != nil {
		return nil, err
	}
	if self.ID = rillreach.InstanceID(c.String("instance")); self.ID == "" {
		self.ID = rillreach.InstanceID(string(self.Role) + "-" + string(self.Incarnation))
	}
	metrics, err := telemetry.New()
	if err != nil {
		return nil, err
	}
	log := newLog(c).WithValues("instance", self.ID)
	log.Info("listening", "for", "peers", "address", self.Address)
	return &node.Node{
		Self:        self,
		Store:       &objectstore.Client{BaseURL: s.platform},
		TLS:         certificates,
		Metrics:     metrics,
		Listener:    listener,
		Clock:       node.SystemClock(),
		Log:         log,
		Lead:        c.Duration("owner-lead"),
		DigestEvery: c.Duration("digest-every"),
		WatchWait:   c.Duration("watch-wait"),
	}, nil
}

func newIncarnation() (rillreach.Incarnation, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", errors.Wrap(err, "make incarnation")
	}
	return rillreach.Incarnation(id.String()), nil
}

func listen(address netip.AddrPort) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return listener, nil
}

func addressOf(listener net.Listener) netip.AddrPort {
	if tcp, ok := listener.Addr().(*net.TCPAddr); ok {
		return tcp.AddrPort()
	}
	return netip.AddrPort{}
}
