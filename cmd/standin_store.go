package cmd

import (
	"context"

	"github.com/sourcegraph/conc/pool"
	"github.com/urfave/cli/v3"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/controller/register"
	"github.com/rillreach/rillreach/internal/standin"
	"github.com/rillreach/rillreach/internal/standin/store"
	"github.com/rillreach/rillreach/objectstore"
	"github.com/rillreach/rillreach/settings"
)

const (
	defaultStoreMemory = 256 << 20
	defaultStoreDisk   = 1 << 30
)

func newStandinStore() *cli.Command {
	return &cli.Command{
		Name:  "store",
		Usage: "stand in for a store instance, and list it in the platform",
		Flags: standinFlags(append(logFlags(),
			stringFlag("platform", "http://127.0.0.1:7000", "address of the platform's object API"),
			stringFlag("side", string(rillreach.SideOld), "side of this instance: old or new"),
			stringFlag("zone", "local", "availability zone of this instance"),
			intFlag("store-memory", defaultStoreMemory, "room in memory, in bytes"),
			intFlag("store-disk", defaultStoreDisk, "room on disk, in bytes"),
		)...),
		Action: runStandinStore,
	}
}

func runStandinStore(ctx context.Context, c *cli.Command) error {
	var validator settings.Validator
	validateLog(c, &validator)
	base := validator.ParseURL("platform", c.String("platform"))
	address := validator.ParseAddrPort("standin-listen", c.String("standin-listen"))
	validator.OneOf("side", c.String("side"), string(rillreach.SideOld), string(rillreach.SideNew))
	if err := validator.Err(); err != nil {
		return exitError{error: err, code: ExitUsage}
	}
	listener, err := listen(address)
	if err != nil {
		return err
	}
	incarnation, err := newIncarnation()
	if err != nil {
		return err
	}
	self := rillreach.Instance{
		ID:          rillreach.InstanceID("store-" + string(incarnation)),
		Role:        rillreach.RoleStore,
		Incarnation: incarnation,
		Address:     listenerAddress(listener),
		Zone:        rillreach.ZoneID(c.String("zone")),
		Side:        rillreach.Side(c.String("side")),
	}
	announceListening(c, listener)
	log := newLog(c)
	group := pool.New().WithContext(ctx).WithCancelOnError()
	group.Go((&register.Controller{Self: self, Store: &objectstore.Client{BaseURL: base}, Log: log}).Run)
	group.Go(func(ctx context.Context) error {
		return standin.Serve(ctx, listener, store.New(int64(c.Int("store-memory")), int64(c.Int("store-disk"))))
	})
	return group.Wait()
}
