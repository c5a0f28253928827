package main

import (
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// memoryLimit is the memory of a process in the settings, in bytes. The platform kills a process that uses more.
	memoryLimit = 284 << 20
	// memoryCheckInterval is short enough to see memory that fills at the speed of loopback.
	memoryCheckInterval = 20 * time.Millisecond
)

// watchMemory records the most memory that each entry uses, until it is stopped.
func (c *cluster) watchMemory(stop <-chan struct{}) {
	ticker := time.NewTicker(memoryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for _, e := range c.entries {
			used := e.residentBytes()
			e.updateHistory(func(h *processHistory) { h.MostMemory = max(h.MostMemory, used) })
		}
	}
}

// residentBytes returns the resident memory of the process, zero if it is not running.
func (p *process) residentBytes() int {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize()
}

// checkMemory reports entries that used more memory than they have.
func (r *observations) checkMemory(report func(string, ...any)) {
	for number, e := range r.Entries {
		if e.MostMemory > memoryLimit {
			report("entry %d used %d MB of %d", number, e.MostMemory>>20, memoryLimit>>20)
		}
	}
}
