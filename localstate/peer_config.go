package localstate

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach/deployment"
)

// peerConfigTTL is how long a process waits for a configuration that its peers have and the store lacks. After a
// restore from a backup the operator rewrites it soon or not at all.
const peerConfigTTL = 5 * time.Second

// peerConfig is the newest configuration that peers report to have in force. The zero value has no report.
type peerConfig struct {
	mu         sync.Mutex
	known      deployment.ConfigVersion
	knownSince time.Time
}

// observe records the configuration that a peer has in force.
func (p *peerConfig) observe(version deployment.ConfigVersion, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version.Version > p.known.Version {
		p.known, p.knownSince = version, now
	}
}

// newerThan reports whether peers have a newer configuration from an earlier era of the store, which means that c
// stems from a backup.
func (p *peerConfig) newerThan(c *deployment.Config, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known.Version > c.Version && p.known.Revision.Era < c.Revision.Era && now.Sub(p.knownSince) < peerConfigTTL
}

// ObservePeerConfig records which configuration a peer has in force.
func (s *State) ObservePeerConfig(version deployment.ConfigVersion, now time.Time) {
	s.peerConfig.observe(version, now)
}
