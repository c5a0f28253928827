package bounded

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestReadAll(t *testing.T) {
	const limit = 8
	for _, size := range []int{0, limit - 1, limit} {
		data, err := ReadAll(strings.NewReader(strings.Repeat("x", size)), limit)
		require.NoError(t, err)
		assert.Len(t, data, size)
	}
	_, err := ReadAll(strings.NewReader(strings.Repeat("x", limit+1)), limit)
	require.ErrorIs(t, err, ErrTooLarge)
	_, err = ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), limit)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
