package logsink

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
)

// blockedWriter is a writer whose writes block until unblock is closed, like a full pipe.
type blockedWriter struct {
	unblock chan struct{}
	// blocked is closed at the first write.
	blocked chan struct{}
	once    sync.Once
	mu      sync.Mutex
	bytes.Buffer
}

// Write waits until unblock is closed.
func (w *blockedWriter) Write(data []byte) (int, error) {
	w.once.Do(func() { close(w.blocked) })
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Buffer.Write(data)
}

func TestSinkNeverBlocks(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{}), blocked: make(chan struct{})}
	s := New(out)
	log := s.Logger(slog.LevelInfo)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { s.Run(ctx) })
	log.Info("first")
	<-out.blocked // no flush from here on, so dropped lines stay counted
	filler := strings.Repeat("x", 1000)
	for range 4 * maxBufferedBytes / len(filler) {
		log.Info("ordinary", "filler", filler) // exceeds the buffer, since the writer is blocked
	}
	for i := range 50 {
		log.Error(errors.New("cause"), "failed", "request", i)
	}
	s.mu.Lock()
	assert.LessOrEqual(t, len(s.buffered), maxBufferedBytes)
	assert.Positive(t, s.dropped)
	s.mu.Unlock()
	close(out.unblock)
	cancel()
	wg.Wait()
	text := out.String()
	assert.Equal(t, 50, strings.Count(text, `"msg":"failed"`), "error lines must not be dropped")
	assert.Contains(t, text, "log lines dropped")
	for line := range strings.Lines(text) {
		assert.True(t, strings.HasPrefix(line, "{") && strings.HasSuffix(line, "}\n"), "output must consist of complete lines")
	}
}

func TestSinkKeepsOrder(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	log := s.Logger(slog.LevelInfo)
	log.Info("first")
	log.Info("second")
	s.flush()
	assert.Less(t, strings.Index(out.String(), "first"), strings.Index(out.String(), "second"))
}
