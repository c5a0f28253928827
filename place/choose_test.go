package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach/predict"
)

// speed is that of engines in these tests.
var speed = predict.LatencyModel{PerToken: 22 * time.Microsecond, Base: 16 * time.Millisecond}

func TestChoose(t *testing.T) {
	prompt := Request{Tokens: 9200, Target: 500 * time.Millisecond, Latency: speed}
	plain := Request{Target: 150 * time.Millisecond}
	cases := []struct {
		name       string
		question   Request
		candidates []Candidate
		want       int
	}{
		{"nobody there", plain, nil, -1},
		{"the runner with the least to do", plain, []Candidate{{Running: 3, Slots: 6}, {Running: 1, Slots: 6}}, 1},
		{"one that fails much is left alone", plain, []Candidate{{Slots: 6, FailureRate: 0.5}, {Running: 3, Slots: 6}}, 1},
		{"one under suspicion only where there is no other", plain, []Candidate{{Slots: 6, Avoided: true}, {Running: 6, Slots: 6}}, 1},
		{"one under suspicion rather than none", plain, []Candidate{{Slots: 6, Avoided: true}}, 0},
		{"one that was asked comes after one under suspicion", plain, []Candidate{{Slots: 6, Tried: true}, {Slots: 6, Avoided: true}}, 1},
		{"the runner that holds the prompt", prompt, []Candidate{{PrefillTokens: 9200, RecomputedTokens: 7500}, {PrefillTokens: 1700}}, 1},
		{"fetching rather than reading again", prompt, []Candidate{{PrefillTokens: 9200, RecomputedTokens: 7500}, {PrefillTokens: 1700, FetchTime: 40 * time.Millisecond}}, 1},
		{"not the one whose queue makes the answer late", prompt, []Candidate{{PrefillTokens: 1700, QueuedPrefillTokens: 60000}, {PrefillTokens: 1700, FetchTime: 20 * time.Millisecond}}, 1},
		{"not the one whose memory is full", prompt, []Candidate{{PrefillTokens: 1700, UsedTokens: 40000, Capacity: 41000}, {PrefillTokens: 1700, UsedTokens: 1000, Capacity: 41000}}, 1},
		{"the own zone where all else is equal", prompt, []Candidate{{PrefillTokens: 1700, OtherZone: true}, {PrefillTokens: 1700}}, 1},
		{"new weights where all else is equal", prompt, []Candidate{{PrefillTokens: 1700, OldWeights: true}, {PrefillTokens: 1700}}, 1},
		{"old weights rather than a late answer", prompt, []Candidate{{PrefillTokens: 1700, OldWeights: true}, {PrefillTokens: 9200, QueuedPrefillTokens: 40000}}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for offset := range max(1, len(c.candidates)) {
				assert.Equal(t, c.want, Choose(c.question, c.candidates, offset).Index)
			}
		})
	}
}
