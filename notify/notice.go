package notify

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
)

// Kind is a kind of object that relays watch.
type Kind uint8

const (
	// KindConfig is the operators' configuration.
	KindConfig Kind = iota + 1
	// KindRunners is the list of runners.
	KindRunners
)

// Notice reports how current a relay's view of the objects of a kind is.
type Notice struct {
	Kind Kind `cbor:"1,keyasint"`
	// Revision is the store's revision at the last change that the relay has seen.
	Revision rillreach.Revision `cbor:"2,keyasint"`
	// Age is the time since the last response of the store to the relay.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// Check reports whether the notice is invalid.
func (n Notice) Check() error {
	if n.Kind < KindConfig || n.Kind > KindRunners {
		return errors.Newf("notice has unknown kind %d", n.Kind)
	}
	if n.Age < 0 {
		return errors.Newf("notice has negative age %s", n.Age)
	}
	return nil
}
