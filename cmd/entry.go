package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/entry"
	"github.com/rillreach/rillreach/settings"
)

func newEntryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "take callers' requests and send them to agents",
		Flags: append(nodeFlags(),
			stringFlag("listen", "127.0.0.1:8080", "address for callers"),
			intFlag("max-body", entry.DefaultMaxBody, "largest body of a request, in bytes"),
			durationFlag("ack-timeout", 0, "how long an agent may take to say that it has a request; 0 means 2s"),
		),
		Action: runEntry,
	}
}

func runEntry(ctx context.Context, c *cli.Command) error {
	var validator settings.Validator
	common := validateNode(c, &validator)
	callers := validator.ParseAddrPort("listen", c.String("listen"))
	validator.AtLeast("max-body", int64(c.Int("max-body")), 1)
	if err := validator.Err(); err != nil {
		return exitError{error: err, code: ExitUsage}
	}
	listener, err := listen(callers)
	if err != nil {
		return err
	}
	n, err := newNode(c, common, rillreach.Instance{Role: rillreach.RoleEntry})
	if err != nil {
		return err
	}
	n.Log.Info("listening", "for", "callers", "address", listenerAddress(listener))
	e := &entry.Entry{
		Node:       n,
		Listener:   listener,
		Secret:     []byte(c.String("secret")),
		MaxBody:    int64(c.Int("max-body")),
		AckTimeout: c.Duration("ack-timeout"),
		Grace:      c.Duration("grace"),
	}
	return runWithOperatorsServer(ctx, common.ops, n, e.Run)
}
