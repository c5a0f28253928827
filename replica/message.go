package replica

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/platform"
)

// Subscribe asks a relay for the objects of some kinds and their changes.
type Subscribe struct {
	// Name identifies the subscriber.
	Name  rillreach.InstanceID `cbor:"1,keyasint"`
	Kinds []Position           `cbor:"2,keyasint"`
}

// Position is a kind and the revision up to which the subscriber knows its objects; zero if it knows none.
type Position struct {
	Kind  string             `cbor:"1,keyasint"`
	After rillreach.Revision `cbor:"2,keyasint"`
}

// maxKinds bounds the kinds of one subscription.
const maxKinds = 16

// Check reports whether the request is invalid.
func (s Subscribe) Check() error {
	if s.Name == "" || len(s.Kinds) == 0 || len(s.Kinds) > maxKinds {
		return errors.Newf("subscriber %q asks for %d kinds", s.Name, len(s.Kinds))
	}
	for _, p := range s.Kinds {
		if p.Kind == "" {
			return errors.New("subscriber asks for a kind without a name")
		}
	}
	return nil
}

// Message is a change of the objects of one kind, or a heartbeat that confirms all kinds.
type Message struct {
	// Kind is the kind of the objects; empty in a heartbeat.
	Kind string `cbor:"1,keyasint,omitempty"`
	// Replace means that the objects are all that exist.
	Replace bool     `cbor:"2,keyasint,omitempty"`
	Objects []object `cbor:"3,keyasint,omitempty"`
	// At is the revision up to which the objects of the kind are now known.
	At rillreach.Revision `cbor:"4,keyasint,omitempty"`
	// Confirmed holds, in a heartbeat, how current the relay's copy of each kind is.
	Confirmed []Confirmation `cbor:"5,keyasint,omitempty"`
}

// Confirmation says that a copy of a kind was complete up to a revision some time ago.
type Confirmation struct {
	Kind string             `cbor:"1,keyasint"`
	At   rillreach.Revision `cbor:"2,keyasint"`
	Age  time.Duration      `cbor:"3,keyasint"`
}

// Check reports whether the message is invalid.
func (m Message) Check() error {
	if m.Kind == "" && len(m.Objects) > 0 {
		return errors.New("heartbeat has objects")
	}
	for _, c := range m.Confirmed {
		if c.Kind == "" || c.Age < 0 {
			return errors.Newf("heartbeat confirms kind %q %s ago", c.Kind, c.Age)
		}
	}
	for i := range m.Objects {
		if m.Objects[i].Name == "" {
			return errors.New("object has no name")
		}
	}
	return nil
}

// object is an object of the store as it is sent to subscribers. Its contents are not decoded on the way.
type object struct {
	Name     string             `cbor:"1,keyasint"`
	Revision rillreach.Revision `cbor:"2,keyasint"`
	Deleting bool               `cbor:"3,keyasint,omitempty"`
	Gone     bool               `cbor:"4,keyasint,omitempty"`
	Spec     []byte             `cbor:"5,keyasint,omitempty"`
	Status   []byte             `cbor:"6,keyasint,omitempty"`
	// Invalid is why the object could not be read, empty if it could.
	Invalid string `cbor:"7,keyasint,omitempty"`
}

func encodeObject(c platform.Change) object {
	o := object{
		Name: c.Object.Metadata.Name, Revision: c.Object.Revision(), Deleting: c.Object.Metadata.Deleting, Gone: c.Deleted,
		Spec: c.Object.Spec, Status: c.Object.Status,
	}
	if c.Object.Err != nil {
		o.Invalid = c.Object.Err.Error()
	}
	return o
}

func (o *object) decode() platform.Change {
	c := platform.Change{Deleted: o.Gone, Object: platform.Object{
		Metadata: platform.Metadata{Name: o.Name, Revision: o.Revision.Number, Deleting: o.Deleting}, Era: o.Revision.Era, Spec: o.Spec, Status: o.Status,
	}}
	if o.Invalid != "" {
		c.Object.Err = errors.Newf("%s", o.Invalid)
	}
	return c
}

// objectsOf returns the objects of changes that delete nothing.
func objectsOf(changes []platform.Change) []platform.Object {
	objects := make([]platform.Object, len(changes))
	for i := range changes {
		objects[i] = changes[i].Object
	}
	return objects
}

func decodeObjects(objects []object) []platform.Change {
	changes := make([]platform.Change, len(objects))
	for i := range objects {
		changes[i] = objects[i].decode()
	}
	return changes
}
