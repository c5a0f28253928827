package rillreach

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ObjectKind names a sort of object in the platform's object API.
type ObjectKind string

const (
	// KindRow is the kind of the operators' rows.
	KindRow ObjectKind = "rows"
	// KindInstance is the kind of the platform's list of instances.
	KindInstance ObjectKind = "instances"
	// KindOwners is the kind of the maps that say which agent owns a caller's key.
	KindOwners ObjectKind = "owners"
)

// Object is one versioned value; Version grows with every change in the whole store and is never used twice.
type Object struct {
	Kind    ObjectKind `json:"kind" cbor:"1,keyasint"`
	Name    string     `json:"name" cbor:"2,keyasint"`
	Version uint64     `json:"version" cbor:"3,keyasint"`
	Changed time.Time  `json:"changed" cbor:"4,keyasint"`
	Deleted bool       `json:"deleted,omitempty" cbor:"5,keyasint,omitempty"`
	Value   []byte     `json:"value,omitempty" cbor:"6,keyasint,omitempty"`
}

// ObjectPage is the answer to a list or a watch: what changed, and the point up to which the caller now knows everything.
type ObjectPage struct {
	Objects []Object  `json:"objects"`
	Version uint64    `json:"version"`
	Time    time.Time `json:"time"`
}

// ObjectStore is the platform's object API.
type ObjectStore interface {
	// Get returns one object or ErrNotFound.
	Get(ctx context.Context, kind ObjectKind, name string) (Object, error)
	// List returns the objects of a kind.
	List(ctx context.Context, kind ObjectKind) (ObjectPage, error)
	// Put writes the value if the object still has the version, zero meaning that it must not exist; else ErrConflict.
	Put(ctx context.Context, kind ObjectKind, name string, version uint64, value []byte) (Object, error)
	// Delete removes the object if it still has the version; else ErrConflict.
	Delete(ctx context.Context, kind ObjectKind, name string, version uint64) error
	// Watch waits for changes of a kind after a version, at the longest for wait, and returns them, or none.
	Watch(ctx context.Context, kind ObjectKind, after uint64, wait time.Duration) (ObjectPage, error)
}

var (
	// ErrNotFound says that an object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict says that an object has another version than the writer expected; nothing was written.
	ErrConflict = errors.New("object has changed since it was read")
	// ErrWriteUncertain says that a write may or may not have taken effect.
	ErrWriteUncertain = errors.New("answer to a write was lost")
)
