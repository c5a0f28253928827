package main

import (
	"slices"
	"syscall"
	"time"
)

// endWithin is how long a process has from SIGTERM to its end before it is killed.
const endWithin = 10 * time.Second

// life is one run of a process, from its start to its end.
type life struct {
	// Started is when the process was started, Ready when it first called itself ready, Ended when it was seen to have ended.
	Started time.Time
	Ready   time.Time
	Ended   time.Time
	// Asked says that a signal asked it to end.
	Asked bool
}

// history is what happened to a process.
type history struct {
	Lives []life
	// Stops are the times of its SIGTERMs, Outages those of the faults that it could do nothing about.
	Stops   []time.Time
	Outages []span
}

// end notes a signal that ends the process.
func (h *history) end(s syscall.Signal, now time.Time) {
	if l := &h.Lives[len(h.Lives)-1]; l.Ended.IsZero() {
		l.Asked = true
	}
	if s == syscall.SIGTERM {
		h.Stops = append(h.Stops, now)
		return
	}
	h.Outages = append(h.Outages, span{From: now, To: now.Add(restartAfter)})
}

// stopBefore is when the last SIGTERM before a moment came, zero where none did.
func (h *history) stopBefore(t time.Time) time.Time {
	var last time.Time
	for _, stop := range h.Stops {
		if stop.Before(t) {
			last = stop
		}
	}
	return last
}

// livedAt reports that the process had been ready before a moment, and went on for a time after it.
func (h *history) livedAt(t time.Time, after time.Duration) bool {
	return slices.ContainsFunc(h.Lives, func(l life) bool {
		return !l.Ready.IsZero() && l.Ready.Before(t) && (l.Ended.IsZero() || l.Ended.After(t.Add(after)))
	})
}

// disturbed are the times in which the process was out or stopped.
func (h *history) disturbed() []span {
	times := slices.Clone(h.Outages)
	for _, stop := range h.Stops {
		times = append(times, span{From: stop, To: stop.Add(endWithin)})
	}
	return times
}

// change changes the history.
func (p *process) change(do func(h *history)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	do(&p.history)
}

// past is the history so far.
func (p *process) past() history {
	p.mu.Lock()
	defer p.mu.Unlock()
	return history{Lives: slices.Clone(p.history.Lives), Stops: slices.Clone(p.history.Stops), Outages: slices.Clone(p.history.Outages)}
}

// life is the number of the current life.
func (p *process) life() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.history.Lives) - 1
}

// noteReady records that the process called itself ready in one of its lives.
func (p *process) noteReady(number int) {
	p.change(func(h *history) {
		if l := &h.Lives[number]; l.Ready.IsZero() {
			l.Ready = time.Now()
		}
	})
}
