package fetch

import (
	"net/netip"
	"time"
)

// blockTokens is the size of the KV cache blocks in which engines store parts, in tokens. A part that lacks fewer
// tokens counts as complete.
const blockTokens = 16

// Holder is a runner or a store that holds a part.
type Holder struct {
	Address netip.AddrPort
	IsStore bool
	// Tokens is the number of tokens of the part that the holder has.
	Tokens int
	// BitsPerSecond is the rate of the holder's link. Zero means that only the receiving runner's link limits a
	// transfer.
	BitsPerSecond float64
	// StartDelay is the time from a request for the part to the start of its transfer.
	StartDelay time.Duration
	// LinkBusy is how long the link is taken by the transfers that this process knows of.
	LinkBusy time.Duration
	// OtherZone reports whether the holder is in another zone than the runner, which doubles the transfer time.
	OtherZone bool
}

// Part is a part of a prompt that other prompts may share.
type Part struct {
	Tokens int
	// LocalTokens is the number of tokens of the part that the runner itself holds.
	LocalTokens int
	// Holders are the stores and other runners that hold the part or some of it.
	Holders []Holder
}

// Engine holds the properties of the receiving engine that determine transfer times.
type Engine struct {
	// BytesPerToken is the size of the KV cache of one token.
	BytesPerToken float64
	// BitsPerSecond is the rate of the engine's link.
	BitsPerSecond float64
}

// Plan is how a runner obtains the KV cache of the shared parts of a prompt.
type Plan struct {
	// Sources has the address of the holder for each part. It is invalid if the runner has to compute the part, or has it
	// and no other holder exists.
	Sources []netip.AddrPort
	// FetchedTokens is the number of tokens to fetch, and CrossZoneTokens the number of them from another zone.
	FetchedTokens   int
	CrossZoneTokens int
	// TransferTime is the total time of all fetches, including waits for busy links.
	TransferTime time.Duration
	// PrefillTokens is the number of tokens that the runner has to process, and RecomputedTokens the number of them in
	// parts that some runner has processed before.
	PrefillTokens    int
	RecomputedTokens int
	// Transfers are the fetches in order of the parts, to account for the use of links.
	Transfers []Transfer
}

// Transfer is the fetch of one part.
type Transfer struct {
	Source netip.AddrPort
	// Duration excludes the wait for earlier transfers on the link.
	Duration time.Duration
}

// NewPlan plans how a runner obtains the given parts, in their order, with a total transfer time within the budget. The
// KV cache of a part depends on all tokens before it, so every part after the first one that cannot be obtained has to
// be computed.
func NewPlan(e Engine, parts []Part, budget time.Duration) Plan {
	p := Plan{Sources: make([]netip.AddrPort, len(parts))}
	prefixBroken := false
	for i, part := range parts {
		switch {
		case prefixBroken:
			p.addPrefill(part.Tokens, part)
		case part.Tokens-part.LocalTokens < blockTokens:
			p.addFallback(e, i, part)
		default:
			prefixBroken = !p.addFetch(e, i, part, budget)
		}
	}
	return p
}

// addFetch plans the fetch of one part, or its computation if no holder can deliver it within the budget. It reports
// whether the part is fetched.
func (p *Plan) addFetch(e Engine, i int, part Part, budget time.Duration) bool {
	missing := part.Tokens - part.LocalTokens
	best, duration := e.fastest(missing, part)
	if best < 0 || p.TransferTime+duration > budget {
		p.addPrefill(missing, part)
		return false
	}
	holder := part.Holders[best]
	p.Sources[i] = holder.Address
	p.FetchedTokens += missing
	if holder.OtherZone {
		p.CrossZoneTokens += missing
	}
	p.TransferTime += duration
	p.Transfers = append(p.Transfers, Transfer{Source: holder.Address, Duration: duration - holder.LinkBusy})
	return true
}

// addPrefill counts tokens that the runner has to process.
func (p *Plan) addPrefill(tokens int, part Part) {
	p.PrefillTokens += tokens
	if part.LocalTokens > 0 || len(part.Holders) > 0 {
		p.RecomputedTokens += tokens
	}
}

// addFallback names a holder for a part that the runner itself has, in case the runner evicts it before the request
// starts. Nothing is fetched as long as the runner has the part.
func (p *Plan) addFallback(e Engine, i int, part Part) {
	if best, _ := e.fastest(part.Tokens, part); best >= 0 {
		p.Sources[i] = part.Holders[best].Address
	}
}

// fastest returns the index of the holder of the whole part from which the tokens arrive soonest, or -1.
func (e Engine) fastest(tokens int, part Part) (best int, duration time.Duration) {
	best = -1
	for k := range part.Holders {
		holder := &part.Holders[k]
		if !holder.holdsWhole(part.Tokens) {
			continue
		}
		if t := e.transferTime(tokens, holder); best < 0 || t < duration {
			best, duration = k, t
		}
	}
	return best, duration
}

// transferTime returns the time until the tokens have arrived from a holder.
func (e Engine) transferTime(tokens int, h *Holder) time.Duration {
	rate := e.BitsPerSecond
	if h.BitsPerSecond > 0 && h.BitsPerSecond < rate {
		rate = h.BitsPerSecond
	}
	if rate <= 0 {
		return time.Hour
	}
	seconds := float64(tokens) * e.BytesPerToken * 8 / rate
	if h.OtherZone {
		seconds *= 2
	}
	return time.Duration(seconds*float64(time.Second)) + h.StartDelay + h.LinkBusy
}
