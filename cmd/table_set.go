package cmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/edit"
)

// unset is the value of a numeric flag that was not set.
const unset = -1

func newTableSet() *cli.Command {
	return &cli.Command{
		Name:      "set",
		Usage:     "change one row; it is made if it does not exist",
		ArgsUsage: "account/model/version",
		Flags: tableFlags(
			&cli.IntFlag{Name: "new", Value: unset, Usage: "weight of the new side; the old side gets the rest of 100"},
			&cli.StringFlag{Name: "objective", Usage: "first-token or recompute"},
			&cli.FloatFlag{Name: "requests-per-second", Value: unset, Usage: "limit of requests a second; 0 takes it away"},
			&cli.IntFlag{Name: "tokens-per-minute", Value: unset, Usage: "limit of tokens a minute; 0 takes it away"},
			&cli.IntFlag{Name: "concurrent", Value: unset, Usage: "limit of requests at once; 0 takes it away"},
		),
		Action: runTableSet,
	}
}

func runTableSet(ctx context.Context, c *cli.Command) error {
	editor, name, err := rowEditor(c)
	if err != nil {
		return err
	}
	row, version, err := editor.Read(ctx, strings.Join(name, "/"))
	if err != nil {
		return err
	}
	if version == 0 {
		row = newRow(name)
	}
	applyRowFlags(c, &row)
	written, err := editor.Write(ctx, row, version)
	if err != nil {
		return withConflictExitCode(err)
	}
	_, _ = fmt.Fprintf(c.Root().Writer, "%s: written as version %d\n", row.Name(), written)
	return nil
}

// rowEditor returns an editor and the parts of the row name in the arguments.
func rowEditor(c *cli.Command) (*edit.Editor, []string, error) {
	client, err := tableClient(c)
	if err != nil {
		return nil, nil, err
	}
	name, err := parseRowName(c)
	if err != nil {
		return nil, nil, exitError{error: err, code: ExitUsage}
	}
	return &edit.Editor{Store: client}, name, nil
}

const rowNameParts = 3

func parseRowName(c *cli.Command) ([]string, error) {
	name := strings.Split(c.Args().First(), "/")
	if c.Args().Len() != 1 || len(name) != rowNameParts {
		return nil, errors.New("expected exactly one row as account/model/version")
	}
	return name, nil
}

func newRow(name []string) rillreach.Row {
	return rillreach.Row{
		Format:    rillreach.RowFormat,
		Account:   rillreach.AccountID(name[0]),
		Model:     rillreach.ModelID(name[1]),
		Version:   rillreach.VersionID(name[2]),
		Weights:   rillreach.Weights{Old: rillreach.TotalWeight},
		Objective: rillreach.ObjectiveFirstToken,
	}
}

// applyRowFlags changes the fields of a row whose flags are set.
func applyRowFlags(c *cli.Command, row *rillreach.Row) {
	if weight := c.Int("new"); weight != unset {
		row.Weights = rillreach.Weights{Old: rillreach.TotalWeight - weight, New: weight}
	}
	if objective := c.String("objective"); objective != "" {
		row.Objective = rillreach.Objective(objective)
	}
	if rate := c.Float("requests-per-second"); rate != unset {
		row.Limits.RequestsPerSecond = rate
	}
	if tokens := c.Int("tokens-per-minute"); tokens != unset {
		row.Limits.TokensPerMinute = int64(tokens)
	}
	if concurrent := c.Int("concurrent"); concurrent != unset {
		row.Limits.ConcurrentRequests = concurrent
	}
}
