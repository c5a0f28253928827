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

func tableFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		stringFlag("platform", "http://127.0.0.1:7000", "address of the platform's object API"),
		&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: outputTable, Usage: "form of the output: table, json or yaml"},
	}, more...)
}

// tableClient makes the client that edits the table.
func tableClient(c *cli.Command) (*objectstore.Client, error) {
	var faults settings.Validator
	base := faults.ParseURL("platform", c.String("platform"))
	faults.OneOf("output", c.String("output"), outputTable, outputJSON, outputYAML)
	if err := faults.Err(); err != nil {
		return nil, codedError{error: err, code: ExitUsage}
	}
	return &objectstore.Client{BaseURL: base}, nil
}
