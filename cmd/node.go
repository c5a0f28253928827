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
	defaultOwnerLead      = node.DefaultLeadTime
	defaultGrace          = node.DefaultGrace
	defaultDigestInterval = spread.DefaultSyncInterval
	defaultWatchWait      = spread.DefaultWatchTimeout
	minSecretLength       = 16
)

// nodeSettings contains the validated addresses that entries and agents have in common.
type nodeSettings struct {
	platform string
	peer     netip.AddrPort
	ops      netip.AddrPort
}

func validateNode(c *cli.Command, validator *settings.Validator) nodeSettings {
	validateLog(c, validator)
	validator.Required("zone", c.String("zone"))
	if len(c.String("secret")) < minSecretLength {
		validator.Addf("secret", "has fewer than %d characters", minSecretLength)
	}
	validateTLS(c, validator)
	validator.AtLeast("digest-every", c.Duration("digest-every").Milliseconds(), 1)
	validator.AtLeast("watch-wait", c.Duration("watch-wait").Milliseconds(), 1)
	return nodeSettings{
		platform: validator.ParseURL("platform", c.String("platform")),
		peer:     validator.ParseAddrPort("peer-listen", c.String("peer-listen")),
		ops:      validator.ParseAddrPort("ops-listen", c.String("ops-listen")),
	}
}

// newNode creates the node of an entry or agent. self contains the role-specific fields of the instance. newNode sets
// its address, availability zone, incarnation and identifier.
func newNode(c *cli.Command, s nodeSettings, self rillreach.Instance) (*node.Node, error) {
	listener, err := listen(s.peer)
	if err != nil {
		return nil, err
	}
	certificates, err := newTLS(c)
	if err != nil {
		return nil, err
	}
	self.Address = listenerAddress(listener)
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
		Self:           self,
		Store:          &objectstore.Client{BaseURL: s.platform},
		TLS:            certificates,
		Metrics:        metrics,
		Listener:       listener,
		Clock:          node.SystemClock(),
		Log:            log,
		LeadTime:       c.Duration("owner-lead"),
		DigestInterval: c.Duration("digest-every"),
		WatchTimeout:   c.Duration("watch-wait"),
	}, nil
}

func newIncarnation() (rillreach.Incarnation, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", errors.Wrap(err, "generate incarnation")
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

func listenerAddress(listener net.Listener) netip.AddrPort {
	if tcp, ok := listener.Addr().(*net.TCPAddr); ok {
		return tcp.AddrPort()
	}
	return netip.AddrPort{}
}
