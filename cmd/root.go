package cmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/rillreach/rillreach/settings"
)

// Exit codes of the process.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
)

// Execute runs the command in args, prints its error to standard error, and returns the exit code.
func Execute(version string, args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newRoot(version).Run(ctx, args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "rillreach:", err)
		return exitCode(err)
	}
	return ExitOK
}

func newRoot(version string) *cli.Command {
	return &cli.Command{
		Name:                  "rillreach",
		Usage:                 "serve language-model prompts that return after long gaps",
		Version:               version,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Before:                rejectUnknownEnvironment,
		Commands: []*cli.Command{
			newEntryCommand(),
			newAgentCommand(),
			newTableCommand(),
			newStandinCommand(),
			newCertsCommand(),
			newDemoCommand(),
			newBenchCommand(),
			newSettingsCommand(),
			newPlatformCommand(),
			newExplainCommand(),
		},
	}
}

func rejectUnknownEnvironment(ctx context.Context, c *cli.Command) (context.Context, error) {
	return ctx, settings.RejectUnknownVariables(os.Environ(), environmentVariables(c.Root()))
}

// environmentVariables returns the environment variables of all flags of a command and its subcommands.
func environmentVariables(c *cli.Command) map[string]bool {
	known := map[string]bool{}
	for _, flag := range c.Flags {
		if documented, ok := flag.(cli.DocGenerationFlag); ok {
			for _, name := range documented.GetEnvVars() {
				known[name] = true
			}
		}
	}
	for _, sub := range c.Commands {
		for name := range environmentVariables(sub) {
			known[name] = true
		}
	}
	return known
}

// exitError is an error that sets the exit code of the process.
type exitError struct {
	error
	code int
}

// Unwrap returns the underlying error.
func (e exitError) Unwrap() error { return e.error }

func exitCode(err error) int {
	var coded exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return ExitFailed
}
