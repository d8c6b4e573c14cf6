// Package store is the client of the platform's object API, the only persistent storage of the router.
package store

import (
	"context"
	"errors"
)

// Errors of a Client, to be matched with errors.Is.
var (
	// ErrNotFound reports that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict reports that the object to create exists already, or that the object has another version.
	ErrConflict = errors.New("object version conflict")
	// ErrUnavailable reports that the call failed and was not applied.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknown reports that a write may or may not have been applied; read the object back to find out.
	ErrUnknown = errors.New("store write outcome unknown")
	// ErrThrottled reports that the store's rate limit or the process's own call budget refused the call; it was not
	// applied.
	ErrThrottled = errors.New("store calls throttled")
	// ErrGap reports that the history after the position to watch from is no longer available, or that the store has come back from
	// an older copy and has another history; watch from the zero Position, then list to find the writes that were missed.
	ErrGap = errors.New("store watch history no longer available")
	// ErrLongResponse reports a response that exceeds the size given by WithResponse. Its rest was not read.
	ErrLongResponse = errors.New("store response exceeds the expected size")
	// ErrTooLarge reports a value above MaxValue; it was not sent.
	ErrTooLarge = errors.New("store value too large")
)

// MaxValue bounds a value, in bytes; it is the platform's limit.
const MaxValue = 1 << 20

// Object is a stored value with its metadata.
type Object struct {
	Kind string
	// Name may contain slashes.
	Name string
	// Version changes with every update of the object and is not reused after a deletion.
	Version uint64
	// Revision is the store-wide sequence number, within the store's Era, of the write that produced this version.
	Revision, Era uint64
	Value         []byte
	// Deleted is set only in watch results.
	Deleted bool
}

// Position returns the position of the write that produced this version.
func (o *Object) Position() Position { return Position{o.Era, o.Revision} }

// Client calls the object API. Implementations are safe for concurrent use and honour the context's deadline.
type Client interface {
	// Era returns the latest era of the store that a response has named, 0 before the first one.
	Era() uint64
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Create writes a new object, or fails with ErrConflict if the name exists.
	Create(ctx context.Context, kind, name string, value []byte) (Object, error)
	// Update replaces the value if the version is still obj.Version, or fails with ErrConflict or ErrNotFound.
	Update(ctx context.Context, obj Object) (Object, error)
	// Delete removes the object if the version is still obj.Version.
	Delete(ctx context.Context, obj Object) error
	// List returns up to limit objects of kind in name order, with names that start with prefix and are greater than after.
	List(ctx context.Context, kind, prefix, after string, limit int) ([]Object, error)
	// Snapshot returns the first objects of kind in name order, as many as the platform puts into one response, and the position at
	// which they were read.
	Snapshot(ctx context.Context, kind string) ([]Object, Position, error)
	// Watch waits up to 30 s for writes to kind after the position, and returns them with the position to continue from.
	// After the zero Position it returns the current one at once, without objects. It fails with ErrGap if writes were missed, if
	// the store has another era, or if its revision is lower than after.
	Watch(ctx context.Context, kind string, after Position) ([]Object, Position, error)
}
