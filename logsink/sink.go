// Package logsink writes log lines beside the work that makes them: it never blocks a caller, holds a bounded number of
// bytes, and gives up ordinary lines before those of failures.
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
)

const (
	// maxHeld bounds the bytes that wait to be written.
	maxHeld = 512 << 10
	// ordinaryShare is the part of them that ordinary lines may take.
	ordinaryShare = maxHeld / 2
	// levelWithin is how far into a line its level stands at the latest, in bytes.
	levelWithin = 96
)

var failureMark = []byte(`"level":"ERROR"`)

// Sink takes lines and writes them in order; New makes one.
type Sink struct {
	out io.Writer
	// writing keeps lines in order where two flush at once.
	writing sync.Mutex

	mu      sync.Mutex
	held    []byte
	dropped int
	wake    chan struct{}
}

// New returns a sink that writes to out once Run is called.
func New(out io.Writer) *Sink {
	return &Sink{out: out, wake: make(chan struct{}, 1)}
}

// Logger makes a logger of JSON lines that the sink takes.
func (s *Sink) Logger(level slog.Level) logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(s, &slog.HandlerOptions{Level: level}))
}

// Write takes one line; it is dropped and counted where too many wait.
func (s *Sink) Write(line []byte) (int, error) {
	limit := ordinaryShare
	if bytes.Contains(line[:min(len(line), levelWithin)], failureMark) {
		limit = maxHeld
	}
	s.mu.Lock()
	if len(s.held)+len(line) > limit {
		s.dropped++
	} else {
		s.held = append(s.held, line...)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Run writes lines until the context ends, and then what is left, however long that takes.
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

// Drain writes what is left, also what Run is just writing, at the longest for the given time.
func (s *Sink) Drain(wait time.Duration) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.flush()
	}()
	select {
	case <-done:
	case <-time.After(wait):
	}
}

func (s *Sink) flush() {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.mu.Lock()
	held, dropped := s.held, s.dropped
	s.held, s.dropped = nil, 0
	s.mu.Unlock()
	if dropped > 0 {
		held = fmt.Appendf(held, `{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", dropped)
	}
	if len(held) > 0 {
		_, _ = s.out.Write(held) // there is nowhere left to report that the log itself cannot be written
	}
}
