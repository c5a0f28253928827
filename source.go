package rillreach

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrHistoryGone says that a watch cannot go on from where it stood, so that everything has to be listed again.
var ErrHistoryGone = errors.New("history of the objects is gone")

// ErrMalformedResponse says that nothing of a source's answer can be read, so that a watch may be given the same answer again and again.
var ErrMalformedResponse = errors.New("answer of the source cannot be read")

// Update is one object as a source gives it.
type Update[T any] struct {
	Name  string
	Value T
	// Revision is that of the object's last change.
	Revision Revision
	// Deleted says that the object no longer exists.
	Deleted bool
	// Err says why the object cannot be understood; Value is then empty, and so is the name where that cannot be read either.
	Err error
}

// Source gives the objects of one kind and their changes.
type Source[T any] interface {
	// List returns all objects and the revision from which a watch misses nothing.
	List(ctx context.Context) ([]Update[T], Revision, error)
	// Watch waits for changes after a revision, at the longest for wait, and returns the revision to go on from; it gives
	// ErrHistoryGone where the revision is too old, or of an earlier era than the store's.
	Watch(ctx context.Context, revision Revision, wait time.Duration) ([]Update[T], Revision, error)
}
