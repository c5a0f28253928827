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

// runnerHint is the last report that an entry has received about a runner.
type runnerHint struct {
	wait       time.Duration
	hitRate    float64
	receivedAt time.Duration
	sentWork   time.Duration
}

// estimateWait returns the wait that an entry expects at a runner: the last reported wait plus the time to compute
// the prompt that the report answered, minus the time since the report.
func (v entryView) estimateWait(s *simulation, r *runner) time.Duration {
	h := v.hints[r]
	return max(h.wait+h.sentWork-(s.now-h.receivedAt), 0)
}

// runner models an engine with its agent.
type runner struct {
	hash    uint64
	side    rillreach.Side
	cache   *lru
	queue   queue.Queue
	freeAt  time.Duration
	failed  bool
	hitRate float64
	pending map[uint64]*job
}

// job is one prompt in progress.
type job struct {
	id           uint64
	prompt       prompt
	entry        int
	runner       *runner
	reusedTokens int
}

// queueWait returns how long a prompt that arrives now waits for the engine.
func (r *runner) queueWait(now time.Duration) time.Duration {
	return max(r.freeAt-now, 0) + seconds(r.queue.Backlog()/prefillRate)
}

// simulation is one run of one policy.
type simulation struct {
	deployment    Deployment
	policy        Policy
	scenario      Scenario
	now           time.Duration
	queue         eventHeap
	seq           int
	lastJobID     uint64
	runners       map[rillreach.Side][]*runner
	stores        map[rillreach.Side][]*store
	crossSideLink link
	entries       [entryCount]entryView
	returns       map[rillreach.AccountID]*keep.ReturnHistogram
	lastSeen      map[int]time.Duration
	lastPrompts   map[int]prompt
	weights       rillreach.Weights
	result        Result
}

// Run simulates a policy on the given arrivals under a scenario.
func Run(d Deployment, policy Policy, arrivals []prompt, scenario Scenario) Result {
	s := &simulation{
		deployment: d, policy: policy, scenario: scenario,
		runners:       map[rillreach.Side][]*runner{},
		stores:        map[rillreach.Side][]*store{},
		crossSideLink: link{rate: crossSideRate},
		returns:       map[rillreach.AccountID]*keep.ReturnHistogram{},
		lastSeen:      map[int]time.Duration{},
		lastPrompts:   map[int]prompt{},
		weights:       rillreach.Weights{Old: rillreach.TotalWeight},
	}
	s.createSite()
	scenario.schedule(s)
	for i, p := range arrivals {
		s.schedule(p.arrivesAt, func() { s.routePrompt(i%entryCount, p) })
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	return s.summarize()
}

// createSite creates the runners, stores and entries.
func (s *simulation) createSite() {
	for sideIndex, side := range []rillreach.Side{rillreach.SideOld, rillreach.SideNew} {
		for i := range s.deployment.Runners {
			r := &runner{
				hash: nodeHash(sideIndex*1000 + i), side: side, cache: newLRU(engineCacheTokens), pending: map[uint64]*job{}, hitRate: 0.5,
			}
			r.queue = queue.Queue{Slots: 1, MaxWaiting: 1 << 20}
			s.runners[side] = append(s.runners[side], r)
		}
		for range s.deployment.Stores {
			s.stores[side] = append(s.stores[side], newStore())
		}
	}
	for i := range s.entries {
		s.entries[i].hints = map[*runner]runnerHint{}
	}
}

// routePrompt routes a prompt from an entry to a runner.
func (s *simulation) routePrompt(entry int, p prompt) {
	side := route.Side(s.weights, p.hash)
	v := &s.entries[entry]
	v.runners = s.usableRunners(side)
	v.promptCount++
	if last, ok := s.lastSeen[p.conversation]; ok {
		s.returnsOf(p.account).RecordReturn(s.now - last)
	}
	s.lastSeen[p.conversation] = s.now
	s.lastPrompts[p.conversation] = p
	r := s.policy.chooseRunner(s, *v, p)
	s.lastJobID++
	j := &job{id: s.lastJobID, prompt: p, entry: entry, runner: r}
	s.schedule(s.now+networkDelay, func() { s.prepare(j) })
}

func (s *simulation) usableRunners(side rillreach.Side) []*runner {
	var usable []*runner
	for _, r := range s.runners[side] {
		if !r.failed {
			usable = append(usable, r)
		}
	}
	return usable
}

// prepare models the agent: it looks up stored state, imports it if the policy decides so, and queues the prompt.
func (s *simulation) prepare(j *job) {
	r, p := j.runner, j.prompt
	cached := min(r.cache.tokens(p.conversation), p.tokens)
	stored, bytes, source := s.findStored(r.side, p, cached)
	input := keep.ImportInput{
		Tokens: p.tokens, Cached: cached, Stored: stored, Bytes: int64(bytes), TransferTime: source.duration, QueueWait: r.queueWait(s.now),
		PrefillRate: prefillRate, Objective: s.deployment.Objective,
	}
	s.acknowledge(j, cached)
	j.reusedTokens = cached
	if !s.policy.shouldImport(input) {
		s.enqueue(j)
		return
	}
	j.reusedTokens = stored
	s.schedule(source.start(s.now, bytes), func() { s.enqueue(j) })
}

// acknowledge models the runner's acknowledgement, which tells the entry the wait and the hit rate of the runner.
func (s *simulation) acknowledge(j *job, cached int) {
	r := j.runner
	if j.prompt.priorTokens > 0 {
		hitRate := 0.0
		if cached >= j.prompt.priorTokens {
			hitRate = 1
		}
		r.hitRate += 0.05 * (hitRate - r.hitRate)
	}
	s.entries[j.entry].hints[r] = runnerHint{
		wait: r.queueWait(s.now), hitRate: r.hitRate, receivedAt: s.now, sentWork: seconds(float64(j.prompt.tokens-cached) / prefillRate),
	}
}

// enqueue adds a prompt to the queue of its runner.
func (s *simulation) enqueue(j *job) {
	r := j.runner
	if r.failed {
		s.result.Refused++
		return
	}
	r.pending[j.id] = j
	work := max(j.prompt.tokens-j.reusedTokens, 1)
	decision := r.queue.Offer(s.currentTime(), queue.Item{ID: j.id, Account: j.prompt.account, Cost: float64(work)})
	if decision.Verdict == queue.Started {
		s.compute(j)
	}
}

// compute models the prefill by the engine.
func (s *simulation) compute(j *job) {
	r, p := j.runner, j.prompt
	if cached := min(r.cache.tokens(p.conversation), p.tokens); cached > j.reusedTokens {
		j.reusedTokens = cached
	}
	work := p.tokens - j.reusedTokens
	duration := seconds(float64(work) / prefillRate)
	r.freeAt = s.now + duration
	s.schedule(r.freeAt, func() { s.finishPrompt(j) })
}

// finishPrompt records the result, exports the new state and starts the next prompts in the queue.
func (s *simulation) finishPrompt(j *job) {
	r, p := j.runner, j.prompt
	delete(r.pending, j.id)
	starts, _ := r.queue.Finish(s.currentTime(), j.id)
	if r.failed {
		s.result.Refused++
		return
	}
	s.result.record(p, s.now-p.arrivesAt+firstTokenDelay+networkDelay, j.reusedTokens)
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
