// Package broadcast notifies all goroutines that wait for an event.
package broadcast

import "sync"

// Signal wakes all goroutines that wait for it. The zero value is ready to use.
type Signal struct {
	mu sync.Mutex
	ch chan struct{}
}

// Wait returns a channel that the next call of Wake closes.
func (s *Signal) Wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

// Wake closes the channel that earlier calls of Wait returned.
func (s *Signal) Wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}
