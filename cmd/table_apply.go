package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/urfave/cli/v3"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/edit"
)

const maxTableFileBytes = 64 << 20

func newTableApply() *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "write the rows of a file, each only if it differs from what is there",
		Flags: tableFlags(
			&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "YAML or JSON file with a list of rows; - is standard input"},
			&cli.BoolFlag{Name: "dry-run", Usage: "only say what would change"},
		),
		Action: runTableApply,
	}
}

func runTableApply(ctx context.Context, c *cli.Command) error {
	client, err := tableClient(c)
	if err != nil {
		return err
	}
	rows, err := readRows(c.String("file"))
	if err != nil {
		return exitError{error: err, code: ExitUsage}
	}
	editor := &edit.Editor{Store: client}
	for _, row := range rows {
		if err := applyRow(ctx, c.Root().Writer, editor, row, c.Bool("dry-run")); err != nil {
			return withConflictExitCode(err)
		}
	}
	return nil
}

func applyRow(ctx context.Context, w io.Writer, editor *edit.Editor, row rillreach.Row, dryRun bool) error {
	current, version, err := editor.Read(ctx, row.Name())
	if err != nil {
		return err
	}
	changes := edit.DescribeChanges(current, row, version > 0)
	if len(changes) == 0 {
		_, _ = fmt.Fprintf(w, "%s: unchanged\n", row.Name())
		return nil
	}
	for _, change := range changes {
		_, _ = fmt.Fprintf(w, "%s: %s\n", row.Name(), change)
	}
	if dryRun {
		return nil
	}
	written, err := editor.Write(ctx, row, version)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "%s: written as version %d\n", row.Name(), written)
	return nil
}

// withConflictExitCode adds ExitConflict and both rows to an edit.ConflictError, and returns other errors unchanged.
func withConflictExitCode(err error) error {
	var conflict *edit.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	return exitError{error: errors.Newf("%s\nours:   %s\ntheirs: %s", err.Error(), formatRow(conflict.Proposed), formatRow(conflict.Current)), code: ExitConflict}
}

func formatRow(row *rillreach.Row) string {
	if row == nil {
		return "(none)"
	}
	data, err := json.Marshal(row)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// readRows reads and validates all rows of a file, so that no row is written if any is invalid.
func readRows(path string) ([]rillreach.Row, error) {
	data, err := readInput(path)
	if err != nil {
		return nil, err
	}
	rows, err := decodeRows(data)
	if err != nil {
		return nil, errors.Wrapf(err, "read rows from %s", path)
	}
	slices.SortFunc(rows, compareRows)
	return rows, nil
}

func readInput(path string) ([]byte, error) {
	if path == "" {
		return nil, errors.New("set a file with --file")
	}
	input := io.Reader(os.Stdin)
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "open file of rows")
		}
		defer file.Close()
		input = file
	}
	data, err := io.ReadAll(io.LimitReader(input, maxTableFileBytes))
	return data, errors.Wrapf(err, "read %s", path)
}

// decodeRows decodes a list of rows from YAML, which includes JSON. It returns the errors of all invalid rows.
func decodeRows(data []byte) ([]rillreach.Row, error) {
	asJSON, err := yaml.YAMLToJSON(data)
	if err != nil {
		return nil, errors.Wrap(err, "parse YAML")
	}
	var raw []json.RawMessage
	if err := json.Unmarshal(asJSON, &raw); err != nil {
		return nil, errors.Wrap(err, "parse list of rows")
	}
	rows := make([]rillreach.Row, len(raw))
	errs := make([]error, len(raw))
	for i := range raw {
		rows[i], errs[i] = rillreach.DecodeRow(raw[i])
	}
	return rows, errors.Join(errs...)
}
