package spread

import (
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestPushGroup(t *testing.T) {
	t.Run("Close waits for running pushes, and no push starts after it", func(t *testing.T) {
		var p pushGroup
		var pushed atomic.Int64
		for range 100 {
			p.Go(func() { pushed.Add(1) })
		}
		p.Close()
		assert.Equal(t, int64(100), pushed.Load())
		p.Go(func() { pushed.Add(1) })
		p.Close()
		assert.Equal(t, int64(100), pushed.Load())
	})
	t.Run("pushes can be started while the group is being closed", func(*testing.T) {
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
		p.Close() // the race detector fails if a push can start during the wait
		<-done
	})
}
