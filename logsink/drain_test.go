package logsink

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestDrain(t *testing.T) {
	t.Run("a log that nobody reads holds nobody up", func(*testing.T) {
		out := &gate{open: make(chan struct{}), reached: make(chan struct{})}
		defer close(out.open)
		s := New(out)
		s.Logger(slog.LevelInfo).Info("first")
		go s.Run(context.Background())
		<-out.reached
		s.Logger(slog.LevelInfo).Info("second")
		s.Drain(time.Millisecond)
	})
	t.Run("what is being written is waited for, and comes first", func(t *testing.T) {
		out := &gate{open: make(chan struct{}), reached: make(chan struct{})}
		s := New(out)
		s.Logger(slog.LevelInfo).Info("first")
		go s.Run(context.Background())
		<-out.reached
		s.Logger(slog.LevelInfo).Info("second")
		time.AfterFunc(time.Millisecond, func() { close(out.open) })
		s.Drain(time.Minute)
		assert.Regexp(t, "(?s)first.*second", out.String())
	})
}
