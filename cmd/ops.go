package cmd

import (
	"context"
	"net/netip"

	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach/node"
)

// runWithOps runs a daemon and, beside it, the operators' address.
func runWithOps(ctx context.Context, address netip.AddrPort, n *node.Node, run func(context.Context) error) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	n.Log.Info("listening", "for", "operators", "address", addressOf(listener))
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := node.ServeHTTP(life, listener, n.Operators()); err != nil {
			n.Log.Error(err, "operators' address ended")
		}
	})
	err = run(ctx)
	end()
	wg.Wait()
	return err
}
