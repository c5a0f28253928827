package deployment

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
)

// A lower fencing token after a higher one would be refused, or break the order of holders.
func TestFenceGrowsOverEras(t *testing.T) {
	fence := func(era, number uint64) uint64 {
		return DesiredWeights{Revision: rillreach.Revision{Era: era, Number: number}}.FencingToken()
	}
	assert.Greater(t, fence(2, 10), fence(1, 90))
	assert.Greater(t, fence(3, 1), fence(2, 1<<31))
	assert.Equal(t, uint64(90), fence(0, 90), "a store that tells no era")
	assert.Equal(t, fence(0, 90), fence(1, 90), "the first answer without the header, the next with it")
}
