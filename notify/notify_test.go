package notify

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
)

const maxAge = 2 * time.Second

var start = time.Unix(1000, 0)

func TestShouldPoll(t *testing.T) {
	shouldPoll := func(tracker *Tracker, revision uint64, after time.Duration) bool {
		return tracker.ShouldPoll(KindConfig, rillreach.Revision{Number: revision}, start.Add(after), maxAge)
	}
	t.Run("polls without notices", func(t *testing.T) {
		assert.True(t, shouldPoll(&Tracker{}, 5, 0))
	})
	t.Run("does not poll when up to date with a relay", func(t *testing.T) {
		var tracker Tracker
		tracker.Receive(Notice{Kind: KindConfig, Revision: rillreach.Revision{Number: 5}}, start)
		assert.False(t, shouldPoll(&tracker, 5, maxAge))
	})
	t.Run("polls when one relay has seen a later change, even if another has not", func(t *testing.T) {
		var tracker Tracker
		tracker.Receive(Notice{Kind: KindConfig, Revision: rillreach.Revision{Number: 6}}, start)
		tracker.Receive(Notice{Kind: KindConfig, Revision: rillreach.Revision{Number: 5}}, start)
		assert.True(t, shouldPoll(&tracker, 5, 0))
	})
	t.Run("counts the maximum age from the store's response to the relay", func(t *testing.T) {
		var tracker Tracker
		tracker.Receive(Notice{Kind: KindConfig, Revision: rillreach.Revision{Number: 5}, Age: time.Second}, start)
		assert.False(t, shouldPoll(&tracker, 5, maxAge-time.Second))
		assert.True(t, shouldPoll(&tracker, 5, maxAge-time.Second+1))
	})
	t.Run("an older confirmation does not replace a newer one", func(t *testing.T) {
		var tracker Tracker
		tracker.Receive(Notice{Kind: KindConfig, Revision: rillreach.Revision{Number: 5}}, start)
		tracker.Receive(Notice{Kind: KindConfig, Revision: rillreach.Revision{Number: 5}, Age: time.Hour}, start)
		assert.Equal(t, start, tracker.ConfirmedAt(KindConfig))
	})
	t.Run("a notice of one kind does not confirm another", func(t *testing.T) {
		var tracker Tracker
		tracker.Receive(Notice{Kind: KindRunners, Revision: rillreach.Revision{Number: 5}}, start)
		assert.True(t, shouldPoll(&tracker, 5, 0))
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
	require.False(t, ok, "no notice before the first response")
	p.RecordResponse(start, rillreach.Revision{Number: 7}, true)
	p.RecordResponse(start.Add(time.Second), rillreach.Revision{Number: 9}, false)
	n, ok := p.Notice(KindConfig, start.Add(3*time.Second))
	require.True(t, ok)
	assert.Equal(t, Notice{Kind: KindConfig, Revision: rillreach.Revision{Number: 7}, Age: 2 * time.Second}, n, "revision of the last change, age of the last response")
}

func TestCheck(t *testing.T) {
	require.NoError(t, Notice{Kind: KindRunners, Revision: rillreach.Revision{Number: 1}}.Check())
	require.Error(t, Notice{Revision: rillreach.Revision{Number: 1}}.Check())
	require.Error(t, Notice{Kind: KindRunners + 1}.Check())
	require.Error(t, Notice{Kind: KindConfig, Age: -1}.Check())
}
