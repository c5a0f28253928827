package cmd

import (
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/rillreach/rillreach"
)

func newTableGet() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "show the rows, or those whose name begins with account, account/model or account/model/version",
		ArgsUsage: "[name]",
		Flags:     tableFlags(),
		Action:    runTableGet,
	}
}

func runTableGet(ctx context.Context, c *cli.Command) error {
	client, err := tableClient(c)
	if err != nil {
		return err
	}
	page, err := client.List(ctx, rillreach.KindRow)
	if err != nil {
		return err
	}
	rows, err := decodeRowsByPrefix(page.Objects, c.Args().First())
	if err != nil {
		return err
	}
	return writeRows(c.Root().Writer, c.String("output"), rows)
}

// decodeRowsByPrefix decodes the objects whose name starts with prefix, and sorts the rows by name.
func decodeRowsByPrefix(objects []rillreach.Object, prefix string) ([]rillreach.Row, error) {
	rows := []rillreach.Row{}
	for _, o := range objects {
		if !strings.HasPrefix(o.Name, prefix) {
			continue
		}
		row, err := rillreach.DecodeRow(o.Value)
		if err != nil {
			return nil, errors.Wrapf(err, "decode row %s, which may have been written by another tool", o.Name)
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, compareRows)
	return rows, nil
}

func compareRows(a, b rillreach.Row) int { return strings.Compare(a.Name(), b.Name()) }
