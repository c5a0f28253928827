package completeness

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// mustNotAsk fails the test if the result depends on the process.
func mustNotAsk(t *testing.T) func() Process {
	t.Helper()
	return func() Process {
		assert.Fail(t, "the result depends on the process")
		return ProcessUnresponsive
	}
}

func bodyOf(b Body, data string) *Body {
	for part := range strings.SplitAfterSeq(data, "i") {
		b.Feed([]byte(part))
	}
	return &b
}

func TestCheckWithoutProcess(t *testing.T) {
	for _, c := range []struct {
		name string
		body Body
		data string
		want error
	}{
		{"a framed answer", Body{Framed: true}, "half", nil},
		{"a framed stream", Body{Framed: true, EventStream: true}, "id: 1\n\n", nil},
		{"a framed stream without events", Body{Framed: true, EventStream: true}, "", nil},
		{"a framed stream that ends inside an event", Body{Framed: true, EventStream: true}, "id: 1\n\nid: 2\n", ErrInsideEvent},
		{"an unframed stream that ends inside an event", Body{EventStream: true}, "id: 1\n\nid", ErrInsideEvent},
		{"an unframed stream that ends inside its first event", Body{EventStream: true}, "id: 1\n", ErrInsideEvent},
		{"an unframed stream without events", Body{EventStream: true}, "", ErrNoEvent},
		{"an unframed stream with a comment alone", Body{EventStream: true}, ": ping\n\n", ErrNoEvent},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := bodyOf(c.body, c.data).Check(mustNotAsk(t))
			require.ErrorIs(t, got, c.want)
			assert.Equal(t, c.want != nil, errors.Is(got, io.ErrUnexpectedEOF))
		})
	}
}

func TestCheckByProcess(t *testing.T) {
	for _, c := range []struct {
		name           string
		process        Process
		stream, answer error
	}{
		{"running", ProcessRunning, nil, nil},
		{"ended", ProcessEnded, ErrProcessEnded, ErrProcessEnded},
		{"unresponsive", ProcessUnresponsive, ErrProcessUnresponsive, ErrProcessUnresponsive},
	} {
		t.Run(c.name, func(t *testing.T) {
			process := func() Process { return c.process }
			require.ErrorIs(t, bodyOf(Body{EventStream: true}, "id: 1\n\n").Check(process), c.stream)
			require.ErrorIs(t, bodyOf(Body{}, "data").Check(process), c.answer)
			require.ErrorIs(t, bodyOf(Body{}, "").Check(process), c.answer)
			require.ErrorIs(t, bodyOf(Body{EventStream: true, Continues: true}, "").Check(process), c.answer)
		})
	}
}
