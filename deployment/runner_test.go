package deployment

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
)

// Runners refuse a fencing token that is lower than an earlier one. A token that fell when the object store was
// restored would therefore block orders, or let an outdated holder's orders win.
func TestFencingTokenGrowsAcrossEras(t *testing.T) {
	token := func(era, number uint64) uint64 {
		return DesiredWeights{Revision: rillreach.Revision{Era: era, Number: number}}.FencingToken()
	}
	assert.Greater(t, token(2, 10), token(1, 90))
	assert.Greater(t, token(3, 1), token(2, 1<<31))
	assert.Equal(t, uint64(90), token(0, 90), "store without an era")
	assert.Equal(t, token(0, 90), token(1, 90), "era header missing from the first response only")
}
