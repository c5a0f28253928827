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

const patience = 30 * time.Second

var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	// Without this a process built with the race detector waits a second before it exits.
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

// process is one process that a test has started.
type process struct {
	t   testing.TB
	cmd *exec.Cmd

	mu        sync.Mutex
	log       bytes.Buffer
	addresses map[string]string
	id        string
	changed   chan struct{}
	exited    chan struct{}
}

type logLine struct {
	Message string `json:"msg"`
	For     string `json:"for"`
	ID      string `json:"instance"`
	Address string `json:"address"`
}

// start starts the binary, whose log is on standard error; it is killed at the end of the test.
func start(tb testing.TB, args ...string) *process {
	tb.Helper()
	return startReading(tb, (*exec.Cmd).StderrPipe, args...)
}

// startReading starts the binary and reads its log from one of its outputs.
func startReading(tb testing.TB, pipe func(*exec.Cmd) (io.ReadCloser, error), args ...string) *process {
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
	go p.read(output)
	tb.Cleanup(func() {
		p.kill()
		if tb.Failed() {
			tb.Logf("log of %v:\n%s", args, p.text())
		}
	})
	return p
}

func (p *process) read(output io.Reader) {
	defer close(p.exited)
	scanner := bufio.NewScanner(output)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		p.take(scanner.Bytes())
	}
	_ = p.cmd.Wait()
}

func (p *process) take(line []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log.Write(line)
	p.log.WriteByte('\n')
	var parsed logLine
	if json.Unmarshal(line, &parsed) == nil && parsed.Message == "listening" {
		p.addresses[parsed.For] = parsed.Address
		p.id = parsed.ID
	}
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

func (p *process) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// address waits for the address that the process listens on for somebody.
func (p *process) address(who string) string {
	p.t.Helper()
	address, problem := p.awaitAddress(who)
	if problem != "" {
		require.FailNow(p.t, problem, p.text())
	}
	return address
}

// What may keep a process from listening.
const (
	problemEnded = "process ended"
	problemLate  = "process does not listen"
)

// lookAgain is how often somebody who waits for a process looks at it.
const lookAgain = 20 * time.Millisecond

// awaitAddress waits for the address that the process listens on for somebody, and says why there is none.
func (p *process) awaitAddress(who string) (address, problem string) {
	deadline := time.After(patience)
	for {
		p.mu.Lock()
		address := p.addresses[who]
		p.mu.Unlock()
		if address != "" {
			return address, ""
		}
		select {
		case <-p.changed:
		case <-time.After(lookAgain): // another who waits may have taken the change
		case <-p.exited:
			return "", problemEnded
		case <-deadline:
			return "", problemLate
		}
	}
}

// instance is the identifier that the process has given itself.
func (p *process) instance() string {
	p.t.Helper()
	p.address("peers")
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.id
}

func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process at once, thawing it first if it was frozen.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// stop asks the process to stop, and waits until it has.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	<-p.exited
}

// runCommand runs the binary to its end and returns its output and its exit code.
func runCommand(tb testing.TB, input string, args ...string) (string, string, int) {
	tb.Helper()
	cmd := exec.Command(binary, args...)
	var out, errOut bytes.Buffer
	cmd.Stdin, cmd.Stdout, cmd.Stderr = bytes.NewBufferString(input), &out, &errOut
	_ = cmd.Run()
	return out.String(), errOut.String(), cmd.ProcessState.ExitCode()
}
