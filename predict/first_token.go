package predict

import "time"

const (
	// priorPerToken and priorBase are the model used before there are observations. They describe a slow engine, since
	// a model that is too fast sends prompts to engines where others already wait.
	priorPerToken = 50 * time.Microsecond
	priorBase     = 20 * time.Millisecond
	// priorWeight is the number of observations that the prior counts as, and priorTokenSpread the standard deviation
	// of their prompt lengths, in tokens.
	priorWeight      = 8
	priorTokenSpread = 4000
	// decay is the factor by which each observation reduces the weight of earlier ones. At 0.99 about the last hundred
	// count, which an entry makes in a few seconds.
	decay = 0.99
	// minPerToken and maxPerToken bound the fitted time per token, and maxBase the fitted constant part, so that
	// extreme observations, such as those of a stalled engine, do not distort the choice among the others.
	minPerToken = priorPerToken / 10
	maxPerToken = priorPerToken * 10
	maxBase     = time.Second
	// maxObservedTTFT is the longest TTFT that is attributed to the engine. Longer ones are ignored.
	maxObservedTTFT = 10 * time.Second
)

// TTFTEstimator estimates the time to first token as a linear function of the number of tokens that the engine
// processes until then, including those of prompts ahead in its queue. It fits the line by weighted least squares in
// which older requests count less. The zero value holds only the prior.
type TTFTEstimator struct {
	sumWeight, sumX, sumY, sumXX, sumXY float64
}

// Observe adds a request whose first token came after the given time, in which its engine had to process the given
// number of tokens.
func (e *TTFTEstimator) Observe(tokens int, ttft time.Duration) {
	if tokens < 0 || ttft <= 0 || ttft > maxObservedTTFT {
		return
	}
	e.addPrior()
	x, y := float64(tokens), float64(ttft)
	e.sumWeight = decay*e.sumWeight + 1
	e.sumX = decay*e.sumX + x
	e.sumY = decay*e.sumY + y
	e.sumXX = decay*e.sumXX + x*x
	e.sumXY = decay*e.sumXY + x*y
}

// addPrior adds the prior as observations at two prompt lengths whose times lie on the line of the prior.
func (e *TTFTEstimator) addPrior() {
	if e.sumWeight > 0 {
		return
	}
	for _, x := range []float64{0, 2 * priorTokenSpread} {
		y := float64(priorBase) + x*float64(priorPerToken)
		e.sumWeight += priorWeight / 2
		e.sumX += priorWeight / 2 * x
		e.sumY += priorWeight / 2 * y
		e.sumXX += priorWeight / 2 * x * x
		e.sumXY += priorWeight / 2 * x * y
	}
}

// Model returns the fitted model, or the prior if there are no observations.
func (e *TTFTEstimator) Model() LatencyModel {
	if e.sumWeight <= 0 {
		return Prior()
	}
	determinant := e.sumWeight*e.sumXX - e.sumX*e.sumX
	perToken := float64(priorPerToken)
	if determinant > 0 {
		perToken = (e.sumWeight*e.sumXY - e.sumX*e.sumY) / determinant
	}
	perToken = min(max(perToken, float64(minPerToken)), float64(maxPerToken))
	base := (e.sumY - perToken*e.sumX) / e.sumWeight
	return LatencyModel{PerToken: time.Duration(perToken), Base: time.Duration(min(max(base, 0), float64(maxBase)))}
}

// Prior returns the model used before there are observations.
func Prior() LatencyModel { return LatencyModel{PerToken: priorPerToken, Base: priorBase} }

// LatencyModel is a linear model of the time to first token.
type LatencyModel struct {
	// PerToken is the time for each token that the engine processes.
	PerToken time.Duration
	// Base is the time that does not depend on the number of tokens.
	Base time.Duration
}

// Predict returns the time to first token if the engine has to process the given number of tokens.
func (m LatencyModel) Predict(tokens int) time.Duration {
	return m.Base + time.Duration(tokens)*m.PerToken
}
