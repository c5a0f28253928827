package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const log = `noise before
{"time":"2026-01-01T00:00:05Z","level":"INFO","msg":"answered","instance":"e1","request":"a","status":200}
   1.0 e1 {"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"configuration in force","instance":"e1","version":3}
{"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"configuration in force","instance":"e1","version":4}
{"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"configuration in force","instance":"e2","version":4}
{"time":"2026-01-01T00:00:03Z","level":"INFO","msg":"runner added","instance":"e1","runner":"r1"}
{"time":"2026-01-01T00:00:03Z","level":"INFO","msg":"runner added","instance":"e1","runner":"r2"}
{"time":"2026-01-01T00:00:04Z","level":"INFO","msg":"runner chosen","instance":"e1","request":"a","chosen":"r1","weights":2}
{"time":"2026-01-01T00:00:04Z","level":"INFO","msg":"runner chosen","instance":"e2","request":"b","chosen":"r2"}
{"time":"2026-01-01T00:00:09Z","level":"INFO","msg":"configuration in force","instance":"e1","version":5}
{broken
`

func TestTell(t *testing.T) {
	lines, err := Read(strings.NewReader(log))
	require.NoError(t, err)
	story := HistoryOf(lines, "a")
	t.Run("the decisions stand in the order of their time", func(t *testing.T) {
		require.Len(t, story.Lines, 2)
		assert.Equal(t, "runner chosen", story.Lines[0].Message)
		assert.Equal(t, "answered", story.Lines[1].Message)
	})
	t.Run("beliefs are the last ones before, of the instance that decided, and of the runners it met", func(t *testing.T) {
		require.Len(t, story.PriorState, 2)
		assert.InDelta(t, 4, story.PriorState[0].Fields["version"], 0)
		assert.Equal(t, "r1", story.PriorState[1].Fields["runner"])
	})
	t.Run("a request that nobody logged has no story", func(t *testing.T) { assert.Empty(t, HistoryOf(lines, "c").Lines) })
}
