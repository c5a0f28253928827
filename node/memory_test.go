package node

import (
	"testing"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/assert"
)

func TestMemoryWatch(t *testing.T) {
	const limit = 100 << 20
	lines := 0
	watch := &MemoryWatch{LimitBytes: limit, Log: funcr.New(func(string, string) { lines++ }, funcr.Options{})}
	use := func(share float64) int {
		watch.check(Memory{Used: int64(share * limit)})
		return lines
	}
	assert.Equal(t, 0, use(0.3))
	assert.Equal(t, 1, use(0.8))
	assert.Equal(t, 1, use(0.9), "one line for each rise")
	assert.Equal(t, 1, use(0.65))
	assert.Equal(t, 1, use(0.8), "it has not been low in between")
	assert.Equal(t, 1, use(0.5))
	assert.Equal(t, 2, use(0.8))
}

func TestReadMemory(t *testing.T) {
	memory := ReadMemory()
	assert.Positive(t, memory.Heap)
	assert.Greater(t, memory.Used, memory.Heap)
}
