package fleet

import (
	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/limit"
)

// maxLeaseRows is the number of rows allowed in one LeaseRequest.
const maxLeaseRows = 1024

// LeaseRequest asks the owner of parts of rows' limits for leases on them.
type LeaseRequest struct {
	Rows []RowDemand `cbor:"1,keyasint"`
}

// RowDemand is the demand for a lease on one part of a row's limits.
type RowDemand struct {
	Row    string        `cbor:"1,keyasint"`
	Part   limit.Part    `cbor:"2,keyasint"`
	Demand limit.Amounts `cbor:"3,keyasint"`
}

// Check returns an error if the request is invalid.
func (r LeaseRequest) Check() error {
	if len(r.Rows) > maxLeaseRows {
		return errors.Newf("%d leases are asked for at once, more than %d", len(r.Rows), maxLeaseRows)
	}
	for _, row := range r.Rows {
		if row.Part < 0 || int(row.Part) >= limit.OwnedPartCount {
			return errors.Newf("part %d has no owner", row.Part)
		}
		if err := row.Demand.Check(); err != nil {
			return err
		}
	}
	return nil
}

// LeaseResponse holds the granted amounts for each row of a LeaseRequest, in the same order.
type LeaseResponse struct {
	Granted []limit.Amounts `cbor:"1,keyasint"`
}

// Check returns an error if an amount is invalid.
func (l LeaseResponse) Check() error {
	for _, g := range l.Granted {
		if err := g.Check(); err != nil {
			return err
		}
	}
	return nil
}
