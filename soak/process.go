package main

import (
	"context"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// process is an entry or agent process, which is restarted whenever it is ended.
type process struct {
	role           string
	binary         string
	dir            string
	metricsAddress netip.AddrPort
	settings       site.Settings
	// storeProxy is the proxy between the process and the object store.
	storeProxy *proxy

	// restartMu serializes restarts of the process.
	restartMu sync.Mutex
	// settingsMu prevents changes to the settings file while the process starts with it.
	settingsMu sync.Mutex

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	history processHistory
}

// entry is an entry process, which forwards requests to the runners.
type entry struct {
	process
	number           int
	callerAddress    string
	readinessAddress string
}

// agent is the agent process of an engine.
type agent struct{ process }

// configure creates the process's proxy to the store and writes its settings.
func (p *process) configure(n *network, store netip.AddrPort) error {
	var err error
	if p.storeProxy, err = newProxy(p.settings.Host, store); err != nil {
		return err
	}
	p.settings.PlatformAddress = p.storeProxy.address()
	if p.metricsAddress, err = n.ports.Free(p.settings.Host); err != nil {
		return err
	}
	return p.write(p.settings.TOML())
}

func newEntry(number int, binary, dir string, n *network, store netip.AddrPort, peerPort uint16) (*entry, error) {
	e := &entry{number: number, process: process{role: "entry", binary: binary, dir: dir}}
	for _, address := range []*string{&e.callerAddress, &e.readinessAddress} {
		free, err := n.ports.Free(n.host())
		if err != nil {
			return nil, err
		}
		*address = free.String()
	}
	e.settings = site.Settings{
		Name: "entry-" + strconv.Itoa(number), Host: n.host(), PeerPort: peerPort, FrontendAddress: e.callerAddress, ReadinessAddress: e.readinessAddress,
	}
	return e, e.configure(n, store)
}

func newAgent(number int, binary, dir string, n *network, store, engine netip.AddrPort, peerPort uint16) (*agent, error) {
	a := &agent{process{role: "agent", binary: binary, dir: dir}}
	a.settings = site.Settings{Name: "agent-" + strconv.Itoa(number), Host: engine.Addr(), PeerPort: peerPort, RunnerAddress: engine}
	return a, a.configure(n, store)
}

func (p *process) path() string { return filepath.Join(p.dir, p.settings.Name+".toml") }

// write replaces the contents of the settings file. It truncates the file after writing, not before, since some file
// systems then wait for the disk, which takes seconds if the disk is busy.
func (p *process) write(text string) error {
	f, err := os.OpenFile(p.path(), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if _, err := f.WriteString(text); err != nil {
		return err
	}
	return f.Truncate(int64(len(text)))
}

// start starts the process and appends its output to a log file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.dir, p.settings.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	port := strconv.Itoa(int(p.metricsAddress.Port()))
	p.cmd = exec.CommandContext(context.Background(), p.binary, "platform", p.role, "--settings-file", p.path(), "--metrics-port", port)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	p.history.Lifetimes = append(p.history.Lifetimes, processLifetime{Started: time.Now()})
	go func(cmd *exec.Cmd, ended chan struct{}, current int) {
		_ = cmd.Wait()
		_ = log.Close()
		p.updateHistory(func(h *processHistory) { h.Lifetimes[current].Ended = time.Now() })
		close(ended)
	}(p.cmd, p.exited, len(p.history.Lifetimes)-1)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // an exited process takes no signal and is restarted by whoever ended it
}

// terminate sends the process a signal to exit and waits until it has. After killAfter it kills the process.
func (p *process) terminate(s syscall.Signal) {
	p.mu.Lock()
	ended := p.exited
	p.mu.Unlock()
	p.updateHistory(func(h *processHistory) { h.recordSignal(s, time.Now()) })
	p.signal(syscall.SIGCONT)
	p.signal(s)
	select {
	case <-ended:
	case <-time.After(killAfter):
		p.signal(syscall.SIGKILL)
		<-ended
	}
}
