package freshness

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/replicate"
)

// Setting is what is measured.
type Setting struct {
	Entries int
	Agents  int
	Zones   int
	// Lost is the share of pushes that get lost.
	Lost float64
	// Carried says that requests carry marks, RequestsPerSecond how many there are in the whole fleet.
	Carried           bool
	RequestsPerSecond float64
	// DigestEvery is how often a process compares marks with a partner.
	DigestEvery time.Duration
	Seed        uint64
}

// Result is when the change was held.
type Result struct {
	// Most is when 99 in 100 processes held it, All when every one did.
	Most time.Duration
	All  time.Duration
	// Pushed is how many held it by pushes alone.
	Pushed int
}

type event struct {
	at   time.Duration
	from int
	to   int
	// request says that a request brings the two together, and not a comparison of marks.
	request bool
}

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

type model struct {
	Setting
	random *rand.Rand
	plans  []replicate.Plan
	index  map[rillreach.InstanceID]int
	holds  []bool
	count  int
	result Result
	queue  events
}

const (
	hop     = 2 * time.Millisecond
	longest = 10 * time.Minute
	most    = 0.99
)

// Run measures one change that the watchers have just heard of.
func Run(s Setting) Result {
	m := &model{Setting: s, random: rand.New(rand.NewPCG(s.Seed, s.Seed)), index: map[rillreach.InstanceID]int{}}
	m.build()
	for i, plan := range m.plans {
		if plan.IsWatcher {
			m.push(i, 0)
		}
	}
	m.result.Pushed = m.count
	for i := range m.plans {
		m.schedule(i, time.Duration(m.random.Float64()*float64(s.DigestEvery)))
	}
	if s.Carried {
		m.request(0)
	}
	m.run()
	return m.result
}

func (m *model) build() {
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

// push has a process hold the change and hand it on down its tree, where some of the pushes get lost.
func (m *model) push(i int, at time.Duration) {
	if m.holds[i] {
		return
	}
	m.hold(i, at)
	for _, child := range m.plans[i].Children {
		if m.random.Float64() >= m.Lost {
			m.push(m.index[child], at+hop)
		}
	}
}

func (m *model) hold(i int, at time.Duration) {
	m.holds[i] = true
	m.count++
	if m.result.Most == 0 && float64(m.count) >= most*float64(len(m.holds)) {
		m.result.Most = at
	}
	m.result.All = at
}

// schedule has a process compare marks with one of its partners at a time.
func (m *model) schedule(i int, at time.Duration) {
	partners := m.plans[i].Partners
	heap.Push(&m.queue, event{at: at, from: i, to: m.index[partners[m.random.IntN(len(partners))]]})
}

// request has an entry send an agent a request some time after another.
func (m *model) request(after time.Duration) {
	gap := time.Duration(m.random.ExpFloat64() / m.RequestsPerSecond * float64(time.Second))
	heap.Push(&m.queue, event{at: after + gap, from: m.random.IntN(m.Entries), to: m.Entries + m.random.IntN(m.Agents), request: true})
}

func (m *model) run() {
	for m.count < len(m.holds) && len(m.queue) > 0 {
		e := heap.Pop(&m.queue).(event)
		if e.at > longest {
			m.result.All = longest
			return
		}
		m.meet(e)
		if e.request {
			m.request(e.at)
			continue
		}
		m.schedule(e.from, e.at+m.DigestEvery/2+time.Duration(m.random.Float64()*float64(m.DigestEvery)))
	}
}

// meet has two processes find out that one of them is behind; what it then learns it hands on.
func (m *model) meet(e event) {
	switch {
	case m.holds[e.from] && !m.holds[e.to]:
		m.push(e.to, e.at+hop)
	case m.holds[e.to] && !m.holds[e.from]:
		m.push(e.from, e.at+hop)
	}
}
