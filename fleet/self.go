package fleet

import (
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

// NewInstance returns this process's instance with a new incarnation, as it is sent to peers. The port is the same on
// all instances.
func NewInstance(role rillreach.Role, s *deployment.Settings) (rillreach.Instance, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return rillreach.Instance{}, errors.Wrap(err, "make incarnation")
	}
	return rillreach.Instance{
		ID:          rillreach.InstanceID(s.Name),
		Role:        role,
		Incarnation: rillreach.Incarnation(id.String()),
		Address:     netip.AddrPortFrom(s.Host, s.FirstPort),
		Zone:        s.Zone,
		Side:        rillreach.SideNew,
	}, nil
}
