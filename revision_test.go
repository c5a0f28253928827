package rillreach

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestRevisionOrder(t *testing.T) {
	assert.True(t, Revision{Era: 2, Number: 1}.After(Revision{Era: 1, Number: 9}))
	assert.True(t, Revision{Era: 1, Number: 9}.After(Revision{Era: 1, Number: 8}))
	assert.False(t, Revision{Era: 1, Number: 9}.After(Revision{Era: 1, Number: 9}))
}

// TestSupersedes draws the words that a process hears of one object, from a store whose versions rise and which loses its last writes now and then: what
// it keeps is never older than what it had, and ends with the last one written.
func TestSupersedes(t *testing.T) {
	type word struct {
		at      Revision
		version int
	}
	rapid.Check(t, func(t *rapid.T) {
		now := word{at: Revision{Era: 1, Number: 1}, version: 1}
		written, kept := []word{now}, now
		newest := now.version
		hear := func(w word) {
			if Supersedes(w.at, w.version, kept.at, kept.version) {
				assert.GreaterOrEqual(t, w.version, kept.version)
				kept = w
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0: // the operator writes a newer version
				newest++
				now = word{at: Revision{Era: now.at.Era, Number: now.at.Number + 1}, version: newest}
				written = append(written, now)
			case 1: // the store comes back from a copy, and the operator writes its newest version again
				copied := rapid.SampledFrom(written).Draw(t, "copy")
				copied.at.Era = now.at.Era + 1
				hear(copied)
				now = word{at: Revision{Era: copied.at.Era, Number: copied.at.Number + 1}, version: newest}
				written = []word{copied, now}
			case 2: // an earlier word comes late
				hear(rapid.SampledFrom(written).Draw(t, "late"))
			default:
				hear(now)
			}
		}
		hear(now)
		assert.Equal(t, newest, kept.version)
	})
}
