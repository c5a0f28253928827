//go:build review

package play

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// binary is the program that the deploy file builds.
const binary = "target/rillreach"

// process is one of the project's own processes.
type process struct {
	world    *world
	name     string
	role     string
	host     netip.Addr
	settings string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// settingsText is a settings file like those of the sites' small deployments.
const settingsText = `node_name = %q
role = %q
machine_class = %q
serves = [%q]
ip = %q
zone = "z1"
region = "r1"
internal_port_range = [7580,7595]
seeds = []
bootstrap = false
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_interval_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
%s
[zones]
z1 = "r1"
[listen]
%s
[limits]
cpu_share = 0.304
cpu_cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_timeout_ms = 2000
grace_period_s = 8
lost_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
max_skew_ms = 5000
revoke_fail_closed = false
revoke_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
budget_slack = 54
recovery_s = 12
transit_ms = 120
again_s = 20
fencing_enforced = false
lease_ttl_ms = 3000
thaw_slack_ms = 300
version_ms = 10000
version_all_ms = 14000
[platform]
address = %q
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

// addEntry starts an entry that reaches the store at the given address.
func (w *world) addEntry(number byte, store netip.AddrPort) (*process, error) {
	host := w.address(3, number)
	listen := fmt.Sprintf("frontend = %q\nreadiness = %q", netip.AddrPortFrom(host, frontendPort), netip.AddrPortFrom(host, readinessPort))
	p := &process{world: w, name: fmt.Sprintf("edge-%d", number), role: "entry", host: host}
	p.settings = fmt.Sprintf(settingsText, p.name, p.role, "edge", "edge", host, "", listen, store)
	return p, w.add(p)
}

// addAgent starts the agent beside a runner.
func (w *world) addAgent(number byte, runner, store netip.AddrPort) (*process, error) {
	p := &process{world: w, name: fmt.Sprintf("side-%d", number), role: "agent", host: runner.Addr()}
	p.settings = fmt.Sprintf(settingsText, p.name, p.role, "side", "side", p.host, fmt.Sprintf("app = %q\nservice = %q", runner, engineService), "", store)
	return p, w.add(p)
}

func (w *world) add(p *process) error {
	w.processes = append(w.processes, p)
	return p.start()
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	path := p.world.settingsPath(p.name)
	if err := os.WriteFile(path, []byte(p.settings), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	log, err := os.OpenFile(filepath.Join(p.world.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	p.cmd = exec.CommandContext(context.Background(), binary, "platform", p.role)
	p.cmd.Env = append(os.Environ(), "RILLREACH_SETTINGS="+path)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return errors.Wrap(err, "start process")
	}
	p.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}(p.cmd, p.ended)
	p.world.record("%s started", p.name)
	return nil
}

// kill ends the process and waits until it has ended.
func (p *process) kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.ended
}

// frontend returns the address at which an entry takes callers' requests.
func (p *process) frontend() netip.AddrPort { return netip.AddrPortFrom(p.host, frontendPort) }

// awaitReady waits until an entry says that it is ready.
func (p *process) awaitReady() error {
	url := "http://" + netip.AddrPortFrom(p.host, readinessPort).String() + "/ready"
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
		if err != nil {
			return errors.Wrap(err, "ask for readiness")
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			p.world.record("%s is ready", p.name)
			return nil
		}
	}
	return errors.Newf("%s does not get ready", p.name)
}
