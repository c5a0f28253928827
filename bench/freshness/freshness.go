package freshness

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/replicate"
)

// Config is the configuration of one measurement.
type Config struct {
	Entries int
	Agents  int
	Zones   int
	// PushLossRate is the share of pushes that are lost.
	PushLossRate float64
	// WatermarksOnRequests means that requests carry watermarks. RequestsPerSecond is the request rate of the whole
	// fleet.
	WatermarksOnRequests bool
	RequestsPerSecond    float64
	// DigestInterval is the mean interval at which a process compares watermarks with a partner.
	DigestInterval time.Duration
	Seed           uint64
}

// Result is the time that a change takes to reach the processes.
type Result struct {
	// P99 is the time at which 99% of the processes have the change, All the time at which all of them have it.
	P99 time.Duration
	All time.Duration
	// PushedCount is the number of processes that the first pushes reached.
	PushedCount int
}

// event is a contact between two processes.
type event struct {
	at   time.Duration
	from int
	to   int
	// isRequest means that the contact is a request and not a scheduled comparison of watermarks.
	isRequest bool
}

// events is a heap of events, the earliest first.
type events []event

func (h events) Len() int           { return len(h) }
func (h events) Less(i, j int) bool { return h[i].at < h[j].at }
func (h events) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)        { *h = append(*h, x.(event)) }

func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type simulation struct {
	Config
	random      *rand.Rand
	plans       []replicate.Plan
	index       map[rillreach.InstanceID]int
	holds       []bool
	holderCount int
	result      Result
	queue       events
}

const (
	networkDelay = 2 * time.Millisecond
	// maxDuration limits the simulated time.
	maxDuration = 10 * time.Minute
	p99Share    = 0.99
)

// Run simulates the replication of one change that the watchers have just received.
func Run(config Config) Result {
	m := &simulation{Config: config, random: rand.New(rand.NewPCG(config.Seed, config.Seed)), index: map[rillreach.InstanceID]int{}}
	m.createNodes()
	for i, plan := range m.plans {
		if plan.IsWatcher {
			m.deliver(i, 0)
		}
	}
	m.result.PushedCount = m.holderCount
	for i := range m.plans {
		m.scheduleDigest(i, time.Duration(m.random.Float64()*float64(config.DigestInterval)))
	}
	if config.WatermarksOnRequests {
		m.scheduleRequest(0)
	}
	m.run()
	return m.result
}

func (m *simulation) createNodes() {
	var nodes []replicate.Node
	for i := range m.Entries + m.Agents {
		node := replicate.Node{
			ID: rillreach.InstanceID(fmt.Sprintf("n%05d", i)), Zone: rillreach.ZoneID(fmt.Sprint("z", i%m.Zones)),
			Entry: i < m.Entries, Usable: true,
		}
		m.index[node.ID] = i
		nodes = append(nodes, node)
	}
	m.holds = make([]bool, len(nodes))
	m.plans = replicate.MakePlans(nodes, m.Seed)
}

// deliver gives the change to a process, which pushes it to its children. Some of the pushes are lost.
func (m *simulation) deliver(i int, at time.Duration) {
	if m.holds[i] {
		return
	}
	m.recordDelivery(i, at)
	for _, child := range m.plans[i].Children {
		if m.random.Float64() >= m.PushLossRate {
			m.deliver(m.index[child], at+networkDelay)
		}
	}
}

// recordDelivery marks a process as having the change and updates the result.
func (m *simulation) recordDelivery(i int, at time.Duration) {
	m.holds[i] = true
	m.holderCount++
	if m.result.P99 == 0 && float64(m.holderCount) >= p99Share*float64(len(m.holds)) {
		m.result.P99 = at
	}
	m.result.All = at
}

// scheduleDigest schedules the comparison of watermarks with a random partner.
func (m *simulation) scheduleDigest(i int, at time.Duration) {
	partners := m.plans[i].Partners
	heap.Push(&m.queue, event{at: at, from: i, to: m.index[partners[m.random.IntN(len(partners))]]})
}

// scheduleRequest schedules the next request from a random entry to a random agent, at an exponentially distributed
// interval.
func (m *simulation) scheduleRequest(after time.Duration) {
	gap := time.Duration(m.random.ExpFloat64() / m.RequestsPerSecond * float64(time.Second))
	heap.Push(&m.queue, event{at: after + gap, from: m.random.IntN(m.Entries), to: m.Entries + m.random.IntN(m.Agents), isRequest: true})
}

func (m *simulation) run() {
	for m.holderCount < len(m.holds) && len(m.queue) > 0 {
		e := heap.Pop(&m.queue).(event)
		if e.at > maxDuration {
			m.result.All = maxDuration
			return
		}
		m.compareWatermarks(e)
		if e.isRequest {
			m.scheduleRequest(e.at)
			continue
		}
		m.scheduleDigest(e.from, e.at+m.DigestInterval/2+time.Duration(m.random.Float64()*float64(m.DigestInterval)))
	}
}

// compareWatermarks delivers the change to the process that does not have it, if the other one has it.
func (m *simulation) compareWatermarks(e event) {
	switch {
	case m.holds[e.from] && !m.holds[e.to]:
		m.deliver(e.to, e.at+networkDelay)
	case m.holds[e.to] && !m.holds[e.from]:
		m.deliver(e.from, e.at+networkDelay)
	}
}
