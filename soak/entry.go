package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// entry is one entry, a process that is started again whenever it ends.
type entry struct {
	number   int
	binary   string
	dir      string
	callers  string
	ready    string
	metrics  string
	settings string
	store    *proxy

	// restarts keeps two ends of the process from overlapping.
	restarts sync.Mutex

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

func freeAddress() (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

func newEntry(number int, binary, dir string, store netip.AddrPort) (*entry, error) {
	e := &entry{number: number, binary: binary, dir: dir, settings: filepath.Join(dir, fmt.Sprintf("entry-%d.toml", number))}
	var err error
	if e.store, err = newProxy(store); err != nil {
		return nil, err
	}
	for _, address := range []*string{&e.callers, &e.ready, &e.metrics} {
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	return e, e.write(e.good())
}

func (e *entry) good() string {
	return site.SettingsOf(fmt.Sprintf("entry-%d", e.number), e.callers, e.ready, e.store.address())
}

func (e *entry) write(text string) error { return os.WriteFile(e.settings, []byte(text), 0o600) }

// start starts the process; its log goes to a file.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(e.dir, fmt.Sprintf("entry-%d.log", e.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, port, err := net.SplitHostPort(e.metrics)
	if err != nil {
		return err
	}
	e.cmd = exec.CommandContext(context.Background(), e.binary, "platform", "entry", "--settings-file", e.settings, "--metrics-port", port)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}(e.cmd, e.ended)
	return nil
}

func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.cmd.Process.Signal(s) // a process that has ended takes no signal, and is started again by whoever ended it
}

// end ends the process by a signal and waits until it has, at the longest for its grace.
func (e *entry) end(s syscall.Signal) {
	e.signal(syscall.SIGCONT)
	e.signal(s)
	e.mu.Lock()
	ended := e.ended
	e.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		e.signal(syscall.SIGKILL)
		<-ended
	}
}
