package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The replayed load: nine engines, two of which fail for five seconds, and prompts of two sizes that nearly fill the
// remaining engines. Cached parts are fetched only while the engine has free memory; otherwise it processes the whole
// prompt.
const (
	engineCount    = 9
	failedEngines  = 2
	outageStart    = 5 * time.Second
	outageEnd      = 10 * time.Second
	replayEnd      = 25 * time.Second
	tick           = 5 * time.Millisecond
	capacity       = 70000
	prefillPerTick = 200 // prompt tokens that an engine processes in one tick
	answerTime     = 900 * time.Millisecond
	ttftTarget     = 1200 * time.Millisecond
	callerTimeout  = 4800 * time.Millisecond
	reportInterval = 80 * time.Millisecond
)

// prompt is one request of the replay.
type prompt struct {
	Request
	// cached is the number of tokens that can be fetched, and prefillTokensLeft the number that the engine still has to
	// process. answerEnd is when the answer is complete.
	cached            int
	prefillTokensLeft int
	answerEnd         time.Time
	firstTokenAt      time.Time
}

// engine simulates an engine that processes prompts one at a time and keeps each in memory until its answer is
// complete.
type engine struct {
	waiting, running []*prompt
	reported         EngineState
}

func (e *engine) usedTokens() int {
	sum := 0
	for _, p := range e.running {
		sum += p.Tokens
	}
	return sum
}

// step advances the engine by one tick.
func (e *engine) step(now time.Time) { e.stepWithAnswerTime(now, answerTime) }

// stepWithAnswerTime advances the engine by one tick, with the given time from the first token to the end of an answer.
func (e *engine) stepWithAnswerTime(now time.Time, answerTime time.Duration) {
	e.running = slices.DeleteFunc(e.running, func(p *prompt) bool { return !p.answerEnd.IsZero() && now.After(p.answerEnd) })
	e.waiting = slices.DeleteFunc(e.waiting, func(p *prompt) bool { return now.After(p.Deadline) })
	for len(e.waiting) > 0 && e.usedTokens()+e.waiting[0].Tokens <= capacity {
		p := e.waiting[0]
		e.waiting = e.waiting[1:]
		p.prefillTokensLeft = p.Tokens
		if float64(e.usedTokens()+p.Tokens) <= maxMemoryShare*capacity {
			p.prefillTokensLeft -= p.cached
		}
		e.running = append(e.running, p)
	}
	budget := prefillPerTick
	for _, p := range e.running {
		if p.prefillTokensLeft <= 0 {
			continue
		}
		processed := min(budget, p.prefillTokensLeft)
		budget -= processed
		if p.prefillTokensLeft -= processed; p.prefillTokensLeft == 0 {
			p.firstTokenAt = now
			p.answerEnd = now.Add(answerTime)
		}
	}
	for _, p := range e.running { // prefill slows down running answers
		if budget == 0 && !p.answerEnd.IsZero() {
			p.answerEnd = p.answerEnd.Add(tick * 3 / 4)
		}
	}
}

func (e *engine) report() {
	e.reported = EngineState{Capacity: capacity, UsedTokens: e.usedTokens()}
	prefillTokens := 0
	for _, p := range e.waiting {
		e.reported.QueuedTokens += p.Tokens
		prefillTokens += p.Tokens
	}
	for _, p := range e.running {
		prefillTokens += p.prefillTokensLeft
	}
	e.reported.QueuedPrefill = time.Duration(prefillTokens/prefillPerTick) * tick
}

// replay replays the load and returns the share of requests on time for each second of arrival. Without admission
// control, requests are sent to an engine at once.
func replay(admissionControl bool) []float64 {
	allEngines := make([]*engine, engineCount)
	for i := range allEngines {
		allEngines[i] = &engine{}
	}
	var waiting, arrived []*prompt
	count := 0
	for d := time.Duration(0); d < replayEnd; d += tick {
		now := at(d)
		live := allEngines
		if d >= outageStart && d < outageEnd {
			live = allEngines[failedEngines:]
		}
		for range arrivals(d) {
			p := newPrompt(now, count)
			count++
			arrived = append(arrived, p)
			waiting = append(waiting, p)
		}
		if d%reportInterval == 0 {
			for _, e := range live {
				e.report()
			}
		}
		waiting = dispatch(waiting, live, now, admissionControl)
		for _, e := range live {
			e.step(now)
		}
	}
	return onTimeShareBySecond(arrived)
}

// arrivals returns the number of prompts arriving in one tick: 58 per second, twice as many in the first second of the
// outage.
func arrivals(d time.Duration) int {
	n := int(d/tick)*58*int(tick)/int(time.Second) - (int(d/tick)-1)*58*int(tick)/int(time.Second)
	if d >= outageStart && d < outageStart+time.Second {
		n *= 2
	}
	return max(n, 0)
}

// newPrompt returns a long prompt for every fifth index and a short one otherwise.
func newPrompt(now time.Time, i int) *prompt {
	p := &prompt{Request: Request{Arrived: now, TargetTime: now.Add(ttftTarget), Deadline: now.Add(callerTimeout), Tokens: 2400}, cached: 1860}
	if i%5 == 0 {
		p.Tokens, p.cached = 12000, 9100
	}
	return p
}

// dispatch sends waiting prompts to the engine with the most free memory and returns those that keep waiting. With
// admission control a prompt waits until that engine admits it.
func dispatch(waiting []*prompt, live []*engine, now time.Time, admissionControl bool) []*prompt {
	slices.SortStableFunc(waiting, func(a, b *prompt) int { return Compare(a.Request, b.Request, now) })
	return slices.DeleteFunc(waiting, func(p *prompt) bool {
		if p.MissesDeadline(now) {
			return true
		}
		best := slices.MinFunc(live, func(a, b *engine) int { return b.reported.FreeTokens() - a.reported.FreeTokens() })
		if admissionControl && !best.reported.Admits(p.Tokens) {
			return false
		}
		best.waiting = append(best.waiting, p)
		best.reported.UnreportedUsedTokens += p.Tokens
		return true
	})
}

func onTimeShareBySecond(arrived []*prompt) []float64 {
	shares := make([]float64, int(replayEnd/time.Second))
	counts := make([]float64, len(shares))
	for _, p := range arrived {
		i := int(p.Arrived.Sub(start) / time.Second)
		counts[i]++
		if !p.firstTokenAt.IsZero() && !p.firstTokenAt.After(p.TargetTime) {
			shares[i]++
		}
	}
	for i := range shares {
		shares[i] /= max(counts[i], 1)
	}
	return shares
}

// TestEngineOutageDelaysLaterRequests guards against lateness that outlasts its cause. Two of nine engines fail while
// traffic doubles for a second. Requests sent to full engines have their cached parts recomputed, which keeps memory
// full after the engines are back.
func TestEngineOutageDelaysLaterRequests(t *testing.T) {
	burstEnd := int(outageStart/time.Second) + 1
	recovery := int(outageEnd / time.Second)
	t.Run("with admission control requests are on time after the burst and after recovery", func(t *testing.T) {
		for second, share := range replay(true)[burstEnd : int(replayEnd/time.Second)-2] {
			assert.GreaterOrEqual(t, share, 0.95, "second %d", burstEnd+second)
		}
	})
	t.Run("without admission control most requests are late during the outage and some for seconds after it", func(t *testing.T) {
		shares := replay(false)
		assert.Less(t, shares[recovery-1], 0.5)
		assert.Less(t, shares[recovery+2], 0.95)
	})
}
