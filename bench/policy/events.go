package policy

import (
	"container/heap"
	"time"
)

// event is a function to run at a simulated time. Events at the same time run in the order in which they were
// scheduled.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventHeap is a heap of scheduled events, the earliest first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// schedule adds an event that runs at the given simulated time.
func (s *simulation) schedule(at time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{at: at, seq: s.seq, run: do})
}

// currentTime returns the simulated time as a time.Time.
func (s *simulation) currentTime() time.Time { return time.Unix(0, int64(s.now)) }
