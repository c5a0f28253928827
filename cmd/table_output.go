package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/rillreach/rillreach"
)

// Output formats of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
	outputYAML  = "yaml"
)

// writeRows writes rows in the given output format.
func writeRows(w io.Writer, format string, rows []rillreach.Row) error {
	switch format {
	case outputJSON:
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return errors.Wrap(enc.Encode(rows), "write rows as JSON")
	case outputYAML:
		data, err := yaml.MarshalWithOptions(rows, yaml.UseJSONMarshaler())
		if err != nil {
			return errors.Wrap(err, "write rows as YAML")
		}
		_, err = w.Write(data)
		return err
	default:
		return writeRowTable(w, rows)
	}
}

func writeRowTable(w io.Writer, rows []rillreach.Row) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tab, "ACCOUNT\tMODEL\tVERSION\tOLD\tNEW\tOBJECTIVE\tREQ/S\tTOKENS/MIN\tCONCURRENT\tKEPT BYTES\tKEYS")
	for _, r := range rows {
		_, _ = fmt.Fprintf(tab, "%s\t%s\t%s\t%d\t%d\t%s\t%g\t%d\t%d\t%d\t%d\n", r.Account, r.Model, r.Version, r.Weights.Old,
			r.Weights.New, r.Objective, r.Limits.RequestsPerSecond, r.Limits.TokensPerMinute, r.Limits.ConcurrentRequests,
			r.Limits.StoredBytes, len(r.Credentials))
	}
	return errors.Wrap(tab.Flush(), "write rows")
}
