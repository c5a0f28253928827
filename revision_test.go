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

// A process observes one object, in part out of order, in a store that is sometimes restored from a backup that lacks
// the last writes. The version that the process keeps must never decrease, and must end as the version written last.
func TestSupersedes(t *testing.T) {
	type observation struct {
		at      Revision
		version int
	}
	rapid.Check(t, func(t *rapid.T) {
		current := observation{at: Revision{Era: 1, Number: 1}, version: 1}
		history, known := []observation{current}, current
		newestVersion := current.version
		observe := func(o observation) {
			if Supersedes(o.at, o.version, known.at, known.version) {
				assert.GreaterOrEqual(t, o.version, known.version)
				known = o
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0: // the operator writes a newer version
				newestVersion++
				current = observation{at: Revision{Era: current.at.Era, Number: current.at.Number + 1}, version: newestVersion}
				history = append(history, current)
			case 1: // the store is restored from a backup, and the operator writes the newest version again
				restored := rapid.SampledFrom(history).Draw(t, "restored")
				restored.at.Era = current.at.Era + 1
				observe(restored)
				current = observation{at: Revision{Era: restored.at.Era, Number: restored.at.Number + 1}, version: newestVersion}
				history = []observation{restored, current}
			case 2: // an earlier observation arrives late
				observe(rapid.SampledFrom(history).Draw(t, "late"))
			default:
				observe(current)
			}
		}
		observe(current)
		assert.Equal(t, newestVersion, known.version)
	})
}
