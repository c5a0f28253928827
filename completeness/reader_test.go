package completeness

import (
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestEndOfConnection(t *testing.T) {
	require.ErrorIs(t, EndOfConnection(nil), ErrConnectionEnded)
	err := EndOfConnection(io.ErrClosedPipe)
	require.ErrorIs(t, err, ErrRequestNotWritten)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.NotErrorIs(t, err, ErrConnectionEnded)
}
