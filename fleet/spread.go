package fleet

import (
	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/replicate"
)

// PushRequest hands on a change of the platform's objects.
type PushRequest struct {
	Delta replicate.Delta `cbor:"1,keyasint"`
}

// Check checks the delta.
func (p PushRequest) Check() error { return p.Delta.Check() }

// PushResponse answers a push with how far the receiver's copy then goes.
type PushResponse struct {
	Watermark replicate.Watermark `cbor:"1,keyasint"`
}

// Check accepts every answer.
func (PushResponse) Check() error { return nil }

// SyncRequest compares marks: it says how far the asker's copy goes.
type SyncRequest struct {
	Watermarks []replicate.Watermark `cbor:"1,keyasint"`
}

// Check reports more marks than there are kinds.
func (s SyncRequest) Check() error {
	const most = 16
	if len(s.Watermarks) > most {
		return errors.Newf("sync has %d marks, more than %d", len(s.Watermarks), most)
	}
	return nil
}

// SyncResponse answers with what the asker lacks, and with the answerer's own marks.
type SyncResponse struct {
	Deltas     []replicate.Delta     `cbor:"1,keyasint,omitempty"`
	Watermarks []replicate.Watermark `cbor:"2,keyasint"`
}

// Check checks every delta.
func (s SyncResponse) Check() error {
	for _, d := range s.Deltas {
		if err := d.Check(); err != nil {
			return err
		}
	}
	return nil
}

// AnnounceRequest tells the peers of a process that its instance has changed, as when it leaves.
type AnnounceRequest struct {
	Instance rillreach.Instance `cbor:"1,keyasint"`
}

// Check checks the instance.
func (n AnnounceRequest) Check() error { return n.Instance.Check() }

// AnnounceResponse answers a notice.
type AnnounceResponse struct{}

// Check accepts every answer.
func (AnnounceResponse) Check() error { return nil }

// CountRequest asks how many processes below one in a zone's tree hold a kind up to a version.
type CountRequest struct {
	Kind    rillreach.ObjectKind `cbor:"1,keyasint"`
	Version uint64               `cbor:"2,keyasint"`
	Root    rillreach.InstanceID `cbor:"3,keyasint"`
}

// Check reports a count without its kind.
func (c CountRequest) Check() error {
	if c.Kind == "" {
		return errors.New("count has no kind")
	}
	return nil
}

// VersionCounts is how many processes hold the version, how many do not yet, and how many did not answer.
type VersionCounts struct {
	InForce      int `cbor:"1,keyasint" json:"inForce"`
	Behind       int `cbor:"2,keyasint" json:"behind"`
	Unresponsive int `cbor:"3,keyasint" json:"silent"`
}

// Check reports a negative count.
func (c VersionCounts) Check() error {
	if c.InForce < 0 || c.Behind < 0 || c.Unresponsive < 0 {
		return errors.New("a count is negative")
	}
	return nil
}

// Add adds another count to this one.
func (c *VersionCounts) Add(other VersionCounts) {
	c.InForce += other.InForce
	c.Behind += other.Behind
	c.Unresponsive += other.Unresponsive
}
