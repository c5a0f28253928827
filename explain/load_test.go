package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const loadLog = `{"time":"2026-01-01T00:00:01.1Z","msg":"runner chosen","request":"a","missing":100,"again":40,"fetched":10,"held":"0s","estimate":"100ms"}
{"time":"2026-01-01T00:00:01.2Z","msg":"runner chosen","request":"b","missing":200,"held":"300ms","estimate":"200ms"}
{"time":"2026-01-01T00:00:01.3Z","msg":"runner chosen","request":"plain","missing":0,"estimate":"5ms"}
{"time":"2026-01-01T00:00:03.5Z","msg":"answered","request":"a","waited":"1.5s"}
{"time":"2026-01-01T00:00:03.6Z","msg":"attempt failed","request":"b"}
{"time":"2026-01-01T00:00:03.7Z","msg":"request given up","request":"b","decision":"caller-left"}
{"time":"2026-01-01T00:00:03.8Z","msg":"request given up","request":"c","decision":"backlog"}
`

func TestStatsBySecond(t *testing.T) {
	lines, err := Read(strings.NewReader(loadLog))
	require.NoError(t, err)
	seconds := StatsBySecond(lines)
	require.Len(t, seconds, 2)
	t.Run("prompts count in the second in which they are sent", func(t *testing.T) {
		s := seconds[0]
		assert.Equal(t, []int{2, 300, 40, 10}, []int{s.Sent, s.UncachedTokens, s.RecomputedTokens, s.FetchedTokens})
		assert.Equal(t, 300*time.Millisecond, s.MedianHold)
		assert.Equal(t, 200*time.Millisecond, s.MedianExpectedTTFT)
	})
	t.Run("actual time to first token counts in the second of the send", func(t *testing.T) {
		assert.Equal(t, 1500*time.Millisecond, seconds[0].MedianTTFT)
	})
	t.Run("failed and given-up requests count when they end", func(t *testing.T) {
		assert.Equal(t, []int{1, 1, 1}, []int{seconds[1].Failed, seconds[1].Abandoned, seconds[1].Rejected})
	})
}
