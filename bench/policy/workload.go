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

// Deployment is a shape of workload and site.
type Deployment struct {
	// Name names it in tables.
	Name string
	// Objective is that of all its rows.
	Objective rillreach.Objective
	// Runners and Stores are those of one side.
	Runners int
	Stores  int
	// Conversations is how many return, over Span.
	Conversations int
	Span          time.Duration
	// FirstTokens is the median length of a first prompt, TurnTokens what a later one adds.
	FirstTokens float64
	TurnTokens  float64
	// MinGap is the scale of the heavy-tailed gaps between a conversation's prompts.
	MinGap time.Duration
}

// Kigali is the counter and quoting fleet: long order histories, weighing the time to first token.
func Kigali() Deployment {
	return Deployment{
		Name: "kigali", Objective: rillreach.ObjectiveFirstToken, Runners: 18, Stores: 2,
		Conversations: 6000, Span: 24 * time.Hour, FirstTokens: 12_000, TurnTokens: 400, MinGap: 6 * time.Minute,
	}
}

// Oja is the conference-call service: whole transcripts, weighing the share recomputed.
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
	// priorTokens is how many of the tokens the conversation's last prompt had.
	priorTokens int
}

const (
	accountCount = 10
	// gapExponent is the exponent of the gaps' tail: many returns after minutes, some after days.
	gapExponent      = 0.7
	maxGap           = 72 * time.Hour
	maxTokens        = 120_000
	firstTokensSigma = 0.6
)

// Generate makes the arrivals of a deployment from a seed, in the order of their times.
func Generate(d Deployment, seed uint64) []prompt {
	random := rand.New(rand.NewPCG(seed, seed))
	var arrivals []prompt
	for c := range d.Conversations {
		arrivals = append(arrivals, generateConversation(d, c, random)...)
	}
	slices.SortStableFunc(arrivals, func(a, b prompt) int { return int(a.arrivesAt - b.arrivesAt) })
	return arrivals
}

// generateConversation makes the prompts of one generateConversation within the span.
func generateConversation(d Deployment, c int, random *rand.Rand) []prompt {
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
			arrivesAt: at, conversation: c, hash: hash.Mix(uint64(c), 77), account: account, tokens: tokens, priorTokens: prior,
		})
		at += drawGap(d, random)
	}
	return prompts
}

func drawGap(d Deployment, random *rand.Rand) time.Duration {
	g := float64(d.MinGap) * math.Pow(1-random.Float64(), -1/gapExponent)
	return min(time.Duration(g), maxGap)
}

// drawAccount draws an account: a few are large.
func drawAccount(random *rand.Rand) int {
	return int(accountCount * math.Pow(random.Float64(), 2.5))
}
