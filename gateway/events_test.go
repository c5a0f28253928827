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

// readEvents reads a stream to its end, for a caller that already has the events up to the given ID.
func readEvents(t require.TestingT, from io.Reader, resumeAfter string) string {
	r := eventReader{from: from, wholeEvents: true, resumeAfter: resumeAfter}
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

// eventsOf returns the stream of events from first to last.
func eventsOf(first, last int) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		b.WriteString(site.EventText(id))
	}
	return b.String()
}

// A second run of a stream continues after the last event that the caller had when that run started. The first run may
// have sent more events meanwhile, which must not reach the caller twice.
func TestStreamJoinedFromTwoRuns(t *testing.T) {
	t.Run("every event is returned once for any read sizes", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			last := rapid.IntRange(1, 30).Draw(t, "last")
			resumedAfter := rapid.IntRange(0, last).Draw(t, "second run begins after")
			received := rapid.IntRange(resumedAfter, last).Draw(t, "caller has")
			second := strings.NewReader(eventsOf(resumedAfter+1, last))
			readers := map[string]io.Reader{"whole": second, "bytes": iotest.OneByteReader(second), "halves": iotest.HalfReader(second)}
			from := readers[rapid.SampledFrom([]string{"whole", "bytes", "halves"}).Draw(t, "reader")]
			assert.Equal(t, eventsOf(received+1, last), readEvents(t, from, site.EventID(received)))
		})
	})
	t.Run("an event without ID between seen events is dropped with them", func(t *testing.T) {
		got := readEvents(t, strings.NewReader(eventsOf(3, 4)+": no id\n\n"+eventsOf(5, 6)), "5")
		assert.Equal(t, eventsOf(6, 6), got)
	})
	t.Run("non-numeric IDs do not show which events are new", func(t *testing.T) {
		assert.False(t, isNumericID("a7"))
		assert.True(t, isNumericID("7"))
	})
}
