package cmd

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach/gateway"
)

// TestStopLeavesTimeForTheLog: an entry that has requests to the end of its grace must still end by itself, log included.
func TestStopLeavesTimeForTheLog(t *testing.T) {
	assert.GreaterOrEqual(t, gateway.ExitMargin, 4*drainLog)
}
