package policy

import (
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/keep"
	"github.com/rillreach/rillreach/route"
)

// transfer is a way to read kept state, from one store or from several at once.
type transfer struct {
	parts         []transferPart
	duration      time.Duration
	crossSideLink *link
}

type transferPart struct {
	link *link
	rate float64
}

// start begins the reading, and returns when it is done.
func (r transfer) start(now time.Duration, bytes float64) time.Duration {
	done := now
	for _, part := range r.parts {
		done = max(done, part.link.sendUrgent(now, bytes/float64(len(r.parts)), part.rate))
	}
	if r.crossSideLink != nil {
		done = max(done, r.crossSideLink.sendUrgent(now, bytes, r.crossSideLink.rate))
	}
	return done
}

// estimate sets how long reading some bytes would take.
func (r *transfer) estimate(now time.Duration, bytes float64) {
	for _, part := range r.parts {
		r.duration = max(r.duration, part.link.urgentDelay(now)+seconds(bytes/float64(len(r.parts))/part.rate))
	}
	if r.crossSideLink != nil {
		r.duration = max(r.duration, r.crossSideLink.urgentDelay(now)+seconds(bytes/r.crossSideLink.rate))
	}
}

// findStored finds a conversation's state in the stores of a side, or else of the other.
func (s *simulation) findStored(side rillreach.Side, p prompt, cached int) (int, float64, transfer) {
	stored, source := s.storedOnSide(side, p)
	if stored <= cached {
		if otherStored, otherSource := s.storedOnSide(otherSide(side), p); otherStored > cached {
			stored, source = otherStored, otherSource
			source.crossSideLink = &s.crossSideLink
		}
	}
	stored = min(stored, p.priorTokens)
	bytes := float64(max(stored-cached, 0)) * bytesPerToken
	if bytes > 0 {
		source.estimate(s.now, bytes)
	}
	return stored, bytes, source
}

// storedOnSide is how much of a conversation's state the stores of a side hold. Stripes alternate from the start, so that
// one that is missing leaves nothing to go on from.
func (s *simulation) storedOnSide(side rillreach.Side, p prompt) (int, transfer) {
	var source transfer
	stored := 0
	for _, st := range s.storesFor(side, p) {
		tokens, rate := st.lookup(p.conversation)
		if tokens == 0 {
			return 0, transfer{}
		}
		stored += tokens
		source.parts = append(source.parts, transferPart{link: &st.link, rate: rate})
	}
	return stored, source
}

// export writes the part of a prompt's state that its store does not have yet.
func (s *simulation) export(r *runner, p prompt) {
	stores := s.storesFor(r.side, p)
	stored, _ := s.storedOnSide(r.side, p)
	newTokens := p.tokens - stored
	if len(stores) == 0 || newTokens <= 0 {
		return
	}
	input := keep.ExportInput{
		Tokens: newTokens, Bytes: int64(newTokens) * bytesPerToken, ReturnProbability: s.returnsOf(p.account).ReturnProbability(0, 48*time.Hour),
		PrefillRate: prefillRate, LinkRate: stores[0].link.rate * float64(len(stores)),
	}
	if !s.policy.shouldExport(input) {
		return
	}
	for _, st := range stores {
		bytes := float64(input.Bytes) / float64(len(stores))
		if s.policy.prioritizesReads() {
			st.link.sendBackground(s.now, bytes)
		} else {
			st.link.sendUrgent(s.now, bytes, st.link.rate)
		}
		st.put(p.conversation, p.tokens/len(stores))
	}
}

func (s *simulation) firstStore(side rillreach.Side, p prompt) *store {
	stores := s.stores[side]
	ranked := route.Rank(p.hash, len(stores), 2, func(i int) uint64 { return nodeHash(5000 + i) })
	for rank := range ranked.Len() {
		if st := stores[ranked.At(rank)]; !st.failed {
			return st
		}
	}
	return stores[0]
}

// storesFor are the stores of a side over which a conversation's state is spread.
func (s *simulation) storesFor(side rillreach.Side, p prompt) []*store {
	all := s.stores[side]
	ranked := route.Rank(p.hash, len(all), len(all), func(i int) uint64 { return nodeHash(5000 + i) })
	var stores []*store
	for rank := range ranked.Len() {
		if st := all[ranked.At(rank)]; !st.failed && len(stores) < s.policy.stripeCount() {
			stores = append(stores, st)
		}
	}
	return stores
}

func (s *simulation) returnsOf(account rillreach.AccountID) *keep.ReturnHistogram {
	g := s.returns[account]
	if g == nil {
		g = &keep.ReturnHistogram{}
		s.returns[account] = g
	}
	return g
}
