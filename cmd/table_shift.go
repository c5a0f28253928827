package cmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/edit"
	"github.com/rillreach/rillreach/settings"
)

const defaultStep = 10

func newTableShift() *cli.Command {
	return &cli.Command{
		Name:      "shift",
		Usage:     "move a row's weight from one side to the other step by step, each step once the last is in force everywhere",
		ArgsUsage: "account/model/version",
		Flags: tableFlags(
			operatorsFlag(),
			&cli.StringFlag{Name: "from", Value: string(rillreach.SideOld), Usage: "side that loses weight"},
			&cli.StringFlag{Name: "to", Value: string(rillreach.SideNew), Usage: "side that gets it"},
			&cli.IntFlag{Name: "step", Value: defaultStep, Usage: "weight of one step"},
			&cli.IntFlag{Name: "until", Value: rillreach.TotalWeight, Usage: "weight at which to stop"},
			&cli.DurationFlag{Name: "timeout", Value: defaultWait, Usage: "how long a step may take to be in force"},
		),
		Action: runTableShift,
	}
}

func runTableShift(ctx context.Context, c *cli.Command) error {
	editor, name, err := rowEditor(c)
	if err != nil {
		return err
	}
	if err := checkShift(c); err != nil {
		return codedError{error: err, code: ExitUsage}
	}
	for {
		done, err := shiftOnce(ctx, c, editor, strings.Join(name, "/"))
		if err != nil {
			return conflictCode(err)
		}
		if done {
			return nil
		}
	}
}

func checkShift(c *cli.Command) error {
	var faults settings.Validator
	faults.OneOf("from", c.String("from"), string(rillreach.SideOld), string(rillreach.SideNew))
	faults.OneOf("to", c.String("to"), string(rillreach.SideOld), string(rillreach.SideNew))
	if c.String("from") == c.String("to") {
		faults.Addf("to", "is the side that loses weight")
	}
	faults.AtLeast("step", int64(c.Int("step")), 1)
	faults.Required("operators", c.String("operators"))
	return faults.Err()
}

// shiftOnce makes one step and waits until it is in force; it reports whether there is nothing left to move.
func shiftOnce(ctx context.Context, c *cli.Command, editor *edit.Editor, name string) (bool, error) {
	row, version, err := editor.Read(ctx, name)
	if err != nil {
		return false, err
	}
	if version == 0 {
		return false, errors.Newf("row %s does not exist", name)
	}
	to := rillreach.Side(c.String("to"))
	weight := row.Weights.Of(to)
	if weight >= c.Int("until") {
		return true, nil
	}
	weight = min(weight+c.Int("step"), c.Int("until"))
	row.Weights = rillreach.Weights{Old: rillreach.TotalWeight - weight, New: weight}
	if to == rillreach.SideOld {
		row.Weights = rillreach.Weights{Old: weight, New: rillreach.TotalWeight - weight}
	}
	written, err := editor.Write(ctx, row, version)
	if err != nil {
		return false, err
	}
	counted, err := awaitVersion(ctx, c.String("operators"), written, c.Duration("timeout"))
	if err != nil {
		return false, err
	}
	_, _ = fmt.Fprintf(c.Root().Writer, "%s: old %d, new %d, in force at %d processes\n", name, row.Weights.Old, row.Weights.New, counted.InForce)
	return false, nil
}
