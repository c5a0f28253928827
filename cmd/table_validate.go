package cmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

func newTableValidate() *cli.Command {
	return &cli.Command{
		Name:  "validate",
		Usage: "check a file of rows and write nothing",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "YAML or JSON file with a list of rows; - is standard input"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			rows, err := readRows(c.String("file"))
			if err != nil {
				return exitError{error: err, code: ExitUsage}
			}
			_, _ = fmt.Fprintf(c.Root().Writer, "%d rows are valid\n", len(rows))
			return nil
		},
	}
}
