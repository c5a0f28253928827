package localstate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

// A process that starts after the store has lost the newest configuration must not serve with the older
// one of the backup.
func TestStartWithRestoredConfig(t *testing.T) {
	const restoredVersion, peerVersion = 3, 5
	at := func(era, number uint64) rillreach.Revision { return rillreach.Revision{Era: era, Number: number} }
	started := func(observed deployment.ConfigVersion, age time.Duration) *State {
		s := newState()
		s.replaceRunners(nil, time.Time{})
		s.SetConfig(&deployment.Config{Version: restoredVersion, Revision: at(2, 10)})
		s.ObservePeerConfig(observed, time.Now().Add(-age))
		return s
	}
	peers := deployment.ConfigVersion{Version: peerVersion, Revision: at(1, 20)}
	t.Run("it waits for the configuration of its peers", func(t *testing.T) {
		s := started(peers, 0)
		assert.False(t, s.HasSynced())
		s.SetConfig(&deployment.Config{Version: peerVersion, Revision: at(2, 11)})
		assert.True(t, s.HasSynced())
	})
	t.Run("the wait is bounded", func(t *testing.T) {
		assert.True(t, started(peers, peerConfigTTL).HasSynced())
	})
	t.Run("a newer configuration of the same era does not delay serving", func(t *testing.T) {
		assert.True(t, started(deployment.ConfigVersion{Version: peerVersion, Revision: at(2, 11)}, 0).HasSynced())
	})
	t.Run("an older configuration of a peer does not delay serving", func(t *testing.T) {
		assert.True(t, started(deployment.ConfigVersion{Version: restoredVersion - 1, Revision: at(1, 5)}, 0).HasSynced())
	})
}
