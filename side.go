package rillreach

import "github.com/cockroachdb/errors"

// Side is one of the two data centres between which traffic is moved.
type Side string

const (
	// SideOld is the data centre that traffic is moved away from.
	SideOld Side = "old"
	// SideNew is the data centre that traffic is moved to.
	SideNew Side = "new"
)

// Check returns an error if the side is neither old nor new.
func (s Side) Check() error {
	if s != SideOld && s != SideNew {
		return errors.Newf("side %q is neither %q nor %q", string(s), SideOld, SideNew)
	}
	return nil
}

// TotalWeight is the sum of the two weights of a row.
const TotalWeight = 100

// Weights are the percentages of conversations that go to each side.
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

// Check returns an error if a weight is negative or the weights do not add up to TotalWeight.
func (w Weights) Check() error {
	if w.Old < 0 || w.New < 0 {
		return errors.Newf("weights %d/%d: a weight is negative", w.Old, w.New)
	}
	if w.Old+w.New != TotalWeight {
		return errors.Newf("weights %d/%d do not add up to %d", w.Old, w.New, TotalWeight)
	}
	return nil
}
