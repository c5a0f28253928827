package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// secretFlags contains the flags whose values are never printed.
var secretFlags = []string{"secret", "tls-key"}

const hiddenValue = "(hidden)"

func newSettingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "print the settings that a daemon would run with, and where each comes from",
		Commands: []*cli.Command{
			printSettingsCommand(newEntryCommand()),
			printSettingsCommand(newAgentCommand()),
			{Name: "doc", Usage: "print the page of all settings", Action: func(_ context.Context, c *cli.Command) error {
				return writeSettingsPage(c.Root().Writer)
			}},
		},
	}
}

// printSettingsCommand changes the command of a daemon to print its settings instead of running the daemon.
func printSettingsCommand(daemon *cli.Command) *cli.Command {
	daemon.Usage = "print the settings of " + daemon.Name
	daemon.Action = func(_ context.Context, c *cli.Command) error { return printSettings(c) }
	return daemon
}

func printSettings(c *cli.Command) error {
	tab := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tab, "SETTING\tVALUE\tFROM")
	for _, flag := range c.Flags {
		name := flag.Names()[0]
		if documented, ok := flag.(cli.DocGenerationFlag); ok {
			_, _ = fmt.Fprintf(tab, "%s\t%s\t%s\n", name, displayValue(c, name), valueSource(c, name, documented.GetEnvVars()))
		}
	}
	return errors.Wrap(tab.Flush(), "write settings")
}

func displayValue(c *cli.Command, name string) string {
	value := fmt.Sprint(c.Value(name))
	if value != "" && slices.Contains(secretFlags, name) {
		return hiddenValue
	}
	return value
}

// valueSource returns where the value of a setting comes from. An explicit flag overrides the environment.
func valueSource(c *cli.Command, name string, variables []string) string {
	if !c.IsSet(name) {
		return "default"
	}
	for _, arg := range os.Args {
		if arg == "--"+name || strings.HasPrefix(arg, "--"+name+"=") {
			return "flag"
		}
	}
	return "environment " + strings.Join(variables, ", ")
}

// writeSettingsPage writes the content of docs/SETTINGS.md. A test checks that the committed file is up to date.
func writeSettingsPage(w io.Writer) error {
	_, _ = fmt.Fprint(w, "# Settings\n\nEach setting is a flag and an environment variable; the flag goes first. `rillreach settings entry` and\n"+
		"`rillreach settings agent` print what is in force. This page is what `rillreach settings doc` prints.\n")
	onPlatform := &cli.Command{Name: "platform entry, rillreach platform agent", Flags: platformFlags()}
	for _, daemon := range []*cli.Command{newEntryCommand(), newAgentCommand(), onPlatform} {
		_, _ = fmt.Fprintf(w, "\n## rillreach %s\n\n| flag | variable | default | meaning |\n|---|---|---|---|\n", daemon.Name)
		for _, flag := range daemon.Flags {
			documented, ok := flag.(cli.DocGenerationFlag)
			if !ok {
				continue
			}
			_, _ = fmt.Fprintf(w, "| `--%s` | `%s` | %s | %s |\n", flag.Names()[0], strings.Join(documented.GetEnvVars(), ", "),
				displayDefault(documented.GetValue()), documented.GetUsage())
		}
	}
	return nil
}

func displayDefault(value string) string {
	if value == "" {
		return ""
	}
	return "`" + value + "`"
}
