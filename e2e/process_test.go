package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const waitTimeout = 30 * time.Second

var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	// Without this setting, a process built with the race detector waits a second before it exits.
	if err := os.Setenv("GORACE", "atexit_sleep_ms=0"); err != nil {
		return 1
	}
	dir, err := os.MkdirTemp("", "rillreach-e2e")
	if err != nil {
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "rillreach")
	args := append([]string{"build"}, buildFlags...)
	build := exec.Command("go", append(args, "-o", binary, "../cmd/rillreach")...)
	build.Stderr = os.Stderr
	if build.Run() != nil {
		return 1
	}
	return m.Run()
}

// process is a process started by a test, with its log.
type process struct {
	t   testing.TB
	cmd *exec.Cmd

	mu         sync.Mutex
	log        bytes.Buffer
	addresses  map[string]string
	instanceID string
	changed    chan struct{}
	exited     chan struct{}
}

type logLine struct {
	Message string `json:"msg"`
	For     string `json:"for"`
	ID      string `json:"instance"`
	Address string `json:"address"`
}

// start starts the binary and reads its log from standard error. The process is killed at the end of the test.
func start(tb testing.TB, args ...string) *process {
	tb.Helper()
	return startWithLogPipe(tb, (*exec.Cmd).StderrPipe, args...)
}

// startWithLogPipe starts the binary and reads its log from the output that pipe selects.
func startWithLogPipe(tb testing.TB, pipe func(*exec.Cmd) (io.ReadCloser, error), args ...string) *process {
	tb.Helper()
	p := &process{
		t:         tb,
		cmd:       exec.Command(binary, args...),
		addresses: map[string]string{},
		changed:   make(chan struct{}, 1),
		exited:    make(chan struct{}),
	}
	output, err := pipe(p.cmd)
	require.NoError(tb, err)
	require.NoError(tb, p.cmd.Start())
	go p.readLog(output)
	tb.Cleanup(func() {
		p.kill()
		if tb.Failed() {
			tb.Logf("log of %v:\n%s", args, p.logText())
		}
	})
	return p
}

func (p *process) readLog(output io.Reader) {
	defer close(p.exited)
	scanner := bufio.NewScanner(output)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		p.recordLine(scanner.Bytes())
	}
	_ = p.cmd.Wait()
}

func (p *process) recordLine(line []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log.Write(line)
	p.log.WriteByte('\n')
	var parsed logLine
	if json.Unmarshal(line, &parsed) == nil && parsed.Message == "listening" {
		p.addresses[parsed.For] = parsed.Address
		p.instanceID = parsed.ID
	}
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

func (p *process) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// address waits until the process listens for the given purpose and returns the address.
func (p *process) address(listener string) string {
	p.t.Helper()
	address, problem := p.awaitAddress(listener)
	if problem != "" {
		require.FailNow(p.t, problem, p.logText())
	}
	return address
}

// Reasons why a process does not listen.
const (
	problemExited       = "process ended"
	problemNotListening = "process does not listen"
)

// pollInterval is the time between two checks of a process while a test waits for it.
const pollInterval = 20 * time.Millisecond

// awaitAddress waits until the process listens for the given purpose. It returns the address or the reason why there is
// none.
func (p *process) awaitAddress(listener string) (address, problem string) {
	deadline := time.After(waitTimeout)
	for {
		p.mu.Lock()
		address := p.addresses[listener]
		p.mu.Unlock()
		if address != "" {
			return address, ""
		}
		select {
		case <-p.changed:
		case <-time.After(pollInterval): // another waiter may have received the notification
		case <-p.exited:
			return "", problemExited
		case <-deadline:
			return "", problemNotListening
		}
	}
}

// instance returns the instance ID that the process has given itself.
func (p *process) instance() string {
	p.t.Helper()
	p.address("peers")
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instanceID
}

func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// kill sends SIGKILL, which also ends a suspended process, and waits until the process has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// stop sends SIGTERM and waits until the process has exited.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	<-p.exited
}

// runCommand runs the binary to completion and returns its standard output, its standard error and its exit code.
func runCommand(tb testing.TB, input string, args ...string) (string, string, int) {
	tb.Helper()
	cmd := exec.Command(binary, args...)
	var out, errOut bytes.Buffer
	cmd.Stdin, cmd.Stdout, cmd.Stderr = bytes.NewBufferString(input), &out, &errOut
	_ = cmd.Run()
	return out.String(), errOut.String(), cmd.ProcessState.ExitCode()
}
