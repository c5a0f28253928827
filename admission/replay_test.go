package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The load that is replayed: nine engines, two of them dark for five seconds, and prompts of two sizes that all but fill the rest.
// What an engine fetches for a prompt finds room only while its memory has some; else it reads the whole prompt.
const (
	engines     = 9
	dark        = 2
	darkFrom    = 5 * time.Second
	darkUntil   = 10 * time.Second
	replayEnd   = 25 * time.Second
	tick        = 5 * time.Millisecond
	capacity    = 70000
	readPerTick = 200 // tokens
	answerTime  = 900 * time.Millisecond
	target      = 1200 * time.Millisecond
	patience    = 4800 * time.Millisecond
	reportEvery = 80 * time.Millisecond
)

// prompt is one request of the replay.
type prompt struct {
	Request
	// cached is how much of it may be fetched, unread how much its engine still reads; ends is when its answer is whole.
	cached int
	unread int
	ends   time.Time
	first  time.Time
}

// engine reads its prompts one after the other, and holds them in its memory from their admission to the end of their answer.
type engine struct {
	waiting, running []*prompt
	reported         EngineState
}

func (e *engine) used() int {
	sum := 0
	for _, p := range e.running {
		sum += p.Tokens
	}
	return sum
}

// step lets one tick pass.
func (e *engine) step(now time.Time) { e.stepFor(now, answerTime) }

// stepFor lets one tick pass where answers take so long.
func (e *engine) stepFor(now time.Time, answerTime time.Duration) {
	e.running = slices.DeleteFunc(e.running, func(p *prompt) bool { return !p.ends.IsZero() && now.After(p.ends) })
	e.waiting = slices.DeleteFunc(e.waiting, func(p *prompt) bool { return now.After(p.Deadline) })
	for len(e.waiting) > 0 && e.used()+e.waiting[0].Tokens <= capacity {
		p := e.waiting[0]
		e.waiting = e.waiting[1:]
		p.unread = p.Tokens
		if float64(e.used()+p.Tokens) <= fillShare*capacity {
			p.unread -= p.cached
		}
		e.running = append(e.running, p)
	}
	left := readPerTick
	for _, p := range e.running {
		if p.unread <= 0 {
			continue
		}
		read := min(left, p.unread)
		left -= read
		if p.unread -= read; p.unread == 0 {
			p.first = now
			p.ends = now.Add(answerTime)
		}
	}
	for _, p := range e.running { // answers come slower while the engine reads
		if left == 0 && !p.ends.IsZero() {
			p.ends = p.ends.Add(tick * 3 / 4)
		}
	}
}

func (e *engine) report() {
	e.reported = EngineState{Capacity: capacity, Used: e.used()}
	unread := 0
	for _, p := range e.waiting {
		e.reported.Queued += p.Tokens
		unread += p.Tokens
	}
	for _, p := range e.running {
		unread += p.unread
	}
	e.reported.PendingPrefill = time.Duration(unread/readPerTick) * tick
}

// replay plays the load, with requests that wait for room or without, and returns the share that was in time by second of arrival.
func replay(held bool) []float64 {
	all := make([]*engine, engines)
	for i := range all {
		all[i] = &engine{}
	}
	var line, arrived []*prompt
	count := 0
	for d := time.Duration(0); d < replayEnd; d += tick {
		now := at(d)
		live := all
		if d >= darkFrom && d < darkUntil {
			live = all[dark:]
		}
		for range arrivals(d) {
			p := arrival(now, count)
			count++
			arrived = append(arrived, p)
			line = append(line, p)
		}
		if d%reportEvery == 0 {
			for _, e := range live {
				e.report()
			}
		}
		line = send(line, live, now, held)
		for _, e := range live {
			e.step(now)
		}
	}
	return inTime(arrived)
}

// arrivals is how many prompts come in one tick: 58 a second, twice as many in the first second of the dark.
func arrivals(d time.Duration) int {
	n := int(d/tick)*58*int(tick)/int(time.Second) - (int(d/tick)-1)*58*int(tick)/int(time.Second)
	if d >= darkFrom && d < darkFrom+time.Second {
		n *= 2
	}
	return max(n, 0)
}

// arrival is every fifth time a long prompt, else a short one.
func arrival(now time.Time, i int) *prompt {
	p := &prompt{Request: Request{Arrived: now, TargetTime: now.Add(target), Deadline: now.Add(patience), Tokens: 2400}, cached: 1860}
	if i%5 == 0 {
		p.Tokens, p.cached = 12000, 9100
	}
	return p
}

// send gives prompts to the engine with the least to do, or to one that admits them.
func send(line []*prompt, live []*engine, now time.Time, held bool) []*prompt {
	slices.SortStableFunc(line, func(a, b *prompt) int { return Compare(a.Request, b.Request, now) })
	return slices.DeleteFunc(line, func(p *prompt) bool {
		if p.MissesDeadline(now) {
			return true
		}
		best := slices.MinFunc(live, func(a, b *engine) int { return b.reported.FreeTokens() - a.reported.FreeTokens() })
		if held && !best.reported.Admits(p.Tokens) {
			return false
		}
		best.waiting = append(best.waiting, p)
		best.reported.SentSinceReport += p.Tokens
		return true
	})
}

func inTime(arrived []*prompt) []float64 {
	seconds := make([]float64, int(replayEnd/time.Second))
	counts := make([]float64, len(seconds))
	for _, p := range arrived {
		i := int(p.Arrived.Sub(start) / time.Second)
		counts[i]++
		if !p.first.IsZero() && !p.first.After(p.TargetTime) {
			seconds[i]++
		}
	}
	for i := range seconds {
		seconds[i] /= max(counts[i], 1)
	}
	return seconds
}

// TestLoadWithDarkEngines: two of nine engines go dark while twice the traffic comes, and return.
func TestLoadWithDarkEngines(t *testing.T) {
	burstOver := int(darkFrom/time.Second) + 1
	back := int(darkUntil / time.Second)
	t.Run("requests that wait for room are in time once the burst is over, and after the engines' return", func(t *testing.T) {
		for second, share := range replay(true)[burstOver : int(replayEnd/time.Second)-2] {
			assert.GreaterOrEqual(t, share, 0.95, "second %d", burstOver+second)
		}
	})
	t.Run("sent at once to engines without room, most are late as long as engines are dark, and some for seconds after", func(t *testing.T) {
		shares := replay(false)
		assert.Less(t, shares[back-1], 0.5)
		assert.Less(t, shares[back+2], 0.95)
	})
}
