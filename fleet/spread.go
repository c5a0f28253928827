package fleet

import (
	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/replicate"
)

// Push hands on a change of the platform's objects.
type Push struct {
	Delta replicate.Delta `cbor:"1,keyasint"`
}

// Check checks the delta.
func (p Push) Check() error { return p.Delta.Check() }

// Pushed answers a push with how far the receiver's copy then goes.
type Pushed struct {
	Mark replicate.Watermark `cbor:"1,keyasint"`
}

// Check accepts every answer.
func (Pushed) Check() error { return nil }

// Sync compares marks: it says how far the asker's copy goes.
type Sync struct {
	Marks []replicate.Watermark `cbor:"1,keyasint"`
}

// Check reports more marks than there are kinds.
func (s Sync) Check() error {
	const most = 16
	if len(s.Marks) > most {
		return errors.Newf("sync has %d marks, more than %d", len(s.Marks), most)
	}
	return nil
}

// Synced answers with what the asker lacks, and with the answerer's own marks.
type Synced struct {
	Deltas []replicate.Delta     `cbor:"1,keyasint,omitempty"`
	Marks  []replicate.Watermark `cbor:"2,keyasint"`
}

// Check checks every delta.
func (s Synced) Check() error {
	for _, d := range s.Deltas {
		if err := d.Check(); err != nil {
			return err
		}
	}
	return nil
}

// Notice tells the peers of a process that its instance has changed, as when it leaves.
type Notice struct {
	Instance rillreach.Instance `cbor:"1,keyasint"`
}

// Check checks the instance.
func (n Notice) Check() error { return n.Instance.Check() }

// Noted answers a notice.
type Noted struct{}

// Check accepts every answer.
func (Noted) Check() error { return nil }

// Count asks how many processes below one in a zone's tree hold a kind up to a version.
type Count struct {
	Kind    rillreach.ObjectKind `cbor:"1,keyasint"`
	Version uint64               `cbor:"2,keyasint"`
	Root    rillreach.InstanceID `cbor:"3,keyasint"`
}

// Check reports a count without its kind.
func (c Count) Check() error {
	if c.Kind == "" {
		return errors.New("count has no kind")
	}
	return nil
}

// Counted is how many processes hold the version, how many do not yet, and how many did not answer.
type Counted struct {
	InForce int `cbor:"1,keyasint" json:"inForce"`
	Behind  int `cbor:"2,keyasint" json:"behind"`
	Silent  int `cbor:"3,keyasint" json:"silent"`
}

// Check reports a negative count.
func (c Counted) Check() error {
	if c.InForce < 0 || c.Behind < 0 || c.Silent < 0 {
		return errors.New("a count is negative")
	}
	return nil
}

// Add adds another count to this one.
func (c *Counted) Add(other Counted) {
	c.InForce += other.InForce
	c.Behind += other.Behind
	c.Silent += other.Silent
}
