package notify

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
)

const trust = 2 * time.Second

var start = time.Unix(1000, 0)

func TestDue(t *testing.T) {
	due := func(tracker *Tracker, revision uint64, after time.Duration) bool {
		return tracker.ShouldPoll(KindConfig, rillreach.Revision{Number: revision}, start.Add(after), trust)
	}
	t.Run("a process that hears no relay asks by itself", func(t *testing.T) {
		assert.True(t, due(&Tracker{}, 5, 0))
	})
	t.Run("one that has all that a relay has seen does not", func(t *testing.T) {
		var tracker Tracker
		tracker.Receive(Notice{Kind: KindConfig, Revision: rillreach.Revision{Number: 5}}, start)
		assert.False(t, due(&tracker, 5, trust))
	})
	t.Run("one that has not asks at once, whatever others say", func(t *testing.T) {
		var tracker Tracker
		tracker.Receive(Notice{Kind: KindConfig, Revision: rillreach.Revision{Number: 6}}, start)
		tracker.Receive(Notice{Kind: KindConfig, Revision: rillreach.Revision{Number: 5}}, start)
		assert.True(t, due(&tracker, 5, 0))
	})
	t.Run("a relay's word holds from the store's answer on, and its age counts", func(t *testing.T) {
		var tracker Tracker
		tracker.Receive(Notice{Kind: KindConfig, Revision: rillreach.Revision{Number: 5}, Age: time.Second}, start)
		assert.False(t, due(&tracker, 5, trust-time.Second))
		assert.True(t, due(&tracker, 5, trust-time.Second+1))
	})
	t.Run("an older word takes nothing from a newer one", func(t *testing.T) {
		var tracker Tracker
		tracker.Receive(Notice{Kind: KindConfig, Revision: rillreach.Revision{Number: 5}}, start)
		tracker.Receive(Notice{Kind: KindConfig, Revision: rillreach.Revision{Number: 5}, Age: time.Hour}, start)
		assert.Equal(t, start, tracker.ConfirmedAt(KindConfig))
	})
	t.Run("the word on one kind says nothing of another", func(t *testing.T) {
		var tracker Tracker
		tracker.Receive(Notice{Kind: KindRunners, Revision: rillreach.Revision{Number: 5}}, start)
		assert.True(t, due(&tracker, 5, 0))
	})
}

func TestChanged(t *testing.T) {
	var tracker Tracker
	changed := tracker.Changed()
	tracker.Receive(Notice{Kind: KindConfig, Revision: rillreach.Revision{Number: 5}}, start)
	assertClosed(t, changed, true)
	changed = tracker.Changed()
	tracker.Receive(Notice{Kind: KindConfig, Revision: rillreach.Revision{Number: 5}}, start.Add(time.Second))
	assertClosed(t, changed, false)
}

func assertClosed(t *testing.T, c <-chan struct{}, want bool) {
	t.Helper()
	closed := false
	select {
	case <-c:
		closed = true
	default:
	}
	assert.Equal(t, want, closed)
}

func TestProgress(t *testing.T) {
	var p Progress
	_, ok := p.Notice(KindConfig, start)
	require.False(t, ok, "nothing is known before the first answer")
	p.RecordResponse(start, rillreach.Revision{Number: 7}, true)
	p.RecordResponse(start.Add(time.Second), rillreach.Revision{Number: 9}, false)
	n, ok := p.Notice(KindConfig, start.Add(3*time.Second))
	require.True(t, ok)
	assert.Equal(t, Notice{Kind: KindConfig, Revision: rillreach.Revision{Number: 7}, Age: 2 * time.Second}, n, "the revision is that of the last change, the age that of the last answer")
}

func TestCheck(t *testing.T) {
	require.NoError(t, Notice{Kind: KindRunners, Revision: rillreach.Revision{Number: 1}}.Check())
	require.Error(t, Notice{Revision: rillreach.Revision{Number: 1}}.Check())
	require.Error(t, Notice{Kind: KindRunners + 1}.Check())
	require.Error(t, Notice{Kind: KindConfig, Age: -1}.Check())
}
