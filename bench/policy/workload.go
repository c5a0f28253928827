package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/hash"
)

// Deployment describes a site and its workload.
type Deployment struct {
	// Name is the name used in tables.
	Name string
	// Objective is the objective of all rows.
	Objective rillreach.Objective
	// Runners and Stores are the numbers on each side.
	Runners int
	Stores  int
	// Conversations is the number of conversations that start within Span.
	Conversations int
	Span          time.Duration
	// FirstTokens is the median length of a conversation's first prompt, TurnTokens the mean number of tokens that
	// each later prompt adds.
	FirstTokens float64
	TurnTokens  float64
	// MinGap is the minimum time between two prompts of a conversation, the scale of a Pareto distribution.
	MinGap time.Duration
}

// Kigali is the counter and quoting fleet. Its prompts contain long order histories, and its objective is the time to
// first token.
func Kigali() Deployment {
	return Deployment{
		Name: "kigali", Objective: rillreach.ObjectiveFirstToken, Runners: 18, Stores: 2,
		Conversations: 6000, Span: 24 * time.Hour, FirstTokens: 12_000, TurnTokens: 400, MinGap: 6 * time.Minute,
	}
}

// Oja is the conference-call service. Its prompts contain whole transcripts, and its objective is to recompute little.
func Oja() Deployment {
	return Deployment{
		Name: "oja", Objective: rillreach.ObjectiveRecompute, Runners: 18, Stores: 2,
		Conversations: 3000, Span: 24 * time.Hour, FirstTokens: 24_000, TurnTokens: 1200, MinGap: 6 * time.Minute,
	}
}

// prompt is one arrival.
type prompt struct {
	arrivesAt    time.Duration
	conversation int
	hash         uint64
	account      rillreach.AccountID
	tokens       int
	// priorTokens is the length of the conversation's previous prompt, or zero.
	priorTokens int
}

const (
	accountCount = 10
	// gapExponent is the tail exponent of the gap distribution: many prompts return after minutes, some after days.
	gapExponent = 0.7
	maxGap      = 72 * time.Hour
	maxTokens   = 120_000
	// firstTokensSigma is the sigma of the log-normal distribution of the first prompt's length.
	firstTokensSigma = 0.6
)

// Generate generates the arrivals of a deployment from a seed, sorted by time.
func Generate(d Deployment, seed uint64) []prompt {
	random := rand.New(rand.NewPCG(seed, seed))
	var arrivals []prompt
	for id := range d.Conversations {
		arrivals = append(arrivals, generateConversation(d, id, random)...)
	}
	slices.SortStableFunc(arrivals, func(a, b prompt) int { return int(a.arrivesAt - b.arrivesAt) })
	return arrivals
}

// generateConversation generates the prompts of one conversation that arrive within the span.
func generateConversation(d Deployment, id int, random *rand.Rand) []prompt {
	account := rillreach.AccountID(fmt.Sprintf("account-%d", drawAccount(random)))
	tokens := int(d.FirstTokens * math.Exp(firstTokensSigma*random.NormFloat64()))
	at := time.Duration(random.Float64() * float64(d.Span))
	var prompts []prompt
	for prior := 0; at < d.Span; prior = tokens {
		if prior > 0 {
			tokens += int(d.TurnTokens * (0.5 + random.Float64()))
		}
		tokens = min(tokens, maxTokens)
		prompts = append(prompts, prompt{
			arrivesAt: at, conversation: id, hash: hash.Mix(uint64(id), 77), account: account, tokens: tokens, priorTokens: prior,
		})
		at += drawGap(d, random)
	}
	return prompts
}

// drawGap draws the time until the next prompt of a conversation.
func drawGap(d Deployment, random *rand.Rand) time.Duration {
	length := float64(d.MinGap) * math.Pow(1-random.Float64(), -1/gapExponent)
	return min(time.Duration(length), maxGap)
}

// drawAccount draws an account from a skewed distribution: a few accounts have most conversations.
func drawAccount(random *rand.Rand) int {
	return int(accountCount * math.Pow(random.Float64(), 2.5))
}
