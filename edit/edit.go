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
	maxReadBacks         = 5
	defaultRetryInterval = 300 * time.Millisecond
)

// Editor reads and writes rows.
type Editor struct {
	// Store is the platform's object API.
	Store rillreach.ObjectStore
	// RetryInterval is the time between attempts to read back a write whose result is unknown. Zero means 300ms.
	RetryInterval time.Duration
}

// ConflictError means that nothing was written, because the row was changed since it was read.
type ConflictError struct {
	// Proposed is the row that was not written, and Current the stored row. Current is nil if there is none or if it
	// can't be read, except that it points to an empty row if the row was missing after an uncertain write.
	Proposed *rillreach.Row
	Current  *rillreach.Row
}

// Error returns a message that names the row.
func (e *ConflictError) Error() string {
	name := "row"
	if e.Proposed != nil {
		name = e.Proposed.Name()
	}
	return fmt.Sprintf("%s was changed by another edit; nothing was written", name)
}

// Unwrap makes errors.Is match rillreach.ErrConflict.
func (e *ConflictError) Unwrap() error { return rillreach.ErrConflict }

// Read returns a row and its version. The version of a row that does not exist is zero.
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

// Write replaces the expected version of a row and returns the new version. If the stored version is another one, it
// returns a ConflictError.
func (e *Editor) Write(ctx context.Context, row rillreach.Row, expected uint64) (uint64, error) {
	if err := row.Check(); err != nil {
		return 0, err
	}
	row.Edit = uuid.NewString()
	value, err := json.Marshal(row)
	if err != nil {
		return 0, errors.Wrap(err, "encode row")
	}
	object, err := e.Store.Put(ctx, rillreach.KindRow, row.Name(), expected, value)
	if err == nil {
		return object.Version, nil
	}
	if errors.Is(err, rillreach.ErrWriteUncertain) {
		return e.resolveUncertainWrite(ctx, row, expected)
	}
	if errors.Is(err, rillreach.ErrConflict) {
		return 0, e.newConflict(ctx, row)
	}
	return 0, err
}

// resolveUncertainWrite reads the row back to find out whether a write whose response was lost was applied.
func (e *Editor) resolveUncertainWrite(ctx context.Context, row rillreach.Row, expected uint64) (uint64, error) {
	var err error
	for range maxReadBacks {
		var current rillreach.Row
		var version uint64
		current, version, err = e.Read(ctx, row.Name())
		if err == nil {
			return e.checkOutcome(row, current, version, expected)
		}
		e.waitBeforeRetry(ctx)
	}
	return 0, errors.Mark(errors.Wrap(err, "edit may or may not have been applied"), rillreach.ErrWriteUncertain)
}

// checkOutcome determines from the stored row whether the write of row was applied.
func (e *Editor) checkOutcome(row, current rillreach.Row, version, expected uint64) (uint64, error) {
	if version > 0 && current.Edit == row.Edit {
		return version, nil
	}
	if version == expected {
		return 0, errors.Newf("edit of %s was not applied; try again", row.Name())
	}
	return 0, &ConflictError{Proposed: &row, Current: &current}
}

// newConflict returns the error for a row that was changed by another edit.
func (e *Editor) newConflict(ctx context.Context, row rillreach.Row) error {
	conflict := &ConflictError{Proposed: &row}
	if current, version, err := e.Read(ctx, row.Name()); err == nil && version > 0 {
		conflict.Current = &current
	}
	return conflict
}

func (e *Editor) waitBeforeRetry(ctx context.Context) {
	interval := e.RetryInterval
	if interval == 0 {
		interval = defaultRetryInterval
	}
	pause.For(ctx, interval)
}
