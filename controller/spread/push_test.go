package spread

import (
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestPushGroup(t *testing.T) {
	t.Run("what runs is waited for, and nothing begins after the end", func(t *testing.T) {
		var p pushGroup
		var pushed atomic.Int64
		for range 100 {
			p.Go(func() { pushed.Add(1) })
		}
		p.End()
		assert.Equal(t, int64(100), pushed.Load())
		p.Go(func() { pushed.Add(1) })
		p.End()
		assert.Equal(t, int64(100), pushed.Load())
	})
	t.Run("pushes may come while the group ends", func(*testing.T) {
		var p pushGroup
		begun, done := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(done)
			for i := range 1000 {
				p.Go(func() {})
				if i == 0 {
					close(begun)
				}
			}
		}()
		<-begun
		p.End() // the race detector says whether a push may begin during the wait
		<-done
	})
}
