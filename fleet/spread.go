package fleet

import (
	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/replicate"
)

// PushRequest sends a change of the platform's objects.
type PushRequest struct {
	Delta replicate.Delta `cbor:"1,keyasint"`
}

// Check returns an error if the delta is inconsistent.
func (p PushRequest) Check() error { return p.Delta.Check() }

// PushResponse holds the watermark of the receiver's replica after the push.
type PushResponse struct {
	Watermark replicate.Watermark `cbor:"1,keyasint"`
}

// Check accepts every response.
func (PushResponse) Check() error { return nil }

// SyncRequest holds the watermarks of the sender's replica.
type SyncRequest struct {
	Watermarks []replicate.Watermark `cbor:"1,keyasint"`
}

// Check returns an error if there are more watermarks than kinds can exist.
func (s SyncRequest) Check() error {
	const maxWatermarks = 16
	if len(s.Watermarks) > maxWatermarks {
		return errors.Newf("sync has %d marks, more than %d", len(s.Watermarks), maxWatermarks)
	}
	return nil
}

// SyncResponse holds the deltas that the requester lacks and the responder's own watermarks.
type SyncResponse struct {
	Deltas     []replicate.Delta     `cbor:"1,keyasint,omitempty"`
	Watermarks []replicate.Watermark `cbor:"2,keyasint"`
}

// Check returns an error if a delta is inconsistent.
func (s SyncResponse) Check() error {
	for _, d := range s.Deltas {
		if err := d.Check(); err != nil {
			return err
		}
	}
	return nil
}

// AnnounceRequest tells peers that the sender's instance has changed, for example because it is leaving.
type AnnounceRequest struct {
	Instance rillreach.Instance `cbor:"1,keyasint"`
}

// Check returns an error if the instance is invalid.
func (a AnnounceRequest) Check() error { return a.Instance.Check() }

// AnnounceResponse confirms an AnnounceRequest.
type AnnounceResponse struct{}

// Check accepts every response.
func (AnnounceResponse) Check() error { return nil }

// CountRequest asks how many processes in the receiver's subtree have reached a version of a kind. Root is the root of
// the tree.
type CountRequest struct {
	Kind    rillreach.ObjectKind `cbor:"1,keyasint"`
	Version uint64               `cbor:"2,keyasint"`
	Root    rillreach.InstanceID `cbor:"3,keyasint"`
}

// Check returns an error if the kind is missing.
func (c CountRequest) Check() error {
	if c.Kind == "" {
		return errors.New("count has no kind")
	}
	return nil
}

// VersionCounts holds the number of processes that have reached a version, of those that have not yet, and of those
// that did not respond.
type VersionCounts struct {
	InForce      int `cbor:"1,keyasint" json:"inForce"`
	Behind       int `cbor:"2,keyasint" json:"behind"`
	Unresponsive int `cbor:"3,keyasint" json:"silent"`
}

// Check returns an error if a count is negative.
func (c VersionCounts) Check() error {
	if c.InForce < 0 || c.Behind < 0 || c.Unresponsive < 0 {
		return errors.New("a count is negative")
	}
	return nil
}

// Add adds other to the counts.
func (c *VersionCounts) Add(other VersionCounts) {
	c.InForce += other.InForce
	c.Behind += other.Behind
	c.Unresponsive += other.Unresponsive
}
