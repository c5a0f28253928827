package notify

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
)

// A relay that stands in an earlier era of the store than its listener must not keep that from asking.
func TestNoticesOfAnEarlierEra(t *testing.T) {
	old := Notice{Kind: KindConfig, Revision: rillreach.Revision{Era: 1, Number: 90}}
	restored := Notice{Kind: KindConfig, Revision: rillreach.Revision{Era: 2, Number: 10}}
	due := func(tracker *Tracker, followed rillreach.Revision) bool {
		return tracker.ShouldPoll(KindConfig, followed, start, trust)
	}
	t.Run("one that has followed the later era asks by itself", func(t *testing.T) {
		var tracker Tracker
		tracker.Receive(old, start)
		assert.True(t, due(&tracker, restored.Revision))
		assert.False(t, due(&tracker, old.Revision))
	})
	t.Run("one that hears of the later era asks, whatever others say", func(t *testing.T) {
		var tracker Tracker
		tracker.Receive(restored, start)
		tracker.Receive(old, start)
		assert.True(t, due(&tracker, old.Revision))
		assert.False(t, due(&tracker, restored.Revision))
	})
	t.Run("the word of the earlier era confirms nothing of the later one", func(t *testing.T) {
		var tracker Tracker
		tracker.Receive(restored, start.Add(-time.Hour))
		tracker.Receive(old, start)
		assert.True(t, due(&tracker, restored.Revision))
	})
	t.Run("a relay tells of the later era though its revision is lower", func(t *testing.T) {
		var p Progress
		p.RecordResponse(start, old.Revision, true)
		p.RecordResponse(start, restored.Revision, true)
		n, _ := p.Notice(KindConfig, start)
		assert.Equal(t, restored, n)
	})
}
