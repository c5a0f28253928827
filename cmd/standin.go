package cmd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/standin"
	"github.com/rillreach/rillreach/internal/standin/engine"
	"github.com/rillreach/rillreach/internal/standin/platform"
	"github.com/rillreach/rillreach/internal/standin/service"
	"github.com/rillreach/rillreach/settings"
)

func newStandinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run a small stand-in for an outside system, for tests and trials",
		Commands: []*cli.Command{
			newStandinPlatform(),
			newStandinEngine(),
			newStandinService(),
			newStandinStore(),
		},
	}
}

func standinFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{stringFlag("standin-listen", "127.0.0.1:0", "address to listen on")}, extra...)
}

func newStandinPlatform() *cli.Command {
	return &cli.Command{
		Name:   "platform",
		Usage:  "stand in for the platform's object API",
		Flags:  standinFlags(),
		Action: func(ctx context.Context, c *cli.Command) error { return serveStandin(ctx, c, platform.New()) },
	}
}

func newStandinEngine() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "stand in for a model engine",
		Flags: standinFlags(
			stringFlag("engine-model", "", "model that is loaded"),
			stringFlag("engine-version", "", "weight version that is loaded"),
			intFlag("engine-prefill", 0, "tokens of a prompt computed in a second; 0 means a default"),
			intFlag("engine-cache", 0, "blocks that the prefix cache holds; 0 means a default"),
			durationFlag("engine-token-time", time.Millisecond, "time between two tokens of an answer"),
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			e := &engine.Server{
				Model:         rillreach.ModelID(c.String("engine-model")),
				Version:       rillreach.VersionID(c.String("engine-version")),
				PrefillRate:   float64(c.Int("engine-prefill")),
				CacheBlocks:   c.Int("engine-cache"),
				TokenInterval: c.Duration("engine-token-time"),
			}
			return serveStandin(ctx, c, e.Handler())
		},
	}
}

func newStandinService() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "stand in for a plain service",
		Flags: standinFlags(durationFlag("service-delay", 0, "how long a call runs")),
		Action: func(ctx context.Context, c *cli.Command) error {
			return serveStandin(ctx, c, &service.Server{Delay: c.Duration("service-delay")})
		},
	}
}

func serveStandin(ctx context.Context, c *cli.Command, handler http.Handler) error {
	var validator settings.Validator
	address := validator.ParseAddrPort("standin-listen", c.String("standin-listen"))
	if err := validator.Err(); err != nil {
		return exitError{error: err, code: ExitUsage}
	}
	listener, err := listen(address)
	if err != nil {
		return err
	}
	announceListening(c, listener)
	return standin.Serve(ctx, listener, handler)
}

// announceListening prints the address of a stand-in to standard error, in the format of a log line.
func announceListening(c *cli.Command, listener net.Listener) {
	_, _ = fmt.Fprintf(c.Root().ErrWriter, `{"msg":"listening","for":"standin","address":%q}`+"\n", listener.Addr())
}
