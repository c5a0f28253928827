package policy

import (
	"container/heap"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/keep"
	"github.com/rillreach/rillreach/queue"
	"github.com/rillreach/rillreach/route"
)

const entryCount = 3

// hint is what an entry has heard of a runner.
type hint struct {
	wait    time.Duration
	hitRate float64
	at      time.Duration
	sent    time.Duration
}

// wait is the wait that an entry expects at a runner: what it last heard, less the time since, and what it has sent.
func (v view) wait(s *simulation, r *runner) time.Duration {
	h := v.hints[r]
	return max(h.wait+h.sent-(s.now-h.at), 0)
}

// runner is a model of an engine with its agent.
type runner struct {
	place   uint64
	side    rillreach.Side
	cache   *lru
	queue   queue.Queue
	freeAt  time.Duration
	gone    bool
	hits    float64
	pending map[uint64]*job
}

// job is one prompt on its way.
type job struct {
	id     uint64
	prompt prompt
	entry  int
	runner *runner
	reused int
}

// wait is how long a prompt that comes now would wait.
func (r *runner) wait(now time.Duration) time.Duration {
	return max(r.freeAt-now, 0) + seconds(r.queue.Backlog()/prefillRate)
}

// simulation is one run of one policy.
type simulation struct {
	deployment Deployment
	policy     Policy
	scenario   Scenario
	now        time.Duration
	queue      events
	seq        int
	jobs       uint64
	runners    map[rillreach.Side][]*runner
	stores     map[rillreach.Side][]*store
	cross      link
	entries    [entryCount]view
	gaps       map[rillreach.AccountID]*keep.ReturnHistogram
	lastSeen   map[int]time.Duration
	seen       map[int]prompt
	weights    rillreach.Weights
	result     Result
}

// Run runs a policy on arrivals under a scenario.
func Run(d Deployment, policy Policy, arrivals []prompt, scenario Scenario) Result {
	s := &simulation{
		deployment: d, policy: policy, scenario: scenario,
		runners:  map[rillreach.Side][]*runner{},
		stores:   map[rillreach.Side][]*store{},
		cross:    link{rate: crossRate},
		gaps:     map[rillreach.AccountID]*keep.ReturnHistogram{},
		lastSeen: map[int]time.Duration{},
		seen:     map[int]prompt{},
		weights:  rillreach.Weights{Old: rillreach.TotalWeight},
	}
	s.build()
	scenario.schedule(s)
	for i, p := range arrivals {
		s.after(p.at, func() { s.arrive(i%entryCount, p) })
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	return s.finish()
}

func (s *simulation) build() {
	for sideIndex, side := range []rillreach.Side{rillreach.SideOld, rillreach.SideNew} {
		for i := range s.deployment.Runners {
			r := &runner{
				place: placeOf(sideIndex*1000 + i), side: side, cache: newLRU(engineTokens), pending: map[uint64]*job{}, hits: 0.5,
			}
			r.queue = queue.Queue{Slots: 1, MaxWaiting: 1 << 20}
			s.runners[side] = append(s.runners[side], r)
		}
		for range s.deployment.Stores {
			s.stores[side] = append(s.stores[side], newStore())
		}
	}
	for i := range s.entries {
		s.entries[i].hints = map[*runner]hint{}
	}
}

// arrive places a prompt.
func (s *simulation) arrive(entry int, p prompt) {
	side := route.Side(s.weights, p.hash)
	v := &s.entries[entry]
	v.order = s.usable(side)
	v.turn++
	if last, ok := s.lastSeen[p.conversation]; ok {
		s.gapsOf(p.account).RecordReturn(s.now - last)
	}
	s.lastSeen[p.conversation] = s.now
	s.seen[p.conversation] = p
	r := s.policy.place(s, *v, p)
	s.jobs++
	j := &job{id: s.jobs, prompt: p, entry: entry, runner: r}
	s.after(s.now+hopTime, func() { s.prepare(j) })
}

func (s *simulation) usable(side rillreach.Side) []*runner {
	var usable []*runner
	for _, r := range s.runners[side] {
		if !r.gone {
			usable = append(usable, r)
		}
	}
	return usable
}

// prepare is the agent's part: it looks for state and reads it where that is decided.
func (s *simulation) prepare(j *job) {
	r, p := j.runner, j.prompt
	cached := min(r.cache.tokens(p.conversation), p.tokens)
	kept, bytes, arrives := s.keptOf(r.side, p, cached)
	question := keep.ImportInput{
		Tokens: p.tokens, Cached: cached, Stored: kept, Bytes: int64(bytes), TransferTime: arrives.wait, QueueWait: r.wait(s.now),
		PrefillRate: prefillRate, Objective: s.deployment.Objective,
	}
	s.tell(j, cached)
	j.reused = cached
	if !s.policy.importing(question) {
		s.enqueue(j)
		return
	}
	j.reused = kept
	s.after(arrives.start(s.now, bytes), func() { s.enqueue(j) })
}

// tell is the acknowledgement: the entry hears how long the runner's queue is.
func (s *simulation) tell(j *job, cached int) {
	r := j.runner
	if j.prompt.prior > 0 {
		hit := 0.0
		if cached >= j.prompt.prior {
			hit = 1
		}
		r.hits += 0.05 * (hit - r.hits)
	}
	s.entries[j.entry].hints[r] = hint{
		wait: r.wait(s.now), hitRate: r.hits, at: s.now, sent: seconds(float64(j.prompt.tokens-cached) / prefillRate),
	}
}

func (s *simulation) enqueue(j *job) {
	r := j.runner
	if r.gone {
		s.result.Refused++
		return
	}
	r.pending[j.id] = j
	work := max(j.prompt.tokens-j.reused, 1)
	d := r.queue.Offer(s.clock(), queue.Item{ID: j.id, Account: j.prompt.account, Cost: float64(work)})
	if d.Verdict == queue.Started {
		s.compute(j)
	}
}

// compute is the engine's part.
func (s *simulation) compute(j *job) {
	r, p := j.runner, j.prompt
	if held := min(r.cache.tokens(p.conversation), p.tokens); held > j.reused {
		j.reused = held
	}
	work := p.tokens - j.reused
	took := seconds(float64(work) / prefillRate)
	r.freeAt = s.now + took
	s.after(r.freeAt, func() { s.answer(j) })
}

func (s *simulation) answer(j *job) {
	r, p := j.runner, j.prompt
	delete(r.pending, j.id)
	starts, _ := r.queue.Finish(s.clock(), j.id)
	if r.gone {
		s.result.Refused++
		return
	}
	s.result.record(p, s.now-p.at+firstTokenTime+hopTime, j.reused)
	r.cache.put(p.conversation, p.tokens)
	s.export(r, p)
	for _, item := range starts {
		s.compute(r.pending[item.ID])
	}
}

func otherSide(side rillreach.Side) rillreach.Side {
	if side == rillreach.SideOld {
		return rillreach.SideNew
	}
	return rillreach.SideOld
}
