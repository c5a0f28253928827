package predict

import "time"

const (
	// priorPerToken and priorBase are the prior, until requests have told better: a slow engine, since a prior that is too fast
	// sends prompts to where others wait already.
	priorPerToken = 50 * time.Microsecond
	priorBase     = 20 * time.Millisecond
	// priorWeight is how many observations the prior is worth, priorSpread the spread of its prompts in tokens.
	priorWeight = 8
	priorSpread = 4000
	// memory is the weight that each observation leaves to those before: the last hundred count, some seconds of an entry's work.
	memory = 0.99
	// leastPerToken and mostPerToken bound what is learned, mostBase the time beside reading, so that absurd observations, as of an
	// engine that stood still, don't spoil the choice among the others.
	leastPerToken = priorPerToken / 10
	mostPerToken  = priorPerToken * 10
	mostBase      = time.Second
	// mostWait is the longest wait that is taken for the engine's own.
	mostWait = 10 * time.Second
)

// TTFTEstimator predicts the time to a prompt's first token from the tokens that its engine reads until then: the weighted least
// squares of a line, in which older requests count less. Its zero value has the prior alone.
type TTFTEstimator struct {
	weight, x, y, xx, xy float64
}

// Observe learns from one request that had its first token after the wait, for which its engine had the tokens to read.
func (f *TTFTEstimator) Observe(tokens int, wait time.Duration) {
	if tokens < 0 || wait <= 0 || wait > mostWait {
		return
	}
	f.start()
	x, y := float64(tokens), float64(wait)
	f.weight = memory*f.weight + 1
	f.x = memory*f.x + x
	f.y = memory*f.y + y
	f.xx = memory*f.xx + x*x
	f.xy = memory*f.xy + x*y
}

// start takes the prior for observations: two kinds of prompts, whose times lie on its line.
func (f *TTFTEstimator) start() {
	if f.weight > 0 {
		return
	}
	for _, x := range []float64{0, 2 * priorSpread} {
		y := float64(priorBase) + x*float64(priorPerToken)
		f.weight += priorWeight / 2
		f.x += priorWeight / 2 * x
		f.y += priorWeight / 2 * y
		f.xx += priorWeight / 2 * x * x
		f.xy += priorWeight / 2 * x * y
	}
}

// Model is what has been learned: the time for each token that is read, and the time beside that.
func (f *TTFTEstimator) Model() LatencyModel {
	if f.weight <= 0 {
		return Prior()
	}
	spread := f.weight*f.xx - f.x*f.x
	perToken := float64(priorPerToken)
	if spread > 0 {
		perToken = (f.weight*f.xy - f.x*f.y) / spread
	}
	perToken = min(max(perToken, float64(leastPerToken)), float64(mostPerToken))
	base := (f.y - perToken*f.x) / f.weight
	return LatencyModel{PerToken: time.Duration(perToken), Base: time.Duration(min(max(base, 0), float64(mostBase)))}
}

// Prior is the speed that is taken while nothing has been observed.
func Prior() LatencyModel { return LatencyModel{PerToken: priorPerToken, Base: priorBase} }

// LatencyModel is how fast engines come to a prompt's first token.
type LatencyModel struct {
	PerToken time.Duration
	Base     time.Duration
}

// Predict is how long it takes to read the tokens and to make the first one.
func (s LatencyModel) Predict(tokens int) time.Duration {
	return s.Base + time.Duration(tokens)*s.PerToken
}
