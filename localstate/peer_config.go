package localstate

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach/deployment"
)

// peerTrust is for how long a process waits for a configuration that its peers have and the store doesn't: the operator writes it again soon after the
// store has come back from a copy, or never.
const peerTrust = 5 * time.Second

// peerConfig is the newest configuration that peers say they have in force; its zero value has heard of none.
type peerConfig struct {
	mu    sync.Mutex
	known deployment.ConfigVersion
	since time.Time
}

// hear takes over what a peer has in force.
func (p *peerConfig) hear(told deployment.ConfigVersion, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if told.Version > p.known.Version {
		p.known, p.since = told, now
	}
}

// newerThan reports that peers have a newer configuration from an earlier era of the store, so that this one is that of a copy.
func (p *peerConfig) newerThan(c *deployment.Config, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known.Version > c.Version && p.known.Revision.Era < c.Revision.Era && now.Sub(p.since) < peerTrust
}

// ObservePeerConfig takes over which configuration a peer has in force.
func (s *State) ObservePeerConfig(told deployment.ConfigVersion, now time.Time) {
	s.peerConfig.hear(told, now)
}
