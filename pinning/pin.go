package pinning

import (
	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

// Pin is the software version that began a stream. A version belongs to its service: equal versions of two services are
// different software. An empty version is that of runners whose records name none.
type Pin struct {
	Service  rillreach.ServiceID        `cbor:"1,keyasint"`
	Software deployment.SoftwareVersion `cbor:"2,keyasint,omitempty"`
}

// Check returns an error if the pin names no service.
func (p Pin) Check() error {
	if p.Service == "" {
		return errors.New("pin names no service")
	}
	return nil
}

// IsZero reports whether the stream has not begun, so that any version may begin it.
func (p Pin) IsZero() bool { return p == Pin{} }

// Allows reports whether a runner of the service with the software version may send events of the stream.
func (p Pin) Allows(service rillreach.ServiceID, software deployment.SoftwareVersion) bool {
	return p.IsZero() || p == Pin{Service: service, Software: software}
}
