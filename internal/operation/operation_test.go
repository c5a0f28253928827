package operation

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestOperation(t *testing.T) {
	t.Run("the result is returned", func(t *testing.T) {
		var o Operation[int]
		result, ok := o.Await(make(chan struct{}), func() int { return 1 })
		assert.True(t, ok)
		assert.Equal(t, 1, result)
		assert.False(t, o.Pending())
	})
	t.Run("a function that cannot be interrupted runs in the calling goroutine", func(t *testing.T) {
		var o Operation[int]
		calls := 0
		_, ok := o.Await(nil, func() int {
			calls++
			return 1
		})
		assert.True(t, ok)
		assert.Equal(t, 1, calls)
	})
	t.Run("the result of an interrupted call is collected later", func(t *testing.T) {
		var o Operation[int]
		interrupted, goOn := make(chan struct{}), make(chan struct{})
		close(interrupted)
		_, ok := o.Await(interrupted, func() int {
			<-goOn
			return 1
		})
		assert.False(t, ok)
		assert.True(t, o.Pending())
		close(goOn)
		result, ok := o.Await(nil, func() int { return 2 })
		assert.True(t, ok)
		assert.Equal(t, 1, result, "a second function was started")
		assert.False(t, o.Pending())
	})
	t.Run("a result that was not collected is kept", func(t *testing.T) {
		var o Operation[int]
		interrupted, goOn := make(chan struct{}), make(chan struct{})
		close(interrupted)
		_, ok := o.Await(interrupted, func() int {
			<-goOn
			return 1
		})
		assert.False(t, ok)
		close(goOn)
		o.Wait()
		result, ok := o.Poll()
		assert.True(t, ok)
		assert.Equal(t, 1, result)
		_, ok = o.Poll()
		assert.False(t, ok)
	})
}
