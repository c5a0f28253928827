package gateway

import "sync"

// meanWeight is the weight of the newest value in a moving mean.
const meanWeight = 0.02

// movingMean is the mean of the last values; its zero value is empty.
type movingMean struct {
	mu    sync.Mutex
	value float64
}

func (m *movingMean) add(value int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.value += meanWeight * (float64(value) - m.value)
}

func (m *movingMean) mean() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return int(m.value)
}
