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

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/gateway"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/logsink"
	"github.com/rillreach/rillreach/node"
	"github.com/rillreach/rillreach/platform"
	"github.com/rillreach/rillreach/replica"
	"github.com/rillreach/rillreach/settings"
	"github.com/rillreach/rillreach/sidecar"
	"github.com/rillreach/rillreach/telemetry"
)

const (
	defaultMetricsPort = 9464
	// memoryLimitShare is the fraction of the process's memory that is set as Go's soft memory limit. The rest is left
	// for sockets and stacks.
	memoryLimitShare = 0.6
	// gcPercent is above Go's default of 100 to collect garbage less often, at the price of memory.
	gcPercent = 150
	// logDrainTimeout is the maximum time to write the remaining log lines at exit.
	logDrainTimeout = 200 * time.Millisecond
	// backgroundStopTimeout is the maximum time that background work delays the exit.
	backgroundStopTimeout = 50 * time.Millisecond
	// copyAgeDivisor gives the greatest age of a copy of the store's objects as a fraction of the bound on leaving
	// runners, between minCopyAge and maxCopyAge.
	copyAgeDivisor = 2
	minCopyAge     = time.Second
	maxCopyAge     = 2500 * time.Millisecond
	// maxBootstrapWait is how long a process of a deployment that is being started waits for runners to be listed. They
	// register with their first heartbeat.
	maxBootstrapWait = 5 * time.Second
)

func newPlatformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run as part of a deployment on the users' platform, whose settings file says where",
		Commands: []*cli.Command{
			newPlatformDaemonCommand("entry", "take callers' requests and send them to runners", runPlatformEntry),
			newPlatformDaemonCommand("agent", "stand beside one model runner", runPlatformAgent),
			newPlatformCheckCommand(),
		},
	}
}

// newPlatformCheckCommand returns the command that validates a settings file of the platform and prints its settings.
func newPlatformCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a settings file of the platform, and print what is read from it",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, c *cli.Command) error {
			s, err := platform.ReadSettings(c.Args().First())
			if err != nil {
				return exitError{error: err, code: ExitUsage}
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

// platformFlags returns the flags of a process on the users' platform, in addition to the platform's settings file.
func platformFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag("log-level", "info", "least level that is logged: debug, info or error"),
		&cli.StringFlag{Name: "settings-file", Usage: "path of the platform's settings file", Sources: cli.EnvVars(platform.SettingsEnvVar)},
		intFlag("metrics-port", defaultMetricsPort, "port for metrics on the instance's own address, under /metrics"),
	}
}

// platformProcess contains what entries and agents on the users' platform have in common.
type platformProcess struct {
	settings *deployment.Settings
	store    *platform.ObjectStoreClient
	log      logr.Logger
	metrics  *telemetry.Metrics
}

func newPlatformDaemonCommand(name, usage string, run func(context.Context, *platformProcess) error) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, Flags: platformFlags(),
		Action: func(ctx context.Context, c *cli.Command) error { return runOnPlatform(ctx, c, name, run) },
	}
}

func runOnPlatform(ctx context.Context, c *cli.Command, name string, run func(context.Context, *platformProcess) error) error {
	// Register first and until the process exits: the default action of SIGHUP would terminate the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	var validator settings.Validator
	validator.OneOf("log-level", c.String("log-level"), "debug", "info", "error")
	validator.AtLeast("metrics-port", int64(c.Int("metrics-port")), 1)
	validator.Required("settings-file", c.String("settings-file"))
	if err := validator.Err(); err != nil {
		return exitError{error: err, code: ExitUsage}
	}
	s, err := platform.ReadSettings(c.String("settings-file"))
	if err != nil {
		return exitError{error: err, code: ExitUsage}
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes()) * memoryLimitShare))
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
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go sink.Run(runCtx) // not waited for: it blocks if nobody reads the log; Drain has a timeout
	var wg conc.WaitGroup
	wg.Go(func() { p.checkSettingsOnHangup(runCtx, c.String("settings-file"), hangups) })
	wg.Go(func() { p.serveMetrics(runCtx, uint16(c.Int("metrics-port"))) })
	wg.Go(func() { (&node.MemoryWatch{LimitBytes: s.MemoryBytes(), Log: p.log}).Run(runCtx) })
	err = run(ctx, p)
	if err != nil {
		p.log.Error(err, "ended", "decision", "end")
	} else {
		p.log.Info("ended", "decision", "end")
	}
	cancel()
	pause.AtMost(backgroundStopTimeout, wg.Wait) // it may be reading the settings file, which has no time limit
	sink.Drain(logDrainTimeout)
	return err
}

// checkSettingsOnHangup reads and validates the settings file after each SIGHUP and logs the result. It doesn't apply
// the file: the settings that a running process could apply don't change during its life.
func (p *platformProcess) checkSettingsOnHangup(ctx context.Context, path string, hangups <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		s, err := platform.ReadSettings(path)
		if err != nil {
			p.log.Error(err, "settings refused, previous settings stay in use", "decision", "reload")
			continue
		}
		p.log.Info("settings read again", "decision", "reload", "changed", !reflect.DeepEqual(s, p.settings))
	}
}

// serveMetrics serves the metrics. If that fails, it only logs the error, since the process works without metrics.
func (p *platformProcess) serveMetrics(ctx context.Context, port uint16) {
	listener, err := listen(netip.AddrPortFrom(p.settings.Host, port))
	if err == nil {
		err = node.ServeHTTP(ctx, listener, p.metrics.Handler())
	}
	if err != nil {
		p.log.Error(err, "failed to serve metrics", "port", port)
	}
}

func runPlatformEntry(ctx context.Context, p *platformProcess) error {
	var errs error
	for name, address := range map[string]netip.AddrPort{"callers": p.settings.CallerAddress, "readiness": p.settings.ReadinessAddress} {
		if !address.IsValid() {
			errs = errors.Join(errs, errors.Newf("settings contain no address for %s", name))
		}
	}
	if errs != nil {
		return exitError{error: errs, code: ExitUsage}
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
	objects := p.newReplica()
	return &gateway.Gateway{
		Settings: p.settings, Replica: objects, Configs: platform.Configs(objects), Runners: platform.Runners(objects), Weights: platform.DesiredWeights(objects),
		Evacuations: platform.Evacuations(objects), Rollouts: platform.Rollouts(objects), RolloutRecorder: p.store,
		Callers: callers, Readiness: readiness, Log: p.log, Metrics: p.metrics,
	}
}

// newReplica returns the process's copy of the objects in the store. All processes of a deployment keep the same kinds.
func (p *platformProcess) newReplica() *replica.Replica {
	s := p.settings
	kinds := []string{platform.KindConfig, platform.KindRunners, platform.KindWeights}
	if s.Bounds.ZoneEvacuation > 0 {
		kinds = append(kinds, platform.KindEvacuations)
	}
	if s.Bounds.VersionExposure > 0 {
		kinds = append(kinds, platform.KindRollouts)
	}
	awaitRunners := time.Duration(0)
	if s.Bootstrap {
		awaitRunners = maxBootstrapWait
	}
	return &replica.Replica{
		Store: p.store, Kinds: kinds, Self: netip.AddrPortFrom(s.Host, s.FirstPort), Zone: s.Zone, Name: rillreach.InstanceID(s.Name), AgentPort: s.FirstPort,
		MaxAge: min(max(s.Bounds.RunnerDrainDelay/copyAgeDivisor, minCopyAge), maxCopyAge), AwaitRunners: awaitRunners, Log: p.log,
	}
}

func runPlatformAgent(ctx context.Context, p *platformProcess) error {
	if !p.settings.RunnerAddress.IsValid() {
		return exitError{error: errors.New("settings contain no address of the agent's runner"), code: ExitUsage}
	}
	listener, err := listen(netip.AddrPortFrom(p.settings.Host, p.settings.FirstPort))
	if err != nil {
		return err
	}
	objects := p.newReplica()
	agent := &sidecar.Sidecar{
		Settings: p.settings, Listener: listener, Replica: objects,
		Configs: platform.Configs(objects), Runners: platform.Runners(objects), Weights: platform.DesiredWeights(objects),
		Runner: platform.NewRunnerClient(p.settings.RunnerAddress), Log: p.log, Metrics: p.metrics,
	}
	return agent.Run(ctx)
}
