package gateway

import "sync"

// smoothingFactor is the weight of the newest value in a moving mean.
const smoothingFactor = 0.02

// sizeBiasedMean is the mean size of the work that is found waiting at any moment, where large pieces are found more often than
// they come: the sum of the squares over the sum. Its zero value is empty.
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
