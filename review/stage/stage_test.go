//go:build review2

package stage

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// The ports that are the same on all machines of a deployment. Each machine has a loopback address of its own.
const (
	frontendPort  = 8749
	readinessPort = 8741
	runnerPort    = 8748
	storePort     = 8744
	internalPorts = "7580,7595"
	claimPort     = 8999
)

// heartbeat is how often runners write their records.
const heartbeat = 1200 * time.Millisecond

// stage is the world of one case: the processes that it starts, the platform's store, and the record.
type stage struct {
	trouble bool
	dir     string
	net     byte
	claim   net.Listener
	store   *store
	started time.Time
	stopped chan struct{}

	mu        sync.Mutex
	record    *os.File
	processes []*process
}

func newStage() (*stage, error) {
	record, err := os.Create(os.Getenv("REVIEW_RECORD"))
	if err != nil {
		return nil, err
	}
	s := &stage{trouble: os.Getenv("TROUBLE") != "0", record: record, started: time.Now(), stopped: make(chan struct{})}
	if s.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		return nil, err
	}
	for range 50 {
		s.net = byte(1 + rand.IntN(250))
		if s.claim, err = net.Listen("tcp", s.address(0, 1, claimPort)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	s.store = newStore()
	l, err := net.Listen("tcp", s.address(0, 1, storePort))
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, s.store) }()
	s.note("trouble: %v", s.trouble)
	return s, nil
}

// host returns a loopback address of the case's own network.
func (s *stage) host(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.net, group, number)
}

func (s *stage) address(group, number, port int) string {
	return fmt.Sprintf("%s:%d", s.host(group, number), port)
}

// note adds a line to the record.
func (s *stage) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the case has started.
func (s *stage) close() {
	close(s.stopped)
	for _, p := range s.processes {
		p.kill()
	}
	_ = s.claim.Close()
	_ = os.RemoveAll(s.dir)
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.record.Close()
}

// process is a process that the case has started.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

func (s *stage) start(name string, env []string, command ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(context.Background(), command[0], command[1:]...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}, env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = append(s.processes, p)
	return p, nil
}

// kill kills the process, and waits until it has ended.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// startRole starts an entry or an agent with the command of the deploy file.
func (s *stage) startRole(role, name string, settings string) (*process, error) {
	path := filepath.Join(s.dir, name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	s.note("start %s: target/rillreach platform %s", name, role)
	return s.start(name, []string{"RILLREACH_SETTINGS=" + path}, "target/rillreach", "platform", role)
}

// startEntry starts an entry on the machine of the number.
func (s *stage) startEntry(number int) (*process, error) {
	name, ip := fmt.Sprintf("edge-%d", number), s.host(1, number)
	listen := fmt.Sprintf("frontend = %q\nreadiness = %q\ncontrol_plane = %q\n", s.address(1, number, frontendPort), s.address(1, number, readinessPort), s.address(1, number, 8745))
	return s.startRole("entry", name, s.settings(name, "edge", ip, "", listen))
}

// startAgent starts an agent beside the runner of the number.
func (s *stage) startAgent(number int) (*process, error) {
	name, ip := fmt.Sprintf("side-%d", number), s.host(2, number)
	app := fmt.Sprintf("app = %q\nservice = \"e\"\n", s.address(2, number, runnerPort))
	return s.startRole("agent", name, s.settings(name, "side", ip, app, ""))
}

// settings returns a settings file with the bounds of a small deployment.
func (s *stage) settings(name, class, ip, app, listen string) string {
	return fmt.Sprintf(`node_name = %q
role = %q
machine_class = %q
serves = [%q]
ip = %q
zone = "z"
region = "r"
internal_port_range = [%s]
seeds = [%q]
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_interval_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
%s[zones]
z = "r"
[listen]
%s[limits]
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
fencing_enforced = %v
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
`, name, name, class, class, ip, internalPorts, s.address(1, 1, 8745), app, listen, fenced.Load(), s.address(0, 1, storePort))
}

// awaitReady waits until an entry says that it is ready.
func (s *stage) awaitReady(number int) error {
	deadline := time.Now().Add(15 * time.Second)
	for time.Now().Before(deadline) {
		resp, err := http.Get("http://" + s.address(1, number, readinessPort) + "/ready")
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("entry is not ready in time")
}

// keepRecord writes a runner's record now and at each heartbeat while it is alive. The heartbeats of runners are spread.
func (s *stage) keepRecord(id string, spec func() (record map[string]any, alive bool)) {
	pause := rand.N(heartbeat)
	for sequence := 1; ; sequence++ {
		if record, alive := spec(); alive {
			record["sequence"] = sequence
			s.store.Put("servers", id, record)
		}
		select {
		case <-s.stopped:
			return
		case <-time.After(pause):
			pause = heartbeat
		}
	}
}

// store is the platform's store: that of the project's stand-ins, with a Store-Era that may start at zero.
type store struct {
	*site.Store
	era atomic.Int64
}

func newStore() *store {
	s := &store{Store: site.NewStore()}
	s.SetEraHidden(true)
	s.era.Store(-1)
	return s
}

// ServeHTTP handles a call. A negative era is not told.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if era := s.era.Load(); era >= 0 {
		w.Header().Set("Store-Era", fmt.Sprint(era))
	}
	s.Store.ServeHTTP(w, r)
}

// trimLog returns the lines of a process's log that contain a text.
func (s *stage) trimLog(name, text string) []string {
	data, err := os.ReadFile(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return nil
	}
	var lines []string
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}
