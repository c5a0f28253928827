package cmd

import (
	"context"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/rillreach/rillreach/bench/policy"
	"github.com/rillreach/rillreach/settings"
)

const allDeployments = "all"

func newBenchCommand() *cli.Command {
	return &cli.Command{
		Name:     "bench",
		Usage:    "measure",
		Commands: []*cli.Command{newBenchPolicy()},
	}
}

func newBenchPolicy() *cli.Command {
	return &cli.Command{
		Name:  "policy",
		Usage: "measure the placing of prompts and the keeping of their state against baselines, in virtual time",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: allDeployments, Usage: "kigali, oja or all"},
			&cli.UintFlag{Name: "seed", Value: 1, Usage: "seed of the workload"},
			&cli.BoolFlag{Name: "calm", Usage: "only the scenario in which nothing goes wrong"},
			&cli.StringFlag{Name: "plot", Usage: "file for a plot of the calm scenario, one for each deployment: its name is put before the ending"},
		},
		Action: runBenchPolicy,
	}
}

func runBenchPolicy(_ context.Context, c *cli.Command) error {
	var validator settings.Validator
	kigali, oja := policy.Kigali(), policy.Oja()
	validator.OneOf("deployment", c.String("deployment"), kigali.Name, oja.Name, allDeployments)
	if err := validator.Err(); err != nil {
		return exitError{error: err, code: ExitUsage}
	}
	scenarios := policy.Scenarios()
	if c.Bool("calm") {
		scenarios = scenarios[:1]
	}
	for _, d := range []policy.Deployment{kigali, oja} {
		if c.String("deployment") != allDeployments && c.String("deployment") != d.Name {
			continue
		}
		experiment := policy.Experiment{
			Deployment: d,
			Seed:       uint64(c.Uint("seed")),
			Scenarios:  scenarios,
			Policies:   append(policy.Baselines(), policy.Rillreach{Stripes: 1}, policy.Rillreach{}, policy.PerfectKnowledge{}),
		}
		results := experiment.Run()
		if err := policy.WriteTable(c.Root().Writer, d.Name, results); err != nil {
			return err
		}
		if err := writePlot(c.String("plot"), d.Name, results); err != nil {
			return err
		}
	}
	return nil
}

// writePlot writes a plot of the calm scenario, unless path is empty. The name of the deployment is inserted before the
// file extension.
func writePlot(path, deployment string, results []policy.Result) error {
	if path == "" {
		return nil
	}
	ext := filepath.Ext(path)
	return policy.WritePlot(strings.TrimSuffix(path, ext)+"-"+deployment+ext, deployment, policy.Calm().Name, results)
}
