package main

import (
	"slices"
	"syscall"
	"time"
)

// killAfter is how long a process has from SIGTERM to its end before it is killed.
const killAfter = 10 * time.Second

// processLifetime is one run of a process, from its start to its end.
type processLifetime struct {
	// Started is when the process was started, Ready when it first called itself ready, Ended when it was seen to have ended.
	Started time.Time
	Ready   time.Time
	Ended   time.Time
	// Signaled says that a signal asked it to end.
	Signaled bool
}

// processHistory is what happened to a process.
type processHistory struct {
	Lifetimes []processLifetime
	// SIGTERMs are the times of its SIGTERMs, Outages those of the faults that it could do nothing about.
	SIGTERMs []time.Time
	Outages  []interval
}

// recordSignal notes a signal that ends the process.
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

// lastSIGTERMBefore is when the last SIGTERM before a moment came, zero where none did.
func (h *processHistory) lastSIGTERMBefore(t time.Time) time.Time {
	var last time.Time
	for _, stop := range h.SIGTERMs {
		if stop.Before(t) {
			last = stop
		}
	}
	return last
}

// wasRunning reports that the process had been ready before a moment, and went on for a time after it.
func (h *processHistory) wasRunning(t time.Time, after time.Duration) bool {
	return slices.ContainsFunc(h.Lifetimes, func(l processLifetime) bool {
		return !l.Ready.IsZero() && l.Ready.Before(t) && (l.Ended.IsZero() || l.Ended.After(t.Add(after)))
	})
}

// disturbances are the times in which the process was out or stopped.
func (h *processHistory) disturbances() []interval {
	times := slices.Clone(h.Outages)
	for _, stop := range h.SIGTERMs {
		times = append(times, interval{From: stop, To: stop.Add(killAfter)})
	}
	return times
}

// updateHistory changes the history.
func (p *process) updateHistory(do func(h *processHistory)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	do(&p.history)
}

// historySnapshot is the history so far.
func (p *process) historySnapshot() processHistory {
	p.mu.Lock()
	defer p.mu.Unlock()
	return processHistory{Lifetimes: slices.Clone(p.history.Lifetimes), SIGTERMs: slices.Clone(p.history.SIGTERMs), Outages: slices.Clone(p.history.Outages)}
}

// currentLifetime is the number of the current currentLifetime.
func (p *process) currentLifetime() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.history.Lifetimes) - 1
}

// recordReady records that the process called itself ready in one of its lives.
func (p *process) recordReady(number int) {
	p.updateHistory(func(h *processHistory) {
		if l := &h.Lifetimes[number]; l.Ready.IsZero() {
			l.Ready = time.Now()
		}
	})
}
