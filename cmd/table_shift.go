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

const defaultWeightStep = 10

func newTableShift() *cli.Command {
	return &cli.Command{
		Name:      "shift",
		Usage:     "move a row's weight from one side to the other step by step, each step once the last is in force everywhere",
		ArgsUsage: "account/model/version",
		Flags: tableFlags(
			operatorsFlag(),
			&cli.StringFlag{Name: "from", Value: string(rillreach.SideOld), Usage: "side that loses weight"},
			&cli.StringFlag{Name: "to", Value: string(rillreach.SideNew), Usage: "side that gets it"},
			&cli.IntFlag{Name: "step", Value: defaultWeightStep, Usage: "weight of one step"},
			&cli.IntFlag{Name: "until", Value: rillreach.TotalWeight, Usage: "weight at which to stop"},
			&cli.DurationFlag{Name: "timeout", Value: defaultVersionTimeout, Usage: "how long a step may take to be in force"},
		),
		Action: runTableShift,
	}
}

func runTableShift(ctx context.Context, c *cli.Command) error {
	editor, name, err := rowEditor(c)
	if err != nil {
		return err
	}
	if err := validateShift(c); err != nil {
		return exitError{error: err, code: ExitUsage}
	}
	for {
		done, err := shiftStep(ctx, c, editor, strings.Join(name, "/"))
		if err != nil {
			return withConflictExitCode(err)
		}
		if done {
			return nil
		}
	}
}

func validateShift(c *cli.Command) error {
	var validator settings.Validator
	validator.OneOf("from", c.String("from"), string(rillreach.SideOld), string(rillreach.SideNew))
	validator.OneOf("to", c.String("to"), string(rillreach.SideOld), string(rillreach.SideNew))
	if c.String("from") == c.String("to") {
		validator.Addf("to", "is the side that loses weight")
	}
	validator.AtLeast("step", int64(c.Int("step")), 1)
	validator.Required("operators", c.String("operators"))
	return validator.Err()
}

// shiftStep moves one step of weight and waits until the change is in force. If the target weight is already reached,
// it changes nothing and returns true.
func shiftStep(ctx context.Context, c *cli.Command, editor *edit.Editor, name string) (bool, error) {
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
	counts, err := waitForVersion(ctx, c.String("operators"), written, c.Duration("timeout"))
	if err != nil {
		return false, err
	}
	_, _ = fmt.Fprintf(c.Root().Writer, "%s: old %d, new %d, in force at %d processes\n", name, row.Weights.Old, row.Weights.New, counts.InForce)
	return false, nil
}
