package rillreach

import "github.com/cockroachdb/errors"

// Side is one of the two data centres that serve during a move.
type Side string

const (
	// SideOld is the data centre that traffic moves away from.
	SideOld Side = "old"
	// SideNew is the data centre that traffic moves to.
	SideNew Side = "new"
)

// Check reports a side that is neither old nor new.
func (s Side) Check() error {
	if s != SideOld && s != SideNew {
		return errors.Newf("side %q is neither %q nor %q", string(s), SideOld, SideNew)
	}
	return nil
}

// TotalWeight is the sum of a row's two weights.
const TotalWeight = 100

// Weights say how many of a hundred conversations each side takes.
type Weights struct {
	Old int `json:"old" yaml:"old"`
	New int `json:"new" yaml:"new"`
}

// Of returns the weight of one side.
func (w Weights) Of(s Side) int {
	if s == SideOld {
		return w.Old
	}
	return w.New
}

// Check reports weights that are negative or do not add up to WholeWeight.
func (w Weights) Check() error {
	if w.Old < 0 || w.New < 0 {
		return errors.Newf("weights %d/%d: a weight is negative", w.Old, w.New)
	}
	if w.Old+w.New != TotalWeight {
		return errors.Newf("weights %d/%d do not add up to %d", w.Old, w.New, TotalWeight)
	}
	return nil
}
