package logsink

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestDrain(t *testing.T) {
	t.Run("returns after the timeout if the writer blocks", func(*testing.T) {
		out := &blockedWriter{unblock: make(chan struct{}), blocked: make(chan struct{})}
		defer close(out.unblock)
		s := New(out)
		s.Logger(slog.LevelInfo).Info("first")
		go s.Run(context.Background())
		<-out.blocked
		s.Logger(slog.LevelInfo).Info("second")
		s.Drain(time.Millisecond)
	})
	t.Run("waits for the write in progress and keeps the order", func(t *testing.T) {
		out := &blockedWriter{unblock: make(chan struct{}), blocked: make(chan struct{})}
		s := New(out)
		s.Logger(slog.LevelInfo).Info("first")
		go s.Run(context.Background())
		<-out.blocked
		s.Logger(slog.LevelInfo).Info("second")
		time.AfterFunc(time.Millisecond, func() { close(out.unblock) })
		s.Drain(time.Minute)
		assert.Regexp(t, "(?s)first.*second", out.String())
	})
}
