package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/rillreach/rillreach/demo"
	"github.com/rillreach/rillreach/settings"
)

func newDemoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run the whole system in this process over loopback, with stand-ins, and shift traffic from side to side",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: outputTable, Usage: "form of the summary: table or json"},
			&cli.BoolFlag{Name: "keep", Usage: "leave the system up at the end, until interrupted"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	var validator settings.Validator
	validator.OneOf("output", c.String("output"), outputTable, outputJSON)
	if err := validator.Err(); err != nil {
		return exitError{error: err, code: ExitUsage}
	}
	progress := c.Root().Writer
	if c.String("output") == outputJSON {
		progress = c.Root().ErrWriter
	}
	var keep func(context.Context, string, string)
	if c.Bool("keep") {
		keep = func(ctx context.Context, url, key string) { waitForInterrupt(ctx, progress, url, key) }
	}
	summary, err := demo.Run(ctx, progress, keep)
	if err != nil {
		return err
	}
	if err := writeSummary(c, summary); err != nil {
		return err
	}
	if summary.Failed() {
		return errors.Newf("%d requests were lost and %d run twice", summary.Lost, summary.Duplicated)
	}
	return nil
}

// waitForInterrupt prints an example request and waits until ctx is done.
func waitForInterrupt(ctx context.Context, w io.Writer, url, key string) {
	_, _ = fmt.Fprintf(w, "\nThe system stays up. Try:\n\n curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n"+
		" -d '{\"model\":%q,\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"does the quote stand\"}]}'\n\nInterrupt to end.\n",
		url, key, demo.Model)
	<-ctx.Done()
}

func writeSummary(c *cli.Command, s demo.Summary) error {
	w := c.Root().Writer
	if c.String("output") == outputJSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", " ")
		return errors.Wrap(enc.Encode(s), "write summary")
	}
	const format = `
requests %d
  answered whole %d
  lost %d
  run twice %d
calls run once %d
first token p50 %.1f ms, p95 %.1f ms
  before the shift p50 %.1f ms, p95 %.1f ms, %.0f%% of prompts computed
  after the shift p50 %.1f ms, p95 %.1f ms, %.0f%% of prompts computed
prompts computed %.1f%% of their tokens, the rest was reused
links to stores old side %.1f MB, new side %.1f MB
`
	const mega = 1e6
	_, err := fmt.Fprintf(w, format, s.Requests, s.Complete, s.Lost, s.Duplicated, s.NonIdempotentCalls, s.TTFTP50, s.TTFTP95, s.BeforeShift.TTFTP50,
		s.BeforeShift.TTFTP95, 100*s.BeforeShift.RecomputedShare, s.AfterShift.TTFTP50, s.AfterShift.TTFTP95, 100*s.AfterShift.RecomputedShare, 100*s.RecomputedShare,
		float64(s.OldStoreBytes)/mega, float64(s.NewStoreBytes)/mega)
	return errors.Wrap(err, "write summary")
}
