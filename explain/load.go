package explain

import (
	"slices"
	"time"
)

// SecondStats is what entries did with the prompts of one second, as their log lines say.
type SecondStats struct {
	// Start is when the second began.
	Start time.Time `json:"at"`
	// Sent prompts went to engines, which were to read Missing tokens for them, Again of these known to have been read before, and
	// to fetch Fetched.
	Sent             int `json:"sent"`
	UncachedTokens   int `json:"missing"`
	RecomputedTokens int `json:"again"`
	FetchedTokens    int `json:"fetched"`
	// MedianHold is how long half of the prompts had waited at the entry, Expected the time to the first token that half were sent with, and
	// Waited what that time was.
	MedianHold         time.Duration `json:"held"`
	MedianExpectedTTFT time.Duration `json:"expected"`
	MedianTTFT         time.Duration `json:"waited"`
	// Failed attempts, requests that Left with their callers, and Refused ones ended in this second.
	Failed    int `json:"failed"`
	Abandoned int `json:"left"`
	Rejected  int `json:"refused"`

	held, expected, waited []time.Duration
}

// StatsBySecond counts by second what became of prompts, so that the moment shows at which waits or refusals begin, and what was read then.
func StatsBySecond(lines []Line) []SecondStats {
	bySecond := map[int64]*SecondStats{}
	sentAt := map[string]time.Time{}
	for i := range lines {
		line := &lines[i]
		s := secondOf(bySecond, line.Time)
		switch line.Message {
		case "runner chosen":
			if line.number("missing")+line.number("fetched") > 0 {
				s.send(line)
				sentAt[line.Request] = line.Time
			}
		case "answered":
			if at, ok := sentAt[line.Request]; ok {
				first := secondOf(bySecond, at)
				first.waited = append(first.waited, line.duration("waited"))
			}
		case "attempt failed", "runner refused":
			s.Failed++
		case "request given up":
			s.end(line)
		}
	}
	seconds := make([]SecondStats, 0, len(bySecond))
	for _, s := range bySecond {
		if s.Sent+s.Failed+s.Abandoned+s.Rejected == 0 {
			continue
		}
		s.MedianHold, s.MedianExpectedTTFT, s.MedianTTFT = median(s.held), median(s.expected), median(s.waited)
		seconds = append(seconds, *s)
	}
	slices.SortFunc(seconds, func(a, b SecondStats) int { return a.Start.Compare(b.Start) })
	return seconds
}

func secondOf(all map[int64]*SecondStats, at time.Time) *SecondStats {
	key := at.Unix()
	if all[key] == nil {
		all[key] = &SecondStats{Start: time.Unix(key, 0).UTC()}
	}
	return all[key]
}

func (s *SecondStats) send(line *Line) {
	s.Sent++
	s.UncachedTokens += line.number("missing")
	s.RecomputedTokens += line.number("again")
	s.FetchedTokens += line.number("fetched")
	s.held = append(s.held, line.duration("held"))
	s.expected = append(s.expected, line.duration("estimate"))
}

// end counts a request without an answer: its caller left, or it was refused.
func (s *SecondStats) end(line *Line) {
	if line.Fields["decision"] == "caller-left" {
		s.Abandoned++
		return
	}
	s.Rejected++
}

// number is a field's whole number, nought where it holds none.
func (l *Line) number(field string) int {
	n, ok := l.Fields[field].(float64)
	if !ok {
		return 0
	}
	return int(n)
}

// duration is a field's time, nought where it holds none.
func (l *Line) duration(field string) time.Duration {
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

func median(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}
