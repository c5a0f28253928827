package pinning

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/hash"
)

// maxIDLength is the longest ID of a request, in bytes, of which a record is kept.
const maxIDLength = 256

// Stream identifies a stream by the request that brought its first event. The IDs of different client accounts are
// independent of each other.
type Stream struct {
	Account rillreach.AccountID `cbor:"1,keyasint,omitempty"`
	Request rillreach.RequestID `cbor:"2,keyasint"`
}

// Check returns an error if the stream has no ID, or one that is too long.
func (s Stream) Check() error {
	if s.Request == "" {
		return errors.New("stream has no request ID")
	}
	if len(s.Request)+len(s.Account) > maxIDLength {
		return errors.Newf("stream has an ID of %d bytes", len(s.Request)+len(s.Account))
	}
	return nil
}

func (s Stream) hash() uint64 {
	return hash.Mix(hash.String(string(s.Account)), hash.String(string(s.Request)))
}

// Record says at which software version a stream began.
type Record struct {
	Stream Stream `cbor:"1,keyasint"`
	Pin    Pin    `cbor:"2,keyasint"`
	// Left is how much longer the stream can be taken up.
	Left time.Duration `cbor:"3,keyasint"`
}

// Check returns an error if the record is incomplete or lasts longer than MaxLifetime.
func (r Record) Check() error {
	if err := r.Stream.Check(); err != nil {
		return err
	}
	if err := r.Pin.Check(); err != nil {
		return err
	}
	if r.Left < 0 || r.Left > MaxLifetime {
		return errors.Newf("record of a stream lasts for %s", r.Left)
	}
	return nil
}

// MaxLifetime is the longest time for which a record is kept.
const MaxLifetime = 2 * time.Minute

// Report passes records on to a replica.
type Report struct {
	Records []Record `cbor:"1,keyasint"`
}

// Check returns an error if one of the records is invalid.
func (r Report) Check() error {
	for _, one := range r.Records {
		if err := one.Check(); err != nil {
			return err
		}
	}
	return nil
}

// Receipt acknowledges a Report.
type Receipt struct{}

// Check returns no error.
func (Receipt) Check() error { return nil }

// Query asks a replica for a stream's record.
type Query struct {
	Stream Stream `cbor:"1,keyasint"`
	// Service is the service that the request would be sent to if the stream had not begun.
	Service rillreach.ServiceID `cbor:"2,keyasint"`
}

// Check returns an error if the query names no stream or no service.
func (q Query) Check() error {
	if q.Service == "" {
		return errors.New("query names no service")
	}
	return q.Stream.Check()
}

// Answer is what a replica knows of a stream.
type Answer struct {
	// Found reports whether the replica has a record of the stream, and Pin is what it says. Disputed means that it was
	// given records that contradict each other.
	Found    bool `cbor:"1,keyasint,omitempty"`
	Disputed bool `cbor:"2,keyasint,omitempty"`
	Pin      Pin  `cbor:"3,keyasint,omitempty"`
	// Others contains other pins of the queried service, of which the replica has records.
	Others []Pin `cbor:"4,keyasint,omitempty"`
	// Age is the time since the replica was told of the record.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
}

// Check returns an error if the answer has an invalid pin.
func (a Answer) Check() error {
	for _, pin := range a.Others {
		if err := pin.Check(); err != nil {
			return err
		}
	}
	if a.Found && !a.Disputed {
		return a.Pin.Check()
	}
	return nil
}
