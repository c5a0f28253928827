package policy

import (
	"container/heap"
	"time"
)

// event is something that happens at a simulated time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventHeap is a heap of what is to happen, the earliest first.
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

func (s *simulation) schedule(at time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{at: at, seq: s.seq, run: do})
}

func (s *simulation) currentTime() time.Time { return time.Unix(0, int64(s.now)) }
