package fleet

import (
	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/limit"
)

const maxLeases = 1024

// LeaseRequest asks an owner of parts of rows' limits for leases.
type LeaseRequest struct {
	Rows []RowDemand `cbor:"1,keyasint"`
}

// RowDemand is what is asked of one row.
type RowDemand struct {
	Row    string        `cbor:"1,keyasint"`
	Part   limit.Part    `cbor:"2,keyasint"`
	Demand limit.Amounts `cbor:"3,keyasint"`
}

// Check reports the first fault of the message.
func (a LeaseRequest) Check() error {
	if len(a.Rows) > maxLeases {
		return errors.Newf("%d leases are asked for at once, more than %d", len(a.Rows), maxLeases)
	}
	for _, r := range a.Rows {
		if r.Part < 0 || int(r.Part) >= limit.OwnedPartCount {
			return errors.Newf("part %d has no owner", r.Part)
		}
		if err := r.Demand.Check(); err != nil {
			return err
		}
	}
	return nil
}

// LeaseResponse answers with an amount for each row asked for, in the same order.
type LeaseResponse struct {
	Granted []limit.Amounts `cbor:"1,keyasint"`
}

// Check reports an amount that is not one.
func (l LeaseResponse) Check() error {
	for _, g := range l.Granted {
		if err := g.Check(); err != nil {
			return err
		}
	}
	return nil
}
