package roster

import "time"

// maxRecentSends bounds the requests that are remembered for a runner whose agent sends no reports.
const maxRecentSends = 256

// recentSends are the requests that this process has sent to one runner and that the runner's latest report may
// not cover, oldest first.
type recentSends struct {
	sends []send
}

type send struct {
	sentAt        time.Time
	prefillTokens int
	usedTokens    int
}

func (r *recentSends) add(at time.Time, prefillTokens, usedTokens int) {
	if len(r.sends) >= maxRecentSends {
		r.sends = r.sends[1:]
	}
	r.sends = append(r.sends, send{sentAt: at, prefillTokens: prefillTokens, usedTokens: usedTokens})
}

// dropReported forgets the requests that a report made at the given time covers.
func (r *recentSends) dropReported(reportedAt time.Time) {
	n := 0
	for n < len(r.sends) && !r.sends[n].sentAt.After(reportedAt) {
		n++
	}
	r.sends = append(r.sends[:0], r.sends[n:]...)
}

// tokensSince sums up the tokens of the requests that were sent after the given time.
func (r *recentSends) tokensSince(reportedAt time.Time) (usedTokens, prefillTokens int) {
	for _, s := range r.sends {
		if s.sentAt.After(reportedAt) {
			usedTokens += s.usedTokens
			prefillTokens += s.prefillTokens
		}
	}
	return usedTokens, prefillTokens
}
