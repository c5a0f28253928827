package fetch

import (
	"net/netip"
	"time"
)

// blockTokens is the unit in which engines keep parts: fewer tokens missing than this make no difference.
const blockTokens = 16

// Holder is a runner or a store that holds a part.
type Holder struct {
	Address netip.AddrPort
	IsStore bool
	// Tokens is how much of the part it holds.
	Tokens int
	// BitsPerSecond is the rate of its link, First what passes before a move begins, Busy how long its link is
	// taken by moves that this process knows of.
	BitsPerSecond float64
	StartDelay    time.Duration
	LinkBusy      time.Duration
	// OtherZone says that it is in another zone than the runner, which makes a move take twice as long.
	OtherZone bool
}

// Part is one shared part of a prompt.
type Part struct {
	Tokens int
	// LocalTokens is how much of it the runner holds itself.
	LocalTokens int
	// Holders are the others that hold it.
	Holders []Holder
}

// Engine is what moves depend on at the runner's side.
type Engine struct {
	BytesPerToken float64
	BitsPerSecond float64
}

// Plan is what a runner does to have the shared parts of a prompt.
type Plan struct {
	// Sources names the holder for each part, an invalid address where none is needed or there is none.
	Sources []netip.AddrPort
	// FetchedTokens is how many tokens are moved, Afar how many of them between zones; Time is how long that takes.
	FetchedTokens   int
	CrossZoneTokens int
	TransferTime    time.Duration
	// PrefillTokens is how many tokens of the parts have to be read, Again how many of these somebody has read before.
	PrefillTokens    int
	RecomputedTokens int
	// Transfers are the fetches by part, for the books of who uses which link.
	Transfers []Transfer
}

// Transfer is one fetch.
type Transfer struct {
	Source   netip.AddrPort
	Duration time.Duration
}

// NewPlan plans the parts in their order; after the first part that nobody holds, the rest have to be read.
func NewPlan(e Engine, parts []Part, budget time.Duration) Plan {
	p := Plan{Sources: make([]netip.AddrPort, len(parts))}
	broken := false
	for i, part := range parts {
		switch {
		case broken:
			p.miss(part.Tokens, part)
		case part.Tokens-part.LocalTokens < blockTokens:
			p.standBy(e, i, part)
		default:
			broken = !p.add(e, i, part, budget)
		}
	}
	return p
}

// add plans the fetch of one part; it reports whether the runner has the whole part then.
func (p *Plan) add(e Engine, i int, part Part, budget time.Duration) bool {
	need := part.Tokens - part.LocalTokens
	best, took := e.nearest(need, part)
	if best < 0 || p.TransferTime+took > budget {
		p.miss(need, part)
		return false
	}
	h := part.Holders[best]
	p.Sources[i] = h.Address
	p.FetchedTokens += need
	if h.OtherZone {
		p.CrossZoneTokens += need
	}
	p.TransferTime += took
	p.Transfers = append(p.Transfers, Transfer{Source: h.Address, Duration: took - h.LinkBusy})
	return true
}

// miss counts tokens that have to be read.
func (p *Plan) miss(tokens int, part Part) {
	p.PrefillTokens += tokens
	if part.LocalTokens > 0 || len(part.Holders) > 0 {
		p.RecomputedTokens += tokens
	}
}

// standBy names a holder for a part that the runner has itself, in case that gives way before the request begins; while the
// runner has it, nothing is moved.
func (p *Plan) standBy(e Engine, i int, part Part) {
	if best, _ := e.nearest(part.Tokens, part); best >= 0 {
		p.Sources[i] = part.Holders[best].Address
	}
}

// nearest is the holder of the whole part from which the tokens come soonest, or -1.
func (e Engine) nearest(tokens int, part Part) (best int, took time.Duration) {
	best = -1
	for k := range part.Holders {
		h := &part.Holders[k]
		if !h.holds(part.Tokens) {
			continue
		}
		if t := e.moveTime(tokens, h); best < 0 || t < took {
			best, took = k, t
		}
	}
	return best, took
}

// moveTime is how long moving the tokens from a holder takes.
func (e Engine) moveTime(tokens int, h *Holder) time.Duration {
	rate := e.BitsPerSecond
	if h.BitsPerSecond > 0 && h.BitsPerSecond < rate {
		rate = h.BitsPerSecond
	}
	if rate <= 0 {
		return time.Hour
	}
	t := float64(tokens) * e.BytesPerToken * 8 / rate
	if h.OtherZone {
		t *= 2
	}
	return time.Duration(t*float64(time.Second)) + h.StartDelay + h.LinkBusy
}
