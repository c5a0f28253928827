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
	versionPollInterval   = 200 * time.Millisecond
	defaultVersionTimeout = 30 * time.Second
	maxStatusBytes        = 1 << 20
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
			&cli.DurationFlag{Name: "timeout", Value: defaultVersionTimeout, Usage: "how long to wait"},
		),
		Action: runTableWait,
	}
}

func runTableStatus(ctx context.Context, c *cli.Command) error {
	client, err := tableClient(c)
	if err != nil {
		return err
	}
	version, err := newestRowVersion(ctx, client)
	if err != nil {
		return err
	}
	counts, err := fetchVersionCounts(ctx, c.String("operators"), version)
	if err != nil {
		return err
	}
	return writeVersionCounts(c, version, counts)
}

func runTableWait(ctx context.Context, c *cli.Command) error {
	client, err := tableClient(c)
	if err != nil {
		return err
	}
	version := uint64(c.Uint("version"))
	if version == 0 {
		if version, err = newestRowVersion(ctx, client); err != nil {
			return err
		}
	}
	counts, err := waitForVersion(ctx, c.String("operators"), version, c.Duration("timeout"))
	if err != nil {
		return err
	}
	return writeVersionCounts(c, version, counts)
}

// waitForVersion polls until at least one process has the version in force and no process that answers is behind it.
func waitForVersion(ctx context.Context, operators string, version uint64, timeout time.Duration) (fleet.VersionCounts, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		counts, err := fetchVersionCounts(ctx, operators, version)
		if err == nil && counts.Behind == 0 && counts.InForce > 0 {
			return counts, nil
		}
		select {
		case <-ctx.Done():
			return counts, errors.Newf("version %d is in force at %d processes, not yet at %d; %d did not answer", version,
				counts.InForce, counts.Behind, counts.Unresponsive)
		case <-time.After(versionPollInterval):
		}
	}
}

// newestRowVersion returns the version of the most recently changed row, or 0 if there are no rows.
func newestRowVersion(ctx context.Context, client *objectstore.Client) (uint64, error) {
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

// fetchVersionCounts asks a process how many processes of the fleet have a version in force.
func fetchVersionCounts(ctx context.Context, operators string, version uint64) (fleet.VersionCounts, error) {
	var counts fleet.VersionCounts
	if operators == "" {
		return counts, exitError{error: errors.New("set the operators' address of any process with --operators"), code: ExitUsage}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, operators+"/count/"+strconv.FormatUint(version, 10), nil)
	if err != nil {
		return counts, errors.Wrap(err, "create request to process")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return counts, errors.Wrap(err, "query process")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return counts, errors.Newf("process answered with status %d", resp.StatusCode)
	}
	return counts, errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&counts), "decode answer of process")
}

func writeVersionCounts(c *cli.Command, version uint64, counts fleet.VersionCounts) error {
	if c.String("output") == outputTable {
		_, err := fmt.Fprintf(c.Root().Writer, "version %d: in force at %d processes, behind at %d, no answer from %d\n", version,
			counts.InForce, counts.Behind, counts.Unresponsive)
		return errors.Wrap(err, "write status")
	}
	return errors.Wrap(json.NewEncoder(c.Root().Writer).Encode(counts), "write status")
}
