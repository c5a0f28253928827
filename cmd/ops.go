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

// runWithOperatorsServer runs a daemon and, until it ends, the HTTP server for operators.
func runWithOperatorsServer(ctx context.Context, address netip.AddrPort, n *node.Node, run func(context.Context) error) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	n.Log.Info("listening", "for", "operators", "address", listenerAddress(listener))
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg conc.WaitGroup
	wg.Go(func() { ignoreHangups(runCtx, n.Log) })
	wg.Go(func() {
		if err := node.ServeHTTP(runCtx, listener, n.OperatorHandler()); err != nil {
			n.Log.Error(err, "HTTP server for operators failed")
		}
	})
	err = run(ctx)
	cancel()
	wg.Wait()
	return err
}

// ignoreHangups ignores SIGHUP until ctx is done. Operators and terminals send it to make a process reload its
// settings, and its default action would terminate a daemon with requests in progress.
func ignoreHangups(ctx context.Context, log logr.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			log.Info("SIGHUP is ignored: settings are read only at the start", "decision", "reload")
		}
	}
}
