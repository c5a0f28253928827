package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/rillreach/rillreach/explain"
)

func newExplainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell the story of one request from the logs of several processes",
		ArgsUsage: "REQUEST [FILE...], or standard input where no file is named",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "text", Usage: "text or json"}},
		Action:    runExplain,
		Commands:  []*cli.Command{newExplainStatsCommand()},
	}
}

func newExplainStatsCommand() *cli.Command {
	return &cli.Command{
		Name:      "load",
		Usage:     "count by second what became of prompts: how long they were held, what was expected and what came, tokens to be read",
		ArgsUsage: "[FILE...], or standard input where no file is named",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "text", Usage: "text or json"}},
		Action:    runExplainStats,
	}
}

func runExplainStats(_ context.Context, c *cli.Command) error {
	lines, err := readLogs(c.Args().Slice())
	if err != nil {
		return err
	}
	seconds := explain.StatsBySecond(lines)
	if c.String("output") == "json" {
		return errors.Wrap(json.NewEncoder(c.Root().Writer).Encode(seconds), "write statistics")
	}
	writeStats(c.Root().Writer, seconds)
	return nil
}

func writeStats(w io.Writer, seconds []explain.SecondStats) {
	_, _ = fmt.Fprintln(w, "time      sent  missing    again  fetched      held  expected    waited  failed  left  refused")
	for i := range seconds {
		s := &seconds[i]
		_, _ = fmt.Fprintf(w, "%s  %4d  %7d  %7d  %7d  %7dms %7dms %7dms  %6d  %4d  %7d\n", s.Start.Format("15:04:05"), s.Sent, s.UncachedTokens, s.RecomputedTokens, s.FetchedTokens,
			s.MedianHold.Milliseconds(), s.MedianExpectedTTFT.Milliseconds(), s.MedianTTFT.Milliseconds(), s.Failed, s.Abandoned, s.Rejected)
	}
}

func runExplain(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return exitError{error: errors.New("explain: missing argument: request identifier"), code: ExitUsage}
	}
	lines, err := readLogs(c.Args().Tail())
	if err != nil {
		return err
	}
	history := explain.HistoryOf(lines, c.Args().First())
	if len(history.Lines) == 0 {
		return errors.Newf("explain: no log line mentions request %q", history.Request)
	}
	if c.String("output") == "json" {
		return errors.Wrap(json.NewEncoder(c.Root().Writer).Encode(history), "write request history")
	}
	writeHistory(c.Root().Writer, history)
	return nil
}

func readLogs(files []string) ([]explain.Line, error) {
	if len(files) == 0 {
		return explain.Read(os.Stdin)
	}
	var all []explain.Line
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		lines, err := explain.Read(file)
		_ = file.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "read log %s", name)
		}
		all = append(all, lines...)
	}
	return all, nil
}

func writeHistory(w io.Writer, history explain.RequestHistory) {
	_, _ = fmt.Fprintf(w, "request %s\n\nwhat was believed before:\n", history.Request)
	for _, line := range history.PriorState {
		writeLine(w, line)
	}
	if len(history.Evidence) > 0 {
		_, _ = fmt.Fprintln(w, "\nwhat was held against parts of its prompt:")
	}
	for _, line := range history.Evidence {
		writeLine(w, line)
	}
	_, _ = fmt.Fprintln(w, "\nwhat was decided:")
	for _, line := range history.Lines {
		if line.Request != history.Request {
			line.Message += " by request " + line.Request
		}
		writeLine(w, line)
	}
}

func writeLine(w io.Writer, line explain.Line) {
	_, _ = fmt.Fprintf(w, "  %s  %-20s %s", line.Time.Format("15:04:05.000"), line.Instance, line.Message)
	for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
		_, _ = fmt.Fprintf(w, " %s=%v", name, line.Fields[name])
	}
	_, _ = fmt.Fprintln(w)
}
