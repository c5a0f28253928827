package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const sampleLog = `noise before
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

func TestHistoryOf(t *testing.T) {
	lines, err := Read(strings.NewReader(sampleLog))
	require.NoError(t, err)
	history := HistoryOf(lines, "a")
	t.Run("lines of the request are ordered by time", func(t *testing.T) {
		require.Len(t, history.Lines, 2)
		assert.Equal(t, "runner chosen", history.Lines[0].Message)
		assert.Equal(t, "answered", history.Lines[1].Message)
	})
	t.Run("prior state is the latest of the deciding instance and of the request's runners", func(t *testing.T) {
		require.Len(t, history.PriorState, 2)
		assert.InDelta(t, 4, history.PriorState[0].Fields["version"], 0)
		assert.Equal(t, "r1", history.PriorState[1].Fields["runner"])
	})
	t.Run("requests that take up the request's stream are part of its history", func(t *testing.T) {
		lines, err := Read(strings.NewReader(sampleLog + `{"time":"2026-01-01T00:00:07Z","level":"INFO","msg":"stream taken up","instance":"e2","request":"b","resumes":"a"}`))
		require.NoError(t, err)
		history := HistoryOf(lines, "a")
		require.Len(t, history.Lines, 3)
		assert.Equal(t, "b", history.Lines[2].Request)
	})
	t.Run("the runs that ended under a quarantined part explain a refusal", func(t *testing.T) {
		lines, err := Read(strings.NewReader(`
{"time":"2026-01-01T00:00:01Z","msg":"runner ended under a request","decision":"suspect","instance":"e2","request":"x","runner":"r1","parts":["p0","p1"]}
{"time":"2026-01-01T00:00:02Z","msg":"runner ended under a request","decision":"suspect","instance":"e2","request":"y","runner":"r2","parts":["p0"]}
{"time":"2026-01-01T00:00:03Z","msg":"part quarantined that runners have ended under","instance":"e1","part":"p1"}
{"time":"2026-01-01T00:00:04Z","msg":"part of the prompt is quarantined","instance":"e1","request":"z","part":"p1"}
{"time":"2026-01-01T00:00:05Z","msg":"part of the prompt is quarantined","instance":"e1","request":"a","part":"p1"}
{"time":"2026-01-01T00:00:05Z","msg":"request refused","instance":"e1","request":"a","reason":"crashes-runners"}
{"time":"2026-01-01T00:00:06Z","msg":"runner ended under a request","decision":"suspect","instance":"e2","request":"x","runner":"r3","parts":["p1"]}
`))
		require.NoError(t, err)
		evidence := HistoryOf(lines, "a").Evidence
		require.Len(t, evidence, 2)
		assert.Equal(t, "r1", evidence[0].Fields["runner"])
		assert.Equal(t, "e2", evidence[0].Instance)
		assert.Equal(t, "part quarantined that runners have ended under", evidence[1].Message)
	})
	t.Run("history of an unknown request is empty", func(t *testing.T) { assert.Empty(t, HistoryOf(lines, "c").Lines) })
}
