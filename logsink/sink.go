// Package logsink writes log lines asynchronously. Logging never blocks the caller. Memory is bounded: when the buffer
// fills up, lines are dropped, and error lines are dropped last.
package logsink

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach/internal/pause"
)

const (
	// maxBufferedBytes is the maximum size of the lines waiting to be written.
	maxBufferedBytes = 512 << 10
	// maxOrdinaryBytes is the buffer size from which lines below error level are dropped.
	maxOrdinaryBytes = maxBufferedBytes / 2
	// maxLevelOffset is the number of bytes at the start of a line that contain its level.
	maxLevelOffset = 96
)

// errorLevel is the text that identifies an error line in the JSON output of slog.
var errorLevel = []byte(`"level":"ERROR"`)

// Sink buffers log lines and writes them in order. Use New to create one.
type Sink struct {
	out io.Writer
	// flushMu serializes flushes, so that concurrent flushes keep lines in order.
	flushMu sync.Mutex

	mu       sync.Mutex
	buffered []byte
	dropped  int
	wake     chan struct{}
}

// New returns a sink that writes to out. Lines stay in the buffer until Run, or Drain, is called.
func New(out io.Writer) *Sink {
	return &Sink{out: out, wake: make(chan struct{}, 1)}
}

// Logger returns a logger that writes JSON lines to the sink.
func (s *Sink) Logger(level slog.Level) logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(s, &slog.HandlerOptions{Level: level}))
}

// Write buffers one line. If the buffer is full, the line is dropped and counted. It never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	limit := maxOrdinaryBytes
	if bytes.Contains(line[:min(len(line), maxLevelOffset)], errorLevel) {
		limit = maxBufferedBytes
	}
	s.mu.Lock()
	if len(s.buffered)+len(line) > limit {
		s.dropped++
	} else {
		s.buffered = append(s.buffered, line...)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Run writes lines until ctx is done, then writes the remaining lines without a time limit.
func (s *Sink) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			s.flush()
			return
		case <-s.wake:
			s.flush()
		}
	}
}

// Drain writes the remaining lines and waits for a write that Run has in progress, for at most the given time.
func (s *Sink) Drain(timeout time.Duration) {
	pause.AtMost(timeout, s.flush)
}

func (s *Sink) flush() {
	s.flushMu.Lock()
	defer s.flushMu.Unlock()
	s.mu.Lock()
	lines, dropped := s.buffered, s.dropped
	s.buffered, s.dropped = nil, 0
	s.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, `{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", dropped)
	}
	if len(lines) > 0 {
		_, _ = s.out.Write(lines) // a failure to write the log can't be reported anywhere
	}
}
