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

// gate is a writer that takes nothing until it is opened, as a full pipe does.
type gate struct {
	open chan struct{}
	// reached is closed when somebody waits.
	reached chan struct{}
	once    sync.Once
	mu      sync.Mutex
	bytes.Buffer
}

// Write waits for the gate to open.
func (g *gate) Write(data []byte) (int, error) {
	g.once.Do(func() { close(g.reached) })
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Buffer.Write(data)
}

func TestSinkNeverBlocks(t *testing.T) {
	out := &gate{open: make(chan struct{}), reached: make(chan struct{})}
	s := New(out)
	log := s.Logger(slog.LevelInfo)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { s.Run(ctx) })
	log.Info("first")
	<-out.reached // from now on nothing is written, so that what is dropped stays counted
	filler := strings.Repeat("x", 1000)
	for range 4 * maxHeld / len(filler) {
		log.Info("ordinary", "filler", filler) // more than fits, with nobody reading
	}
	for i := range 50 {
		log.Error(errors.New("cause"), "failed", "request", i)
	}
	s.mu.Lock()
	assert.LessOrEqual(t, len(s.held), maxHeld)
	assert.Positive(t, s.dropped)
	s.mu.Unlock()
	close(out.open)
	cancel()
	wg.Wait()
	text := out.String()
	assert.Equal(t, 50, strings.Count(text, `"msg":"failed"`), "lines of failures are not the ones that are lost")
	assert.Contains(t, text, "log lines dropped")
	for line := range strings.Lines(text) {
		assert.True(t, strings.HasPrefix(line, "{") && strings.HasSuffix(line, "}\n"), "whole lines only")
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
