package explain

import (
	"slices"
	"time"
)

// SecondStats summarizes what the logs of the entries say about the prompts of one second.
type SecondStats struct {
	// Start is the beginning of the second.
	Start time.Time `json:"at"`
	// Sent is the number of prompts sent to engines with tokens to compute or to fetch. UncachedTokens is the
	// number of their tokens that the engines had to compute, RecomputedTokens the number of those known to have been
	// computed before, and FetchedTokens the number of tokens to fetch from other caches.
	Sent             int `json:"sent"`
	UncachedTokens   int `json:"missing"`
	RecomputedTokens int `json:"again"`
	FetchedTokens    int `json:"fetched"`
	// MedianHold is the median time that the prompts waited at the entry before they were sent. MedianExpectedTTFT is
	// the median of the estimated time to the first token, and MedianTTFT the median of the actual time.
	MedianHold         time.Duration `json:"held"`
	MedianExpectedTTFT time.Duration `json:"expected"`
	MedianTTFT         time.Duration `json:"waited"`
	// Failed is the number of attempts that failed in this second, Abandoned the number of requests whose caller
	// disconnected, and Rejected the number of other requests that were given up.
	Failed    int `json:"failed"`
	Abandoned int `json:"left"`
	Rejected  int `json:"refused"`

	holds, expectedTTFTs, ttfts []time.Duration
}

// StatsBySecond returns statistics of each second with activity. They show when long waits or rejections began, and
// how many tokens the engines had to compute at that time. The time to the first token counts in the second in which
// the prompt was sent.
func StatsBySecond(lines []Line) []SecondStats {
	bySecond := map[int64]*SecondStats{}
	sentAt := map[string]time.Time{}
	for i := range lines {
		line := &lines[i]
		s := statsFor(bySecond, line.Time)
		switch line.Message {
		case "runner chosen":
			if line.intField("missing")+line.intField("fetched") > 0 {
				s.addSent(line)
				sentAt[line.Request] = line.Time
			}
		case "answered":
			if at, ok := sentAt[line.Request]; ok {
				sendSecond := statsFor(bySecond, at)
				sendSecond.ttfts = append(sendSecond.ttfts, line.durationField("waited"))
			}
		case "attempt failed", "runner refused":
			s.Failed++
		case "request given up":
			s.addEnded(line)
		}
	}
	seconds := make([]SecondStats, 0, len(bySecond))
	for _, s := range bySecond {
		if s.Sent+s.Failed+s.Abandoned+s.Rejected == 0 {
			continue
		}
		s.MedianHold, s.MedianExpectedTTFT, s.MedianTTFT = median(s.holds), median(s.expectedTTFTs), median(s.ttfts)
		seconds = append(seconds, *s)
	}
	slices.SortFunc(seconds, func(a, b SecondStats) int { return a.Start.Compare(b.Start) })
	return seconds
}

func statsFor(bySecond map[int64]*SecondStats, at time.Time) *SecondStats {
	key := at.Unix()
	if bySecond[key] == nil {
		bySecond[key] = &SecondStats{Start: time.Unix(key, 0).UTC()}
	}
	return bySecond[key]
}

func (s *SecondStats) addSent(line *Line) {
	s.Sent++
	s.UncachedTokens += line.intField("missing")
	s.RecomputedTokens += line.intField("again")
	s.FetchedTokens += line.intField("fetched")
	s.holds = append(s.holds, line.durationField("held"))
	s.expectedTTFTs = append(s.expectedTTFTs, line.durationField("estimate"))
}

// addEnded counts a request that was given up: its caller disconnected, or it was rejected.
func (s *SecondStats) addEnded(line *Line) {
	if line.Fields["decision"] == "caller-left" {
		s.Abandoned++
		return
	}
	s.Rejected++
}

// intField returns a field as an integer, or 0 if it isn't a number.
func (l *Line) intField(field string) int {
	n, ok := l.Fields[field].(float64)
	if !ok {
		return 0
	}
	return int(n)
}

// durationField returns a field as a duration, or 0 if it isn't one.
func (l *Line) durationField(field string) time.Duration {
	text, ok := l.Fields[field].(string)
	if !ok {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return d
}

func median(durations []time.Duration) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[len(durations)/2]
}
