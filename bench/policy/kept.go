package policy

import (
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/keep"
	"github.com/rillreach/rillreach/route"
)

// reading is a way to read kept state, from one store or from several at once.
type reading struct {
	parts []readPart
	wait  time.Duration
	cross *link
}

type readPart struct {
	link *link
	rate float64
}

// start begins the reading, and returns when it is done.
func (r reading) start(now time.Duration, bytes float64) time.Duration {
	done := now
	for _, part := range r.parts {
		done = max(done, part.link.carry(now, bytes/float64(len(r.parts)), part.rate))
	}
	if r.cross != nil {
		done = max(done, r.cross.carry(now, bytes, r.cross.rate))
	}
	return done
}

// estimate sets how long reading some bytes would take.
func (r *reading) estimate(now time.Duration, bytes float64) {
	for _, part := range r.parts {
		r.wait = max(r.wait, part.link.wait(now)+seconds(bytes/float64(len(r.parts))/part.rate))
	}
	if r.cross != nil {
		r.wait = max(r.wait, r.cross.wait(now)+seconds(bytes/r.cross.rate))
	}
}

// keptOf finds a conversation's state in the stores of a side, or else of the other.
func (s *simulation) keptOf(side rillreach.Side, p prompt, cached int) (int, float64, reading) {
	kept, read := s.heldOn(side, p)
	if kept <= cached {
		if far, farRead := s.heldOn(otherSide(side), p); far > cached {
			kept, read = far, farRead
			read.cross = &s.cross
		}
	}
	kept = min(kept, p.prior)
	bytes := float64(max(kept-cached, 0)) * bytesPerToken
	if bytes > 0 {
		read.estimate(s.now, bytes)
	}
	return kept, bytes, read
}

// heldOn is how much of a conversation's state the stores of a side hold. Stripes alternate from the start, so that
// one that is missing leaves nothing to go on from.
func (s *simulation) heldOn(side rillreach.Side, p prompt) (int, reading) {
	var read reading
	kept := 0
	for _, st := range s.storesOf(side, p) {
		tokens, rate := st.holds(p.conversation)
		if tokens == 0 {
			return 0, reading{}
		}
		kept += tokens
		read.parts = append(read.parts, readPart{link: &st.link, rate: rate})
	}
	return kept, read
}

// export writes the part of a prompt's state that its store does not have yet.
func (s *simulation) export(r *runner, p prompt) {
	stores := s.storesOf(r.side, p)
	held, _ := s.heldOn(r.side, p)
	fresh := p.tokens - held
	if len(stores) == 0 || fresh <= 0 {
		return
	}
	question := keep.ExportInput{
		Tokens: fresh, Bytes: int64(fresh) * bytesPerToken, ReturnProbability: s.gapsOf(p.account).ReturnProbability(0, 48*time.Hour),
		PrefillRate: prefillRate, LinkRate: stores[0].link.rate * float64(len(stores)),
	}
	if !s.policy.exporting(question) {
		return
	}
	for _, st := range stores {
		bytes := float64(question.Bytes) / float64(len(stores))
		if s.policy.patient() {
			st.link.carryLater(s.now, bytes)
		} else {
			st.link.carry(s.now, bytes, st.link.rate)
		}
		st.put(p.conversation, p.tokens/len(stores))
	}
}

func (s *simulation) storeOf(side rillreach.Side, p prompt) *store {
	stores := s.stores[side]
	ranked := route.Rank(p.hash, len(stores), 2, func(i int) uint64 { return placeOf(5000 + i) })
	for rank := range ranked.Len() {
		if st := stores[ranked.At(rank)]; !st.dead {
			return st
		}
	}
	return stores[0]
}

// storesOf are the stores of a side over which a conversation's state is spread.
func (s *simulation) storesOf(side rillreach.Side, p prompt) []*store {
	all := s.stores[side]
	ranked := route.Rank(p.hash, len(all), len(all), func(i int) uint64 { return placeOf(5000 + i) })
	var stores []*store
	for rank := range ranked.Len() {
		if st := all[ranked.At(rank)]; !st.dead && len(stores) < s.policy.stripes() {
			stores = append(stores, st)
		}
	}
	return stores
}

func (s *simulation) gapsOf(account rillreach.AccountID) *keep.ReturnHistogram {
	g := s.gaps[account]
	if g == nil {
		g = &keep.ReturnHistogram{}
		s.gaps[account] = g
	}
	return g
}
