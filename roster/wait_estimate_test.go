package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestExpectedWait(t *testing.T) {
	start := time.Unix(1000, 0)
	at := start.Add
	t.Run("no wait is expected at a runner without requests", func(t *testing.T) {
		r := &Runner{}
		assert.Zero(t, r.View(start).ExpectedWait)
	})
	t.Run("a request is expected to wait as long as the last one did", func(t *testing.T) {
		r := &Runner{}
		r.BeginRequest(start, 0, 0)
		r.RecordFirstToken(at(2*time.Second), start, 0)
		assert.Equal(t, 2*time.Second, r.View(at(3*time.Second)).ExpectedWait)
	})
	t.Run("a request is expected to wait at least as long as the oldest pending one has waited", func(t *testing.T) {
		r := &Runner{}
		r.BeginRequest(start, 0, 0)
		r.BeginRequest(at(time.Second), 0, 0)
		assert.Equal(t, 3*time.Second, r.View(at(3*time.Second)).ExpectedWait)
		r.AbandonWait(start, 0)
		assert.Equal(t, 2*time.Second, r.View(at(3*time.Second)).ExpectedWait)
	})
	t.Run("a long wait is forgotten after shorter ones", func(t *testing.T) {
		r := &Runner{}
		r.BeginRequest(start, 0, 0)
		r.RecordFirstToken(at(4*time.Second), start, 0)
		for range 40 {
			r.BeginRequest(at(5*time.Second), 0, 0)
			r.RecordFirstToken(at(5*time.Second+100*time.Millisecond), at(5*time.Second), 0)
		}
		assert.Equal(t, 100*time.Millisecond, r.View(at(6*time.Second)).ExpectedWait)
	})
}
