package localstate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

// A process that starts while the store has lost the newest configuration must not serve by the older one of the copy.
func TestProcessThatStartsWithACopy(t *testing.T) {
	const copied, kept = 3, 5
	at := func(era, number uint64) rillreach.Revision { return rillreach.Revision{Era: era, Number: number} }
	started := func(told deployment.ConfigVersion, since time.Duration) *State {
		s := state()
		s.listRunners(nil, time.Time{})
		s.SetConfig(&deployment.Config{Version: copied, Revision: at(2, 10)})
		s.ObservePeerConfig(told, time.Now().Add(-since))
		return s
	}
	peers := deployment.ConfigVersion{Version: kept, Revision: at(1, 20)}
	t.Run("it waits for the one that its peers have", func(t *testing.T) {
		s := started(peers, 0)
		assert.False(t, s.HasSynced())
		s.SetConfig(&deployment.Config{Version: kept, Revision: at(2, 11)})
		assert.True(t, s.HasSynced())
	})
	t.Run("but not for ever", func(t *testing.T) {
		assert.True(t, started(peers, peerTrust).HasSynced())
	})
	t.Run("a peer that has just heard of a newer one keeps nobody from serving", func(t *testing.T) {
		assert.True(t, started(deployment.ConfigVersion{Version: kept, Revision: at(2, 11)}, 0).HasSynced())
	})
	t.Run("nor does one that has an older one", func(t *testing.T) {
		assert.True(t, started(deployment.ConfigVersion{Version: copied - 1, Revision: at(1, 5)}, 0).HasSynced())
	})
}
