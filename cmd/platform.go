package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
	"github.com/urfave/cli/v3"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/gateway"
	"github.com/rillreach/rillreach/logsink"
	"github.com/rillreach/rillreach/node"
	"github.com/rillreach/rillreach/platform"
	"github.com/rillreach/rillreach/settings"
	"github.com/rillreach/rillreach/sidecar"
	"github.com/rillreach/rillreach/telemetry"
)

const (
	defaultMetricsPort = 9464
	// memoryShare is the part of a process's memory that the runtime aims at; the rest is for sockets and stacks.
	memoryShare = 0.6
	// gcPercent lets the heap grow further between collections than usual: memory is there, processor time is dear.
	gcPercent = 300
	drainLog  = 200 * time.Millisecond
	bytesInMB = 1 << 20
)

func newPlatformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run as part of a deployment on the users' platform, whose settings file says where",
		Commands: []*cli.Command{
			platformDaemon("entry", "take callers' requests and send them to runners", runPlatformEntry),
			platformDaemon("agent", "stand beside one model runner", runPlatformAgent),
			newPlatformCheckCommand(),
		},
	}
}

// newPlatformCheckCommand checks a settings file of the platform without starting anything.
func newPlatformCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a settings file of the platform, and print what is read from it",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, c *cli.Command) error {
			s, err := platform.ReadSettings(c.Args().First())
			if err != nil {
				return codedError{error: err, code: ExitUsage}
			}
			data, err := json.MarshalIndent(s, "", "  ")
			if err != nil {
				return errors.Wrap(err, "encode settings")
			}
			_, err = fmt.Fprintln(c.Root().Writer, string(data))
			return errors.Wrap(err, "write settings")
		},
	}
}

// platformFlags are the settings of a process on the users' platform beside the platform's own file.
func platformFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag("log-level", "info", "least level that is logged: debug, info or error"),
		&cli.StringFlag{Name: "settings-file", Usage: "path of the platform's settings file", Sources: cli.EnvVars(platform.SettingsEnvVar)},
		intFlag("metrics-port", defaultMetricsPort, "port for metrics on the instance's own address, under /metrics"),
	}
}

// platformProcess is what the processes on the users' platform share.
type platformProcess struct {
	settings *deployment.Settings
	store    *platform.ObjectStoreClient
	log      logr.Logger
	metrics  *telemetry.Metrics
}

func platformDaemon(name, usage string, run func(context.Context, *platformProcess) error) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, Flags: platformFlags(),
		Action: func(ctx context.Context, c *cli.Command) error { return runOnPlatform(ctx, c, name, run) },
	}
}

func runOnPlatform(ctx context.Context, c *cli.Command, name string, run func(context.Context, *platformProcess) error) error {
	// Before anything else, and to the process's end: a SIGHUP that nobody takes would end it.
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	var faults settings.Validator
	faults.OneOf("log-level", c.String("log-level"), "debug", "info", "error")
	faults.AtLeast("metrics-port", int64(c.Int("metrics-port")), 1)
	faults.Required("settings-file", c.String("settings-file"))
	if err := faults.Err(); err != nil {
		return codedError{error: err, code: ExitUsage}
	}
	s, err := platform.ReadSettings(c.String("settings-file"))
	if err != nil {
		return codedError{error: err, code: ExitUsage}
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * bytesInMB * memoryShare))
	metrics, err := telemetry.New()
	if err != nil {
		return err
	}
	sink := logsink.New(os.Stdout)
	p := &platformProcess{
		settings: s, store: platform.NewObjectStoreClient(s.ObjectStoreAddress), metrics: metrics,
		log: sink.Logger(logLevels[c.String("log-level")]).WithValues("instance", s.Name, "role", name),
	}
	if err := metrics.AddGauge("rillreach.store.calls", "calls that were made to the object store", func() float64 { return float64(p.store.Calls.Load()) }); err != nil {
		return err
	}
	if err := metrics.AddGauge("rillreach.store.era", "era of the object store, which rises when it comes back from a copy", func() float64 { return float64(p.store.Era()) }); err != nil {
		return err
	}
	p.log.Info("starting", "decision", "start", "zone", s.Zone, "store", s.ObjectStoreAddress, "memoryMB", s.MemoryMB)
	life, end := context.WithCancel(context.Background())
	defer end()
	go sink.Run(life) // not waited for: where nobody reads the log it does not end, and Drain bounds that
	var wg conc.WaitGroup
	wg.Go(func() { p.reload(life, c.String("settings-file"), changed) })
	wg.Go(func() { p.serveMetrics(life, uint16(c.Int("metrics-port"))) })
	err = run(ctx, p)
	if err != nil {
		p.log.Error(err, "ended", "decision", "end")
	} else {
		p.log.Info("ended", "decision", "end")
	}
	end()
	wg.Wait()
	sink.Drain(drainLog)
	return err
}

// reload reads the settings file again after each SIGHUP; one that is bad leaves the last good one in force. What a running
// process could take over does not change during its life, so that a good file is checked and reported.
func (p *platformProcess) reload(ctx context.Context, path string, changed <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		s, err := platform.ReadSettings(path)
		if err != nil {
			p.log.Error(err, "settings refused, the last good ones stay", "decision", "reload")
			continue
		}
		p.log.Info("settings read again", "decision", "reload", "changed", !reflect.DeepEqual(s, p.settings))
	}
}

// serveMetrics serves the process's figures; without them the process still does its work.
func (p *platformProcess) serveMetrics(ctx context.Context, port uint16) {
	listener, err := listen(netip.AddrPortFrom(p.settings.Host, port))
	if err == nil {
		err = node.ServeHTTP(ctx, listener, p.metrics.Handler())
	}
	if err != nil {
		p.log.Error(err, "metrics are not served", "port", port)
	}
}

func runPlatformEntry(ctx context.Context, p *platformProcess) error {
	var faults error
	for name, address := range map[string]netip.AddrPort{"callers": p.settings.CallerAddress, "readiness": p.settings.ReadinessAddress} {
		if !address.IsValid() {
			faults = errors.Join(faults, errors.Newf("settings name no address for %s", name))
		}
	}
	if faults != nil {
		return codedError{error: faults, code: ExitUsage}
	}
	callers, err := listen(p.settings.CallerAddress)
	if err != nil {
		return err
	}
	readiness, err := listen(p.settings.ReadinessAddress)
	if err != nil {
		return err
	}
	return newGateway(p, callers, readiness).Run(ctx)
}

func newGateway(p *platformProcess, callers, readiness net.Listener) *gateway.Gateway {
	return &gateway.Gateway{
		Settings: p.settings, Configs: platform.Configs(p.store), Runners: platform.Runners(p.store), Weights: platform.DesiredWeights(p.store),
		Evacuations: platform.Evacuations(p.store),
		Callers:     callers, Readiness: readiness, Log: p.log, Metrics: p.metrics,
	}
}

func runPlatformAgent(ctx context.Context, p *platformProcess) error {
	if !p.settings.RunnerAddress.IsValid() {
		return codedError{error: errors.New("settings name no runner beside the agent"), code: ExitUsage}
	}
	listener, err := listen(netip.AddrPortFrom(p.settings.Host, p.settings.FirstPort))
	if err != nil {
		return err
	}
	agent := &sidecar.Sidecar{
		Settings: p.settings, Listener: listener, Configs: platform.Configs(p.store), Runners: platform.Runners(p.store), Weights: platform.DesiredWeights(p.store),
		Runner: platform.NewRunnerClient(p.settings.RunnerAddress), Log: p.log, Metrics: p.metrics,
	}
	return agent.Run(ctx)
}
