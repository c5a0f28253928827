// Package broadcast wakes all who wait for an event.
package broadcast

import "sync"

// Signal wakes everyone who waits for it; its zero value is ready.
type Signal struct {
	mu   sync.Mutex
	next chan struct{}
}

// Wait gives a channel that the next wake closes.
func (s *Signal) Wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

// Wake ends all waits that have begun.
func (s *Signal) Wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}
