package gateway

import "sync"

// smoothingFactor is the weight of the newest value in the moving averages.
const smoothingFactor = 0.02

// sizeBiasedMean is a moving average of the size of the work found waiting at a random moment, when large items are
// found more often than they arrive. It is the mean of the squared sizes divided by the mean size. The zero value is
// empty.
type sizeBiasedMean struct {
	mu         sync.Mutex
	meanSize   float64
	meanSquare float64
}

func (m *sizeBiasedMean) add(size int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meanSize += smoothingFactor * (float64(size) - m.meanSize)
	m.meanSquare += smoothingFactor * (float64(size)*float64(size) - m.meanSquare)
}

func (m *sizeBiasedMean) mean() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.meanSize < 1 {
		return 0
	}
	return int(m.meanSquare / m.meanSize)
}
