package main

import (
	"slices"
	"syscall"
	"time"
)

// killAfter is how long a process may take to exit after SIGTERM before it is killed.
const killAfter = 10 * time.Second

// processLifetime is one run of a process, from its start to its exit.
type processLifetime struct {
	// Started is when the process was started, Ready when it first reported being ready, and Ended when its exit was
	// observed.
	Started time.Time
	Ready   time.Time
	Ended   time.Time
	// Signaled reports whether the process was sent a signal to exit.
	Signaled bool
}

// processHistory is the history of a process across restarts.
type processHistory struct {
	Lifetimes []processLifetime
	// SIGTERMs holds the times of the signals, and Outages the intervals of faults that the process cannot handle
	// itself.
	SIGTERMs []time.Time
	Outages  []interval
	// MostMemory is the most memory that the process has used, in bytes.
	MostMemory int
}

// recordSignal records a signal that ends the process.
func (h *processHistory) recordSignal(s syscall.Signal, now time.Time) {
	if l := &h.Lifetimes[len(h.Lifetimes)-1]; l.Ended.IsZero() {
		l.Signaled = true
	}
	if s == syscall.SIGTERM {
		h.SIGTERMs = append(h.SIGTERMs, now)
		return
	}
	h.Outages = append(h.Outages, interval{From: now, To: now.Add(restartDelay)})
}

// lastSIGTERMBefore returns the time of the last SIGTERM before t, or the zero time if there was none.
func (h *processHistory) lastSIGTERMBefore(t time.Time) time.Time {
	var last time.Time
	for _, stop := range h.SIGTERMs {
		if stop.Before(t) {
			last = stop
		}
	}
	return last
}

// wasRunning reports whether the process had become ready before t and ran for at least the remaining time after it.
func (h *processHistory) wasRunning(t time.Time, remaining time.Duration) bool {
	return slices.ContainsFunc(h.Lifetimes, func(l processLifetime) bool {
		return !l.Ready.IsZero() && l.Ready.Before(t) && (l.Ended.IsZero() || l.Ended.After(t.Add(remaining)))
	})
}

// disturbances returns the intervals in which the process was down or stopping.
func (h *processHistory) disturbances() []interval {
	times := slices.Clone(h.Outages)
	for _, stop := range h.SIGTERMs {
		times = append(times, interval{From: stop, To: stop.Add(killAfter)})
	}
	return times
}

// updateHistory updates the history under the lock.
func (p *process) updateHistory(fn func(h *processHistory)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fn(&p.history)
}

// historySnapshot returns a copy of the history.
func (p *process) historySnapshot() processHistory {
	p.mu.Lock()
	defer p.mu.Unlock()
	return processHistory{Lifetimes: slices.Clone(p.history.Lifetimes), SIGTERMs: slices.Clone(p.history.SIGTERMs), Outages: slices.Clone(p.history.Outages), MostMemory: p.history.MostMemory}
}

// currentLifetime returns the index of the current lifetime.
func (p *process) currentLifetime() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.history.Lifetimes) - 1
}

// recordReady records that the process reported being ready in the lifetime with the given index.
func (p *process) recordReady(number int) {
	p.updateHistory(func(h *processHistory) {
		if l := &h.Lifetimes[number]; l.Ready.IsZero() {
			l.Ready = time.Now()
		}
	})
}
