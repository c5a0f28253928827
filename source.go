package rillreach

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrHistoryGone means that a watch cannot continue from the given revision, and that all objects have to be listed
// again.
var ErrHistoryGone = errors.New("revision is no longer in the history of the source")

// ErrMalformedResponse means that a response of the source cannot be decoded at all. A repeated watch may get the same
// response again.
var ErrMalformedResponse = errors.New("response of the source cannot be decoded")

// Update is an object as returned by a source.
type Update[T any] struct {
	Name  string
	Value T
	// Revision is the revision of the object's last change.
	Revision Revision
	// Deleted means that the object no longer exists.
	Deleted bool
	// Err is the reason if the object cannot be decoded. Value is then empty, and so is Name if it cannot be decoded
	// either.
	Err error
}

// Source provides the objects of one kind and their changes.
type Source[T any] interface {
	// List returns all objects and the revision from which a watch sees all later changes.
	List(ctx context.Context) ([]Update[T], Revision, error)
	// Watch waits up to the given time for changes after a revision, and returns them with the revision to continue
	// from. It returns ErrHistoryGone if the revision is too old, or from an earlier era than the store's current
	// one.
	Watch(ctx context.Context, revision Revision, wait time.Duration) ([]Update[T], Revision, error)
}
