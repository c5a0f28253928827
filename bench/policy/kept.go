package policy

import (
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/keep"
	"github.com/rillreach/rillreach/route"
)

// transfer is a read of stored state, from one store or from several in parallel.
type transfer struct {
	// parts are the stores to read from. They share the bytes equally.
	parts []transferPart
	// duration is the estimated time for the read, as set by estimate.
	duration time.Duration
	// crossSideLink is set if the state is read from the other side.
	crossSideLink *link
}

// transferPart is the part of a transfer that one store serves. The rate is in bytes per second.
type transferPart struct {
	link *link
	rate float64
}

// start begins the transfer and returns the time at which it ends.
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

// estimate sets the estimated duration for a number of bytes.
func (r *transfer) estimate(now time.Duration, bytes float64) {
	for _, part := range r.parts {
		r.duration = max(r.duration, part.link.urgentDelay(now)+seconds(bytes/float64(len(r.parts))/part.rate))
	}
	if r.crossSideLink != nil {
		r.duration = max(r.duration, r.crossSideLink.urgentDelay(now)+seconds(bytes/r.crossSideLink.rate))
	}
}

// findStored looks up the state of a conversation in the stores of a side. It uses the other side if the first has no
// more than the cached tokens. It returns the number of stored tokens, the bytes to read and their source.
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

// storedOnSide returns how many tokens of a conversation the stores of a side hold, and how to read them. Stripes
// alternate from the start of the state, so nothing is usable if one of them is missing.
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

// export writes the state of a prompt that the stores of its runner's side do not have yet, if the policy decides so.
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

// firstStore returns the highest-ranked store for a conversation that has not failed.
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

// storesFor returns the stores of a side that hold the stripes of a conversation's state.
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

// returnsOf returns the return histogram of an account and creates it if needed.
func (s *simulation) returnsOf(account rillreach.AccountID) *keep.ReturnHistogram {
	histogram := s.returns[account]
	if histogram == nil {
		histogram = &keep.ReturnHistogram{}
		s.returns[account] = histogram
	}
	return histogram
}
