package edit

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/pause"
)

const (
	readBackTries = 5
	readBackPause = 300 * time.Millisecond
)

// Editor writes rows.
type Editor struct {
	// Store is the platform's object API.
	Store rillreach.ObjectStore
	// RetryInterval is the time between two tries to read an edit back; zero means a default.
	RetryInterval time.Duration
}

// ConflictError says that another edit came first; nothing was written.
type ConflictError struct {
	// Proposed is the row that was to be written, Theirs the one that is there; nil says that there is none.
	Proposed *rillreach.Row
	Current  *rillreach.Row
}

// Error names the row.
func (e *ConflictError) Error() string {
	name := "row"
	if e.Proposed != nil {
		name = e.Proposed.Name()
	}
	return fmt.Sprintf("%s was changed by another edit; nothing was written", name)
}

// Unwrap makes the error a conflict of the platform's.
func (e *ConflictError) Unwrap() error { return rillreach.ErrConflict }

// Read returns a row and its version; a row that does not exist has version zero.
func (e *Editor) Read(ctx context.Context, name string) (rillreach.Row, uint64, error) {
	object, err := e.Store.Get(ctx, rillreach.KindRow, name)
	if errors.Is(err, rillreach.ErrNotFound) {
		return rillreach.Row{}, 0, nil
	}
	if err != nil {
		return rillreach.Row{}, 0, err
	}
	row, err := rillreach.DecodeRow(object.Value)
	return row, object.Version, err
}

// Write writes a row in the place of the version that the operator has seen, and returns the new version.
func (e *Editor) Write(ctx context.Context, row rillreach.Row, seen uint64) (uint64, error) {
	if err := row.Check(); err != nil {
		return 0, err
	}
	row.Edit = uuid.NewString()
	value, err := json.Marshal(row)
	if err != nil {
		return 0, errors.Wrap(err, "encode row")
	}
	object, err := e.Store.Put(ctx, rillreach.KindRow, row.Name(), seen, value)
	if err == nil {
		return object.Version, nil
	}
	if errors.Is(err, rillreach.ErrWriteUncertain) {
		return e.settle(ctx, row, seen)
	}
	if errors.Is(err, rillreach.ErrConflict) {
		return 0, e.conflict(ctx, row)
	}
	return 0, err
}

// settle finds out whether an edit whose answer was lost has taken effect.
func (e *Editor) settle(ctx context.Context, row rillreach.Row, seen uint64) (uint64, error) {
	var err error
	for range readBackTries {
		var there rillreach.Row
		var version uint64
		there, version, err = e.Read(ctx, row.Name())
		if err == nil {
			return e.judge(row, there, version, seen)
		}
		e.pause(ctx)
	}
	return 0, errors.Mark(errors.Wrap(err, "edit may or may not have taken effect"), rillreach.ErrWriteUncertain)
}

func (e *Editor) judge(row, there rillreach.Row, version, seen uint64) (uint64, error) {
	if version > 0 && there.Edit == row.Edit {
		return version, nil
	}
	if version == seen {
		return 0, errors.Newf("edit of %s did not take effect; try again", row.Name())
	}
	return 0, &ConflictError{Proposed: &row, Current: &there}
}

func (e *Editor) conflict(ctx context.Context, row rillreach.Row) error {
	conflict := &ConflictError{Proposed: &row}
	if there, version, err := e.Read(ctx, row.Name()); err == nil && version > 0 {
		conflict.Current = &there
	}
	return conflict
}

func (e *Editor) pause(ctx context.Context) {
	wait := e.RetryInterval
	if wait == 0 {
		wait = readBackPause
	}
	pause.For(ctx, wait)
}
