package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

const (
	defaultDuration = 20 * time.Second
	defaultEntries  = 3
	defaultRunners  = 4
	defaultCallers  = 48
	// maxPrinted is the maximum number of violated guarantees that are printed.
	maxPrinted = 20
)

func main() {
	command := &cli.Command{
		Name:  "soak",
		Usage: "run real entries under faults, and check what callers and runners see",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "what the schedule of faults follows from"},
			&cli.DurationFlag{Name: "for", Value: defaultDuration, Usage: "how long faults and callers go on"},
			&cli.IntFlag{Name: "entries", Value: defaultEntries, Usage: "how many entries"},
			&cli.IntFlag{Name: "runners", Value: defaultRunners, Usage: "how many runners, and as many engines with an agent each (at most 250)"},
			&cli.IntFlag{Name: "callers", Value: defaultCallers, Usage: "how many callers"},
			&cli.BoolFlag{Name: "rollout", Usage: "name weights as well that no agent loads in time, while requests wait at engines"},
			&cli.BoolFlag{Name: "fatal", Usage: "only requests that end their runners, beside kills and pauses"},
			&cli.BoolFlag{Name: "parts", Usage: "only parts of prompts that end their runners, beside kills and pauses"},
			&cli.BoolFlag{Name: "evacuate", Usage: "only evacuations of a zone, beside kills, pauses, stops and a store that is away"},
			&cli.BoolFlag{Name: "backpressure", Usage: "only runners that ask for less in their answers, beside kills, pauses, stops and a store that is away"},
			&cli.BoolFlag{Name: "versions", Usage: "runners of two software versions that replace each other, callers that take streams up, kills and stops in series"},
			&cli.BoolFlag{Name: "repeats", Usage: "only runners that refuse most requests, kills and stops in series, and whatever makes requests fail"},
			&cli.BoolFlag{Name: "spoil", Usage: "only runners that spoil some of their answers, beside kills, pauses, stops and crashes"},
			&cli.BoolFlag{Name: "restore", Usage: "only a store that comes back from copies, beside changes, kills and pauses"},
			&cli.StringFlag{Name: "binary", Usage: "the program; built from the sources where it is not set"},
			&cli.StringFlag{Name: "keep", Usage: "folder for logs of a seed that failed"},
		},
		Action: runSoak,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func runSoak(ctx context.Context, c *cli.Command) error {
	dir, err := os.MkdirTemp("", "rillreach-soak")
	if err != nil {
		return errors.Wrap(err, "make folder")
	}
	binary := c.String("binary")
	if binary == "" {
		binary = filepath.Join(dir, "rillreach")
		if out, err := exec.CommandContext(ctx, "go", "build", "-o", binary, "./cmd/rillreach").CombinedOutput(); err != nil {
			return errors.Wrapf(err, "build: %s", out)
		}
	}
	counts := clusterSize{Entries: c.Int("entries"), Runners: c.Int("runners"), Callers: c.Int("callers"), Versions: c.Bool("versions")}
	actions := buildSchedule(c, c.Uint64("seed"), c.Duration("for"))
	violations, err := runSeed(binary, dir, c.Uint64("seed"), actions, c.Duration("for"), counts, printf)
	if err != nil {
		return err
	}
	if len(violations) == 0 {
		return errors.Wrap(os.RemoveAll(dir), "remove folder")
	}
	for _, violation := range violations[:min(len(violations), maxPrinted)] {
		printf("BROKEN: %s", violation)
	}
	if keep := c.String("keep"); keep != "" {
		if err := os.CopyFS(filepath.Join(keep, fmt.Sprintf("seed-%d", c.Uint64("seed"))), os.DirFS(dir)); err != nil {
			return errors.Wrap(err, "keep logs")
		}
	}
	return errors.Newf("seed %d: %d promises broken; logs in %s", c.Uint64("seed"), len(violations), dir)
}

// buildSchedule draws the faults that the flags select.
func buildSchedule(c *cli.Command, seed uint64, length time.Duration) []action {
	actions := sortByTime(append(schedule(seed, length), engineSchedule(seed, length, engineFaults)...))
	for flag, from := range map[string][]fault{"fatal": fatalFaults, "parts": fatalPartFaults, "evacuate": evacuationFaults, "backpressure": backpressureFaults, "restore": restoreFaults, "versions": versionFaults, "repeats": repeatFaults, "spoil": spoilFaults} {
		if c.Bool(flag) {
			actions = engineSchedule(seed, length, from)
		}
	}
	if c.Bool("rollout") {
		actions = sortByTime(append(actions, drawRollout(seed)))
	}
	return actions
}

func printf(format string, args ...any) { _, _ = fmt.Printf(format+"\n", args...) }

// runSeed runs one schedule and returns the violated guarantees.
func runSeed(binary, dir string, seed uint64, actions []action, length time.Duration, counts clusterSize, report func(string, ...any)) ([]string, error) {
	c, err := newCluster(binary, dir, counts, report)
	if err != nil {
		return nil, err
	}
	defer c.close()
	r := c.run(actions, length)
	served := 0
	for i := range r.Calls {
		if r.Calls[i].Status == 200 && !r.Calls[i].Truncated {
			served++
		}
	}
	taken := r.takenUp()
	report("seed %d: %d requests, %d served, %d runs, %d streams taken up, %d went on", seed, len(r.Calls), served, len(r.Executions), taken.asked, taken.got)
	return checkGuarantees(r, true), nil
}
