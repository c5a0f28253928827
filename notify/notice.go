package notify

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
)

// Kind is a kind of objects.
type Kind uint8

// The kinds of objects that relays watch.
const (
	KindConfig Kind = iota + 1
	KindRunners
)

// Notice says how far a relay has followed the objects of a kind.
type Notice struct {
	Kind Kind `cbor:"1,keyasint"`
	// Revision is the store's when the relay last saw a change of the kind.
	Revision rillreach.Revision `cbor:"2,keyasint"`
	// Age is how long before this notice the store last answered the relay.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// Check reports what is wrong with the notice.
func (n Notice) Check() error {
	if n.Kind < KindConfig || n.Kind > KindRunners {
		return errors.Newf("notice of an unknown kind %d", n.Kind)
	}
	if n.Age < 0 {
		return errors.Newf("notice has an age of %s", n.Age)
	}
	return nil
}
