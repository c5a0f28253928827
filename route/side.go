package route

import (
	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/hash"
)

const (
	sidePoints = 1 << 20
	sideSalt   = 0x51de
)

// Side is the side that a conversation belongs to. A conversation has one fixed point; the new side takes the points
// below its weight, so that a shift moves just the conversations between the old weight and the new one.
func Side(weights rillreach.Weights, conversation uint64) rillreach.Side {
	point := hash.Mix(conversation, sideSalt) % sidePoints
	if point*rillreach.WholeWeight < uint64(weights.New)*sidePoints {
		return rillreach.SideNew
	}
	return rillreach.SideOld
}

// FallbackSide is the side that may take a request when its own has no backend server, if the row gives it any weight.
func FallbackSide(weights rillreach.Weights, side rillreach.Side) (rillreach.Side, bool) {
	other := rillreach.SideOld
	if side == rillreach.SideOld {
		other = rillreach.SideNew
	}
	return other, weights.Of(other) > 0
}
