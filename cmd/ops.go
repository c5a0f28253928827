package cmd

import (
	"context"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
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
	wg.Go(func() { takeHangUps(life, n.Log) })
	wg.Go(func() {
		if err := node.ServeHTTP(life, listener, n.OperatorHandler()); err != nil {
			n.Log.Error(err, "operators' address ended")
		}
	})
	err = run(ctx)
	end()
	wg.Wait()
	return err
}

// takeHangUps keeps SIGHUP, with which operators and terminals tell a process to read its settings again, from ending a daemon
// under its requests.
func takeHangUps(ctx context.Context, log logr.Logger) {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	defer signal.Stop(hangUps)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUps:
			log.Info("SIGHUP is ignored: settings are read only at the start", "decision", "reload")
		}
	}
}
