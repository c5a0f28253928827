package cmd

import (
	"github.com/urfave/cli/v3"

	"github.com/rillreach/rillreach/objectstore"
	"github.com/rillreach/rillreach/settings"
)

func newTableCommand() *cli.Command {
	return &cli.Command{
		Name:  "table",
		Usage: "look at and edit the rows of client accounts and model versions",
		Commands: []*cli.Command{
			newTableApply(),
			newTableGet(),
			newTableSet(),
			newTableKey(),
			newTableValidate(),
			newTableStatus(),
			newTableWait(),
			newTableShift(),
		},
	}
}

func tableFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		stringFlag("platform", "http://127.0.0.1:7000", "address of the platform's object API"),
		&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: outputTable, Usage: "form of the output: table, json or yaml"},
	}, extra...)
}

// tableClient validates the common flags and returns a client of the platform's object API.
func tableClient(c *cli.Command) (*objectstore.Client, error) {
	var validator settings.Validator
	base := validator.ParseURL("platform", c.String("platform"))
	validator.OneOf("output", c.String("output"), outputTable, outputJSON, outputYAML)
	if err := validator.Err(); err != nil {
		return nil, exitError{error: err, code: ExitUsage}
	}
	return &objectstore.Client{BaseURL: base}, nil
}
