package notify

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
)

// After the object store was restored, a relay may still send notices from the earlier era, whose revision numbers are
// higher. They must not keep a process from polling for changes of the new era.
func TestNoticesFromEarlierEra(t *testing.T) {
	old := Notice{Kind: KindConfig, Revision: rillreach.Revision{Era: 1, Number: 90}}
	restored := Notice{Kind: KindConfig, Revision: rillreach.Revision{Era: 2, Number: 10}}
	shouldPoll := func(tracker *Tracker, known rillreach.Revision) bool {
		return tracker.ShouldPoll(KindConfig, known, start, maxAge)
	}
	t.Run("a process that knows the later era polls", func(t *testing.T) {
		var tracker Tracker
		tracker.Receive(old, start)
		assert.True(t, shouldPoll(&tracker, restored.Revision))
		assert.False(t, shouldPoll(&tracker, old.Revision))
	})
	t.Run("a later notice from the earlier era does not hide the new era", func(t *testing.T) {
		var tracker Tracker
		tracker.Receive(restored, start)
		tracker.Receive(old, start)
		assert.True(t, shouldPoll(&tracker, old.Revision))
		assert.False(t, shouldPoll(&tracker, restored.Revision))
	})
	t.Run("a notice from the earlier era does not confirm the later era", func(t *testing.T) {
		var tracker Tracker
		tracker.Receive(restored, start.Add(-time.Hour))
		tracker.Receive(old, start)
		assert.True(t, shouldPoll(&tracker, restored.Revision))
	})
	t.Run("a relay reports the later era although its revision number is lower", func(t *testing.T) {
		var p Progress
		p.RecordResponse(start, old.Revision, true)
		p.RecordResponse(start, restored.Revision, true)
		n, _ := p.Notice(KindConfig, start)
		assert.Equal(t, restored, n)
	})
}
