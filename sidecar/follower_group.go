package sidecar

import "sync"

// followerGroup counts the followers that are being served, so that an agent that ends can wait for them; its zero value is ready.
type followerGroup struct {
	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup
}

// enter counts a follower; it reports false where none is served any more.
func (g *followerGroup) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.wg.Add(1)
	}
	return !g.closed
}

// leave counts a follower that is served no more.
func (g *followerGroup) leave() { g.wg.Done() }

// close lets no follower in any more, and waits for those that are served.
func (g *followerGroup) close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.wg.Wait()
}
