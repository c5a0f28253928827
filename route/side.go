package route

import (
	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/hash"
)

const (
	// pointCount is the resolution of the split between the sides.
	pointCount = 1 << 20
	// sideSalt is mixed into the hash of a conversation to get its point.
	sideSalt = 0x51de
)

// Side returns the side that a conversation belongs to. Each conversation hashes to a fixed point, and the new side
// takes the points below its weight, so that a change of weight moves only the conversations between the two weights.
func Side(weights rillreach.Weights, conversation uint64) rillreach.Side {
	point := hash.Mix(conversation, sideSalt) % pointCount
	if point*rillreach.TotalWeight < uint64(weights.New)*pointCount {
		return rillreach.SideNew
	}
	return rillreach.SideOld
}

// FallbackSide returns the other side, which may take a request if its own side has no backend server, and reports
// whether the row gives that side any weight.
func FallbackSide(weights rillreach.Weights, side rillreach.Side) (rillreach.Side, bool) {
	other := rillreach.SideOld
	if side == rillreach.SideOld {
		other = rillreach.SideNew
	}
	return other, weights.Of(other) > 0
}
