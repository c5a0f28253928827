package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestSuspendedTimeIsConstantWhileRunning(t *testing.T) {
	first := SuspendedTime()
	assert.GreaterOrEqual(t, first, time.Duration(0))
	assert.Less(t, (SuspendedTime() - first).Abs(), 100*time.Millisecond, "a machine that runs isn't suspended")
}
