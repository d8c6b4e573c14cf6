// Package lease implements leases in the store, and fencing of the orders that lease holders send.
//
// A lease is the object lease/NAME. Its fencing number increases by one with each new holder. Each process measures
// time on its own monotonic clock only: a candidate takes over when it has seen the same version for the whole
// duration, and a holder stops acting two thirds of the duration after it sent its last successful write.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// Kind is the store kind of leases.
const Kind = "lease"

var (
	// ErrHeld reports that another process has the lease or may still act on it.
	ErrHeld = errors.New("lease held by another process")
	// ErrLost reports that this process does not have the lease to renew, or that another process has acquired it.
	ErrLost = errors.New("lease lost")
)

// record is the stored value of a lease object.
type record struct {
	Holder string `json:"holder"`
	// Term is unique to one acquisition. A holder recognizes its own writes by it.
	Term  string `json:"term"`
	Fence uint64 `json:"fence"`
	// Renewal is the number of renewals in the term.
	Renewal    uint64 `json:"renewal"`
	DurationMs int64  `json:"duration_ms"`
	Released   bool   `json:"released"`
}

// Settings configures a Lease. All fields are required.
type Settings struct {
	Store store.Client
	// Name of the lease, for example "rollout/lm-pool".
	Name string
	// Holder is the instance name. It only informs operators.
	Holder string
	// Duration is the time without a renewal after which another process may take over.
	Duration time.Duration
	// Clock is time.Now, or virtual in tests; it must have a monotonic reading.
	Clock func() time.Time
	// Term returns a globally unique string, for example crypto/rand.Text.
	Term func() string
}

// Lease acquires, renews and releases one lease for a process. It is safe for concurrent use.
type Lease struct {
	settings Settings

	// writeLock serializes store writes; mu guards the fields below and is not locked during store calls.
	writeLock  contextMutex
	mu         sync.Mutex
	held       bool
	obj        store.Object
	rec        record
	validUntil time.Time
	// term is the Term of the last attempt to acquire the lease; its write may have taken effect.
	term string

	// seenVersion is the last version seen, and seenAt when it was first seen. Its holder has expired once the duration
	// has passed since then.
	seenVersion uint64
	seenAt      time.Time
}

// New returns a Lease that has not been acquired.
func New(settings Settings) *Lease { return &Lease{settings: settings, writeLock: newContextMutex()} }

// Valid returns the fencing number, and whether this process may still act as the holder. Call it immediately before
// each action.
func (l *Lease) Valid(now time.Time) (fence uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || !now.Before(l.validUntil) {
		return 0, false
	}
	return l.rec.Fence, true
}

// Acquire acquires the lease if it does not exist, if it was released, or if its holder has not renewed it for the
// whole duration since this process first saw the holder's last write. Otherwise it returns ErrHeld; call it again
// later.
func (l *Lease) Acquire(ctx context.Context) (fence uint64, err error) {
	if err := l.writeLock.lock(ctx); err != nil {
		return 0, err
	}
	defer l.writeLock.unlock()
	if fence, ok := l.Valid(l.settings.Clock()); ok {
		return fence, nil
	}
	obj, err := l.settings.Store.Get(ctx, Kind, l.settings.Name)
	if errors.Is(err, store.ErrNotFound) {
		return l.put(ctx, store.Object{Kind: Kind, Name: l.settings.Name}, record{Term: l.newTerm(), Fence: 1})
	}
	if err != nil {
		return 0, fmt.Errorf("read lease %s: %w", l.settings.Name, err)
	}
	var rec record
	if err := json.Unmarshal(obj.Value, &rec); err != nil {
		return 0, fmt.Errorf("lease %s has an invalid value: %w", l.settings.Name, err)
	}
	if !rec.Released && rec.Term == l.term {
		// An earlier write of this process took effect although its response was lost.
		rec.Renewal++
		return l.put(ctx, obj, rec)
	}
	if !rec.Released && !l.expired(obj, rec) {
		return 0, ErrHeld
	}
	return l.put(ctx, obj, record{Term: l.newTerm(), Fence: rec.Fence + 1})
}

func (l *Lease) newTerm() string {
	l.term = l.settings.Term()
	return l.term
}

// expired reports whether the version has not changed for the longer of this process's and the holder's durations.
func (l *Lease) expired(obj store.Object, rec record) bool {
	now := l.settings.Clock()
	if obj.Version != l.seenVersion || l.seenAt.IsZero() {
		l.seenVersion, l.seenAt = obj.Version, now
		return false
	}
	d := max(l.settings.Duration, time.Duration(rec.DurationMs)*time.Millisecond)
	return now.Sub(l.seenAt) >= d
}

// Renew extends the lease. It returns ErrLost if another process has acquired the lease or if this process did
// not hold it.
func (l *Lease) Renew(ctx context.Context) error {
	if err := l.writeLock.lock(ctx); err != nil {
		return err
	}
	defer l.writeLock.unlock()
	l.mu.Lock()
	held, obj, rec := l.held, l.obj, l.rec
	l.mu.Unlock()
	if !held {
		return ErrLost
	}
	rec.Renewal++
	_, err := l.put(ctx, obj, rec)
	if errors.Is(err, ErrHeld) {
		return ErrLost
	}
	if errors.Is(err, store.ErrUnknown) {
		l.refresh(ctx)
	}
	return err
}

// refresh reads the stored version of the current term, so that the next renewal does not conflict with an earlier one
// whose response was lost. It does not extend the lease.
func (l *Lease) refresh(ctx context.Context) {
	obj, err := l.settings.Store.Get(ctx, Kind, l.settings.Name)
	if err != nil {
		return
	}
	var got record
	l.mu.Lock()
	defer l.mu.Unlock()
	if json.Unmarshal(obj.Value, &got) == nil && got.Term == l.rec.Term {
		l.obj, l.rec.Renewal = obj, got.Renewal
	}
}

// Release releases the lease, so that another process can acquire it at once. The holder stops acting before the write.
func (l *Lease) Release(ctx context.Context) error {
	if err := l.writeLock.lock(ctx); err != nil {
		return err
	}
	defer l.writeLock.unlock()
	l.mu.Lock()
	held, obj, rec := l.held, l.obj, l.rec
	l.held = false
	l.mu.Unlock()
	if !held {
		return nil
	}
	rec.Released = true
	_, err := l.put(ctx, obj, rec)
	if errors.Is(err, ErrHeld) {
		return nil
	}
	return err
}

// put writes the record. After a conflict or a lost response it reads the object to find out whether the write took
// effect.
func (l *Lease) put(ctx context.Context, obj store.Object, rec record) (uint64, error) {
	rec.Holder, rec.DurationMs = l.settings.Holder, l.settings.Duration.Milliseconds()
	value, err := json.Marshal(rec)
	if err != nil {
		return 0, fmt.Errorf("encode lease %s: %w", l.settings.Name, err)
	}
	sentAt := l.settings.Clock()
	obj.Value = value
	written, err := l.writeObject(ctx, obj)
	if errors.Is(err, store.ErrUnknown) || errors.Is(err, store.ErrConflict) {
		written, err = l.readBack(ctx, rec, err)
	}
	switch {
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrNotFound):
		l.markLost()
		return 0, ErrHeld
	case err != nil:
		return 0, fmt.Errorf("write lease %s: %w", l.settings.Name, err)
	}
	l.recordWrite(written, rec, sentAt)
	return rec.Fence, nil
}

func (l *Lease) writeObject(ctx context.Context, obj store.Object) (store.Object, error) {
	if obj.Version == 0 {
		return l.settings.Store.Create(ctx, obj.Kind, obj.Name, obj.Value)
	}
	return l.settings.Store.Update(ctx, obj)
}

// readBack compares the stored term and renewal with those of the write that conflicted or whose response was lost; the
// conflict may be with an earlier write of the same term. If the write is not stored, the store may still apply it
// later if its version condition holds, so its outcome remains unknown. A stored later or released term means that the
// lease is lost.
func (l *Lease) readBack(ctx context.Context, rec record, cause error) (store.Object, error) {
	obj, err := l.settings.Store.Get(ctx, Kind, l.settings.Name)
	if errors.Is(err, store.ErrNotFound) {
		return store.Object{}, store.ErrUnknown
	}
	if err != nil {
		return store.Object{}, fmt.Errorf("%w: read back: %w", store.ErrUnknown, err)
	}
	var got record
	if err := json.Unmarshal(obj.Value, &got); err != nil {
		return store.Object{}, fmt.Errorf("lease %s has an invalid value: %w", l.settings.Name, err)
	}
	switch {
	case got.Term == rec.Term && got.Renewal == rec.Renewal && got.Released == rec.Released:
		return obj, nil
	case got.Term == rec.Term && !got.Released:
		return store.Object{}, store.ErrUnknown
	case got.Fence >= rec.Fence:
		return store.Object{}, store.ErrConflict
	default:
		return store.Object{}, cause
	}
}

func (l *Lease) markLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = false
}

func (l *Lease) recordWrite(obj store.Object, rec record, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.obj, l.rec = !rec.Released, obj, rec
	l.validUntil = sentAt.Add(l.settings.Duration * 2 / 3)
}
