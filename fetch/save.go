package fetch

import (
	"net/netip"
	"time"
)

const (
	// fullFrom is the share of a store's room above which nothing more is saved there: what is on its way takes room, too.
	fullFrom = 0.97
	// smallOf is into how many parts a store's room is cut for one part to count as small there.
	smallOf = 64
)

// Store is a store that may take parts.
type Store struct {
	Address       netip.AddrPort
	Capacity      int
	UsedTokens    int
	BitsPerSecond float64
	StartDelay    time.Duration
	LinkBusy      time.Duration
	OtherZone     bool
	// Holds says that the store holds the part already, or is about to.
	Holds bool
}

// ChooseStore chooses the store for a part that the runner is going to have: an opening, which many prompts share, goes to a
// fast store of the runner's own zone, a small part to any fast one, the rest to where there is room. An invalid address
// means that the part is kept well enough, or that nobody has room.
func ChooseStore(e Engine, tokens int, opening bool, stores []Store) netip.AddrPort {
	if keptWell(opening, stores) {
		return netip.AddrPort{}
	}
	var best *Store
	var cost time.Duration
	for i := range stores {
		s := &stores[i]
		if !s.suits(tokens, opening, stores) {
			continue
		}
		h := Holder{BitsPerSecond: s.BitsPerSecond, StartDelay: s.StartDelay, LinkBusy: s.LinkBusy, OtherZone: s.OtherZone}
		if t := e.moveTime(tokens, &h); best == nil || t < cost {
			best, cost = s, t
		}
	}
	if best == nil {
		return netip.AddrPort{}
	}
	return best.Address
}

// keptWell reports that the part needs no further store: an opening is wanted in the runner's own zone, any other anywhere.
func keptWell(opening bool, stores []Store) bool {
	for i := range stores {
		if stores[i].Holds && (!opening || !stores[i].OtherZone) {
			return true
		}
	}
	return false
}

// suits reports that the store may take the part.
func (s *Store) suits(tokens int, opening bool, stores []Store) bool {
	switch {
	case s.Holds, float64(s.UsedTokens+tokens) > fullFrom*float64(s.Capacity):
		return false
	case opening:
		return !s.OtherZone || !held(stores)
	default:
		return tokens <= s.Capacity/smallOf || largeForAll(stores, tokens)
	}
}

// held reports whether any store holds the part.
func held(stores []Store) bool {
	for i := range stores {
		if stores[i].Holds {
			return true
		}
	}
	return false
}

// largeForAll reports that the part is large for every store, so that size cannot decide.
func largeForAll(stores []Store, tokens int) bool {
	for i := range stores {
		if tokens <= stores[i].Capacity/smallOf {
			return false
		}
	}
	return true
}
