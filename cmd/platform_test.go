package cmd

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach/gateway"
)

// TestExitMarginCoversLogDrain guards against an entry that is killed before it has written its log. This happens if
// requests run until the end of the grace period and the time reserved for the exit is too short for the log drain.
func TestExitMarginCoversLogDrain(t *testing.T) {
	assert.GreaterOrEqual(t, gateway.ExitMargin, 4*logDrainTimeout)
}
