package eventstream

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// parse feeds the stream in parts, and returns the parser and how much of the stream ends with an event.
func parse(parts ...string) (p *Parser, complete int) {
	p = &Parser{}
	fed := 0
	for _, part := range parts {
		if end := p.Feed([]byte(part)); end != noEnd {
			complete = fed + end
		}
		fed += len(part)
	}
	return p, complete
}

func TestParser(t *testing.T) {
	for _, c := range []struct {
		name, stream string
		events       int
		inside       bool
		complete     int
	}{
		{"empty", "", 0, false, 0},
		{"one event", "id: 1\ndata: a\n\n", 1, false, 15},
		{"one event with CRLF", "id: 1\r\ndata: a\r\n\r\n", 1, false, 18},
		{"one event with CR", "data: a\r\r", 1, false, 0},
		{"two events with CR", "data: a\r\rdata: b\r\r", 2, false, 9},
		{"ends after a field", "id: 1\ndata: a\n", 0, true, 0},
		{"ends after a field with CRLF", "id: 1\r\ndata: a\r\n", 0, true, 0},
		{"ends inside a field", "data: a\n\nid: 2\nda", 1, true, 9},
		{"ends inside the first line", "i", 0, true, 0},
		{"ends after a comment", "data: a\n\n: ping\n", 1, false, 9},
		{"ends inside a comment", "data: a\n\n: pi", 1, true, 9},
		{"a comment inside an event", "data: a\n: ping\n\n", 1, false, 16},
		{"a comment alone is no event", ": ping\n\n", 0, false, 8},
		{"blank lines are no events", "\n\n\n", 0, false, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, complete := parse(c.stream)
			assert.Equal(t, c.events, p.Events())
			assert.Equal(t, c.inside, p.Inside())
			assert.Equal(t, c.complete, complete)
		})
	}
}

func TestParserDependsOnReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(rapid.SampledFrom([]string{"", "", "id: 1", "data: a", ": ping", "x"}), 0, 12).Draw(t, "lines")
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "line end")
		stream := strings.Join(lines, lineEnd)
		whole, wholeComplete := parse(stream)
		var parts []string
		for rest := stream; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			parts, rest = append(parts, rest[:n]), rest[n:]
		}
		parted, partedComplete := parse(parts...)
		assert.Equal(t, whole.Events(), parted.Events())
		assert.Equal(t, whole.Inside(), parted.Inside())
		assert.Equal(t, wholeComplete, partedComplete)
	})
}

func TestCut(t *testing.T) {
	for _, c := range []struct{ name, stream, event, rest string }{
		{"LF", "id: 1\n\nid: 2\n\n", "id: 1\n\n", "id: 2\n\n"},
		{"CRLF", "id: 1\r\n\r\nid: 2\r\n\r\n", "id: 1\r\n\r\n", "id: 2\r\n\r\n"},
		{"CR", "id: 1\r\rid: 2\r\r", "id: 1\r\r", "id: 2\r\r"},
		{"no end", "id: 1\n", "id: 1\n", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			event, rest := Cut([]byte(c.stream))
			assert.Equal(t, c.event, string(event))
			assert.Equal(t, c.rest, string(rest))
		})
	}
}

func TestHasEvent(t *testing.T) {
	assert.True(t, HasEvent([]byte("data: a\n\ndat")))
	assert.False(t, HasEvent([]byte(": ping\n\ndata: a\n")))
}
