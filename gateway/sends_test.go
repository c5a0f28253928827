package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
)

func TestSendHistory(t *testing.T) {
	assertCounts := func(t *testing.T, s *sendHistory, runs, refusing, sends int) {
		t.Helper()
		assert.Equal(t, runs, s.runCount(), "runs")
		assert.Equal(t, refusing, s.refusingRunnerCount(), "runners that only refused")
		assert.Equal(t, sends, s.sendCount(), "sends")
	}
	t.Run("a second run at the same runner counts", func(t *testing.T) {
		s := &sendHistory{}
		s.recordSend("a")
		s.recordSend("a")
		assertCounts(t, s, 2, 0, 2)
	})
	t.Run("a runner that refuses twice counts once", func(t *testing.T) {
		s := &sendHistory{}
		for range 2 {
			s.recordSend("a")
			s.recordOutcome("a", sendRefused)
		}
		assertCounts(t, s, 0, 1, 2)
	})
	t.Run("a runner that refuses and then runs the request counts as a run", func(t *testing.T) {
		s := &sendHistory{}
		s.recordSend("a")
		s.recordOutcome("a", sendRefused)
		s.recordSend("a")
		assertCounts(t, s, 1, 0, 2)
	})
	t.Run("a refusal for outdated weights does not hide the run that follows it", func(t *testing.T) {
		s := &sendHistory{}
		s.recordSend("a")
		s.recordOutcome("a", sendRefused)
		s.recordOutdated("a")
		assertCounts(t, s, 0, 0, 1)
		s.recordSend("a")
		assertCounts(t, s, 1, 0, 2)
	})
	t.Run("only the first send is repeated for outdated weights", func(t *testing.T) {
		s := &sendHistory{}
		s.recordSend("b")
		s.recordSend("a")
		s.recordOutcome("a", sendRefused)
		s.recordOutdated("a")
		assertCounts(t, s, 1, 1, 2)
	})
	t.Run("a runner that had ended counts as no runner", func(t *testing.T) {
		s := &sendHistory{}
		s.recordSend("a")
		s.recordOutcome("a", sendRefused)
		s.recordOutcome("a", sendMisdirected)
		assertCounts(t, s, 0, 0, 1)
		assert.Equal(t, []rillreach.InstanceID{"a"}, s.runnersTried())
	})
	t.Run("a runner whose run was withdrawn counts once, and may be asked again once", func(t *testing.T) {
		s := &sendHistory{}
		s.recordSend("a")
		s.recordSend("b")
		s.recordWithdrawn("a")
		assertCounts(t, s, 2, 0, 2)
		assert.Equal(t, []rillreach.InstanceID{"a"}, s.runnersToAskAgain())
		s.recordSend("a")
		assertCounts(t, s, 2, 0, 3)
		assert.Empty(t, s.runnersToAskAgain())
		s.recordWithdrawn("a")
		assertCounts(t, s, 2, 0, 3)
		assert.Empty(t, s.runnersToAskAgain())
	})
	t.Run("a runner whose run was withdrawn may be asked again after a refusal", func(t *testing.T) {
		s := &sendHistory{}
		s.recordSend("a")
		s.recordWithdrawn("a")
		s.recordSend("a")
		s.recordOutcome("a", sendRefused)
		assertCounts(t, s, 1, 0, 2)
		assert.Equal(t, []rillreach.InstanceID{"a"}, s.runnersToAskAgain())
	})
	t.Run("a refusal is not withdrawn", func(t *testing.T) {
		s := &sendHistory{}
		s.recordSend("a")
		s.recordOutcome("a", sendRefused)
		s.recordWithdrawn("a")
		assertCounts(t, s, 0, 1, 1)
		assert.Empty(t, s.runnersToAskAgain())
	})
	t.Run("a runner that could not be reached is tried but not used", func(t *testing.T) {
		s := &sendHistory{}
		s.recordSend("a")
		s.recordOutcome("a", sendNotMade)
		assertCounts(t, s, 0, 0, 0)
		assert.Equal(t, []rillreach.InstanceID{"a"}, s.runnersTried())
		assert.Empty(t, s.runnersUsed())
	})
}
