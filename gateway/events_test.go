package gateway

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// readEvents reads a stream to its end, for a caller that has the events up to the given one.
func readEvents(t require.TestingT, from io.Reader, had string) string {
	r := eventReader{from: from, wholeEvents: true, resumeAfter: had}
	var all strings.Builder
	for {
		part, err := r.next()
		all.Write(part)
		if err != nil {
			require.ErrorIs(t, err, io.EOF)
			return all.String()
		}
	}
}

// eventsOf is a stream from one event to another.
func eventsOf(first, last int) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		b.WriteString(site.Piece(id))
	}
	return b.String()
}

// TestJoinOfTwoRuns: the second run began after the event that the caller had then, and the first went on meanwhile.
func TestJoinOfTwoRuns(t *testing.T) {
	t.Run("every event reaches the caller once, however the bytes come", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			last := rapid.IntRange(1, 30).Draw(t, "last")
			begun := rapid.IntRange(0, last).Draw(t, "second run begins after")
			had := rapid.IntRange(begun, last).Draw(t, "caller has")
			second := strings.NewReader(eventsOf(begun+1, last))
			readers := map[string]io.Reader{"whole": second, "bytes": iotest.OneByteReader(second), "halves": iotest.HalfReader(second)}
			from := readers[rapid.SampledFrom([]string{"whole", "bytes", "halves"}).Draw(t, "reader")]
			assert.Equal(t, eventsOf(had+1, last), readEvents(t, from, site.EventID(had)))
		})
	})
	t.Run("what follows no event that is new is left out with the events that aren't", func(t *testing.T) {
		got := readEvents(t, strings.NewReader(eventsOf(3, 4)+": no id\n\n"+eventsOf(5, 6)), "5")
		assert.Equal(t, eventsOf(6, 6), got)
	})
	t.Run("ids that are no numbers don't tell which events are new", func(t *testing.T) {
		assert.False(t, isNumericID("a7"))
		assert.True(t, isNumericID("7"))
	})
}
