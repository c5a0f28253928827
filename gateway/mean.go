package gateway

import "sync"

// meanWeight is the weight of the newest value in a moving mean.
const meanWeight = 0.02

// sizeMean is the mean size of the work that is found waiting at any moment, where large pieces are found more often than
// they come: the sum of the squares over the sum. Its zero value is empty.
type sizeMean struct {
	mu      sync.Mutex
	sum     float64
	squares float64
}

func (m *sizeMean) add(size int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sum += meanWeight * (float64(size) - m.sum)
	m.squares += meanWeight * (float64(size)*float64(size) - m.squares)
}

func (m *sizeMean) mean() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sum < 1 {
		return 0
	}
	return int(m.squares / m.sum)
}
