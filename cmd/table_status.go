package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/fleet"
	"github.com/rillreach/rillreach/objectstore"
)

const (
	waitPoll    = 200 * time.Millisecond
	defaultWait = 30 * time.Second
	maxStatus   = 1 << 20
)

func operatorsFlag() cli.Flag {
	return &cli.StringFlag{Name: "operators", Usage: "operators' address of any process of the system, such as http://127.0.0.1:9000"}
}

func newTableStatus() *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "show how many processes have the newest rows in force",
		Flags:  tableFlags(operatorsFlag()),
		Action: runTableStatus,
	}
}

func newTableWait() *cli.Command {
	return &cli.Command{
		Name:  "wait",
		Usage: "wait until every process has the rows in force",
		Flags: tableFlags(
			operatorsFlag(),
			&cli.UintFlag{Name: "version", Usage: "version to wait for; the newest if it is not set"},
			&cli.DurationFlag{Name: "timeout", Value: defaultWait, Usage: "how long to wait"},
		),
		Action: runTableWait,
	}
}

func runTableStatus(ctx context.Context, c *cli.Command) error {
	client, err := tableClient(c)
	if err != nil {
		return err
	}
	version, err := newestRow(ctx, client)
	if err != nil {
		return err
	}
	counted, err := countAt(ctx, c.String("operators"), version)
	if err != nil {
		return err
	}
	return writeCounted(c, version, counted)
}

func runTableWait(ctx context.Context, c *cli.Command) error {
	client, err := tableClient(c)
	if err != nil {
		return err
	}
	version := uint64(c.Uint("version"))
	if version == 0 {
		if version, err = newestRow(ctx, client); err != nil {
			return err
		}
	}
	counted, err := awaitVersion(ctx, c.String("operators"), version, c.Duration("timeout"))
	if err != nil {
		return err
	}
	return writeCounted(c, version, counted)
}

// awaitVersion waits until no process that answers is behind a version.
func awaitVersion(ctx context.Context, operators string, version uint64, timeout time.Duration) (fleet.VersionCounts, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		counted, err := countAt(ctx, operators, version)
		if err == nil && counted.Behind == 0 && counted.InForce > 0 {
			return counted, nil
		}
		select {
		case <-ctx.Done():
			return counted, errors.Newf("version %d is in force at %d processes, not yet at %d; %d did not answer", version,
				counted.InForce, counted.Behind, counted.Unresponsive)
		case <-time.After(waitPoll):
		}
	}
}

// newestRow is the version of the row that was changed last.
func newestRow(ctx context.Context, client *objectstore.Client) (uint64, error) {
	page, err := client.List(ctx, rillreach.KindRow)
	if err != nil {
		return 0, err
	}
	newest := uint64(0)
	for _, o := range page.Objects {
		newest = max(newest, o.Version)
	}
	return newest, nil
}

func countAt(ctx context.Context, operators string, version uint64) (fleet.VersionCounts, error) {
	var counted fleet.VersionCounts
	if operators == "" {
		return counted, codedError{error: errors.New("give a process's operators' address with --operators"), code: ExitUsage}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, operators+"/count/"+strconv.FormatUint(version, 10), nil)
	if err != nil {
		return counted, errors.Wrap(err, "make request to process")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return counted, errors.Wrap(err, "ask process")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return counted, errors.Newf("process answered with status %d", resp.StatusCode)
	}
	return counted, errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxStatus)).Decode(&counted), "read process's answer")
}

func writeCounted(c *cli.Command, version uint64, counted fleet.VersionCounts) error {
	if c.String("output") == outputTable {
		_, err := fmt.Fprintf(c.Root().Writer, "version %d: in force at %d processes, behind at %d, no answer from %d\n", version,
			counted.InForce, counted.Behind, counted.Unresponsive)
		return errors.Wrap(err, "write status")
	}
	return errors.Wrap(json.NewEncoder(c.Root().Writer).Encode(counted), "write status")
}
