package sidecar

import "sync"

// followerGroup counts the followers that are being served, so that an agent that shuts down can wait for them. The
// zero value is ready to use.
type followerGroup struct {
	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup
}

// enter adds a follower. It returns false if the group is closed.
func (g *followerGroup) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.wg.Add(1)
	}
	return !g.closed
}

// leave removes a follower.
func (g *followerGroup) leave() { g.wg.Done() }

// close makes enter refuse further followers, and waits until all followers have left.
func (g *followerGroup) close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.wg.Wait()
}
