package rillreach

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ObjectKind is the kind of an object in the platform's object API.
type ObjectKind string

const (
	// KindRow is the kind of the rows that operators configure; see Row.
	KindRow ObjectKind = "rows"
	// KindInstance is the kind of the entries in the platform's list of instances; see Instance.
	KindInstance ObjectKind = "instances"
	// KindOwners is the kind of the epochs that assign owners to idempotency keys; see once.Epoch.
	KindOwners ObjectKind = "owners"
)

// Object is a versioned value in the object store. Every change in the store gets a greater Version than all earlier
// ones.
type Object struct {
	Kind    ObjectKind `json:"kind" cbor:"1,keyasint"`
	Name    string     `json:"name" cbor:"2,keyasint"`
	Version uint64     `json:"version" cbor:"3,keyasint"`
	Changed time.Time  `json:"changed" cbor:"4,keyasint"`
	Deleted bool       `json:"deleted,omitempty" cbor:"5,keyasint,omitempty"`
	Value   []byte     `json:"value,omitempty" cbor:"6,keyasint,omitempty"`
}

// ObjectPage is the result of a list or a watch. It contains the changed objects. The caller then knows every change
// up to Version and Time.
type ObjectPage struct {
	Objects []Object  `json:"objects"`
	Version uint64    `json:"version"`
	Time    time.Time `json:"time"`
}

// ObjectStore is the platform's object API.
type ObjectStore interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, kind ObjectKind, name string) (Object, error)
	// List returns the objects of a kind.
	List(ctx context.Context, kind ObjectKind) (ObjectPage, error)
	// Put writes the value if the object still has the given version, and returns ErrConflict otherwise. Version zero
	// means that the object must not exist.
	Put(ctx context.Context, kind ObjectKind, name string, version uint64, value []byte) (Object, error)
	// Delete removes the object if it still has the given version, and returns ErrConflict otherwise.
	Delete(ctx context.Context, kind ObjectKind, name string, version uint64) error
	// Watch waits up to the given time for changes of a kind after a version. If there are none, it returns an empty
	// page.
	Watch(ctx context.Context, kind ObjectKind, after uint64, wait time.Duration) (ObjectPage, error)
}

var (
	// ErrNotFound means that an object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that an object does not have the version that the writer expected. Nothing was written.
	ErrConflict = errors.New("object has changed since it was read")
	// ErrWriteUncertain means that a write may or may not have taken effect.
	ErrWriteUncertain = errors.New("write may or may not have taken effect")
)
