package fetch

import (
	"net/netip"
	"time"
)

const (
	// maxFillShare is the share of a store's capacity up to which parts are saved there. The rest is left for parts
	// that are still being transferred to it.
	maxFillShare = 0.97
	// smallPartDivisor defines a small part: one that takes at most 1/64 of a store's capacity.
	smallPartDivisor = 64
)

// Store is a store in which a part may be saved.
type Store struct {
	Address netip.AddrPort
	// Capacity is the size of the store, and UsedTokens how much of it is taken, both in tokens.
	Capacity   int
	UsedTokens int
	// BitsPerSecond, StartDelay, LinkBusy and OtherZone are as in Holder.
	BitsPerSecond float64
	StartDelay    time.Duration
	LinkBusy      time.Duration
	OtherZone     bool
	// Holds reports whether the store has the part or is receiving it.
	Holds bool
}

// ChooseStore chooses the store in which a runner saves a part: the fastest one that accepts it. The first part of a
// prompt, which many prompts share, is saved in the runner's zone even if another zone has it. Any other part is saved
// once, in a store for which it is small if there is one. ChooseStore returns an invalid address if the part needs no
// further copy or no store accepts it.
func ChooseStore(e Engine, tokens int, firstPart bool, stores []Store) netip.AddrPort {
	if storedWhereNeeded(firstPart, stores) {
		return netip.AddrPort{}
	}
	var best *Store
	var bestTime time.Duration
	for i := range stores {
		s := &stores[i]
		if !s.accepts(tokens, firstPart, stores) {
			continue
		}
		holder := Holder{BitsPerSecond: s.BitsPerSecond, StartDelay: s.StartDelay, LinkBusy: s.LinkBusy, OtherZone: s.OtherZone}
		if t := e.transferTime(tokens, &holder); best == nil || t < bestTime {
			best, bestTime = s, t
		}
	}
	if best == nil {
		return netip.AddrPort{}
	}
	return best.Address
}

// storedWhereNeeded reports whether the part needs no further copy. A first part needs one in the runner's zone, any
// other part needs one in any zone.
func storedWhereNeeded(firstPart bool, stores []Store) bool {
	for i := range stores {
		if stores[i].Holds && (!firstPart || !stores[i].OtherZone) {
			return true
		}
	}
	return false
}

// accepts reports whether the part may be saved in the store.
func (s *Store) accepts(tokens int, firstPart bool, stores []Store) bool {
	switch {
	case s.Holds, float64(s.UsedTokens+tokens) > maxFillShare*float64(s.Capacity):
		return false
	case firstPart:
		return !s.OtherZone || !storedAnywhere(stores)
	default:
		return tokens <= s.Capacity/smallPartDivisor || largeForEveryStore(stores, tokens)
	}
}

// storedAnywhere reports whether any store holds the part.
func storedAnywhere(stores []Store) bool {
	for i := range stores {
		if stores[i].Holds {
			return true
		}
	}
	return false
}

// largeForEveryStore reports whether the part is small for none of the stores, in which case its size does not matter.
func largeForEveryStore(stores []Store, tokens int) bool {
	for i := range stores {
		if tokens <= stores[i].Capacity/smallPartDivisor {
			return false
		}
	}
	return true
}
