// Package lease holds leases in the store and fences the orders that lease holders give.
//
// A lease is the object lease/NAME. Its fencing number grows by one with each new holder. Times are measured on the
// monotonic clock of one process only: a candidate takes over when it has seen the same version for the whole duration,
// and a holder stops acting at two thirds of the duration after it sent its last successful write.
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
	// ErrHeld reports that another holder has the lease or may still act on it.
	ErrHeld = errors.New("lease held by another process")
	// ErrLost reports that the lease went to another holder or may have expired.
	ErrLost = errors.New("lease lost")
)

// record is the value of a lease object.
type record struct {
	Holder string `json:"holder"`
	// Term is unique to one acquisition, so that a holder recognizes its own write.
	Term  string `json:"term"`
	Fence uint64 `json:"fence"`
	// Renewal counts the writes of one term.
	Renewal    uint64 `json:"renewal"`
	DurationMs int64  `json:"duration_ms"`
	Released   bool   `json:"released"`
}

// Settings of a Lease. All fields are required.
type Settings struct {
	Store store.Client
	// Name of the lease, for example "rollout/lm-pool".
	Name string
	// Holder is the instance name, for operators.
	Holder string
	// Duration after which a silent holder is replaced.
	Duration time.Duration
	// Clock is time.Now, or virtual in tests; it must have a monotonic reading.
	Clock func() time.Time
	// Term returns a string that no other call ever returns, for example crypto/rand.Text.
	Term func() string
}

// Lease is one process's view of a lease. It is safe for concurrent use.
type Lease struct {
	set Settings

	// write serializes store writes; mu guards the fields below and is not held during calls.
	write turn
	mu    sync.Mutex
	held  bool
	obj   store.Object
	rec   record
	until time.Time
	// term is that of the last attempt to acquire, whose write may have taken effect.
	term string

	// seenVersion was first seen at seenAt, and bounds when its holder may still act.
	seenVersion uint64
	seenAt      time.Time
}

// New returns a Lease that is not held.
func New(set Settings) *Lease { return &Lease{set: set, write: newTurn()} }

// Valid reports the fencing number while the holder may act. Call it immediately before each action.
func (l *Lease) Valid(now time.Time) (fence uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || !now.Before(l.until) {
		return 0, false
	}
	return l.rec.Fence, true
}

// Acquire takes the lease if nobody holds it, if it was released, or if its holder has been silent for the whole
// duration since this process first saw the holder's last write. It returns ErrHeld otherwise; call it again later.
func (l *Lease) Acquire(ctx context.Context) (fence uint64, err error) {
	if err := l.write.take(ctx); err != nil {
		return 0, err
	}
	defer l.write.release()
	if fence, ok := l.Valid(l.set.Clock()); ok {
		return fence, nil
	}
	obj, err := l.set.Store.Get(ctx, Kind, l.set.Name)
	if errors.Is(err, store.ErrNotFound) {
		return l.put(ctx, store.Object{Kind: Kind, Name: l.set.Name}, record{Term: l.newTerm(), Fence: 1})
	}
	if err != nil {
		return 0, fmt.Errorf("read lease %s: %w", l.set.Name, err)
	}
	var rec record
	if err := json.Unmarshal(obj.Value, &rec); err != nil {
		return 0, fmt.Errorf("lease %s has an invalid value: %w", l.set.Name, err)
	}
	if !rec.Released && rec.Term == l.term {
		// An earlier write of this process took effect although its response was lost.
		rec.Renewal++
		return l.put(ctx, obj, rec)
	}
	if !rec.Released && !l.silent(obj, rec) {
		return 0, ErrHeld
	}
	return l.put(ctx, obj, record{Term: l.newTerm(), Fence: rec.Fence + 1})
}

func (l *Lease) newTerm() string {
	l.term = l.set.Term()
	return l.term
}

// silent reports that the version has been seen unchanged for the longer of both durations.
func (l *Lease) silent(obj store.Object, rec record) bool {
	now := l.set.Clock()
	if obj.Version != l.seenVersion || l.seenAt.IsZero() {
		l.seenVersion, l.seenAt = obj.Version, now
		return false
	}
	d := max(l.set.Duration, time.Duration(rec.DurationMs)*time.Millisecond)
	return now.Sub(l.seenAt) >= d
}

// Renew extends the lease. It returns ErrLost when another holder has it or when it could not be renewed in time.
func (l *Lease) Renew(ctx context.Context) error {
	if err := l.write.take(ctx); err != nil {
		return err
	}
	defer l.write.release()
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

// refresh takes over the stored version of the own term, so that the next renewal does not conflict with an earlier
// one whose response was lost. It does not extend the lease.
func (l *Lease) refresh(ctx context.Context) {
	obj, err := l.set.Store.Get(ctx, Kind, l.set.Name)
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

// Release gives the lease up, so that another process need not wait. The holder stops acting before the write.
func (l *Lease) Release(ctx context.Context) error {
	if err := l.write.take(ctx); err != nil {
		return err
	}
	defer l.write.release()
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

// put writes the record and, when the response is lost, reads back whether the write took effect.
func (l *Lease) put(ctx context.Context, obj store.Object, rec record) (uint64, error) {
	rec.Holder, rec.DurationMs = l.set.Holder, l.set.Duration.Milliseconds()
	value, err := json.Marshal(rec)
	if err != nil {
		return 0, fmt.Errorf("encode lease %s: %w", l.set.Name, err)
	}
	sentAt := l.set.Clock()
	obj.Value = value
	written, err := l.writeObject(ctx, obj)
	if errors.Is(err, store.ErrUnknown) || errors.Is(err, store.ErrConflict) {
		written, err = l.readBack(ctx, rec, err)
	}
	switch {
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrNotFound):
		l.drop()
		return 0, ErrHeld
	case err != nil:
		return 0, fmt.Errorf("write lease %s: %w", l.set.Name, err)
	}
	l.keep(written, rec, sentAt)
	return rec.Fence, nil
}

func (l *Lease) writeObject(ctx context.Context, obj store.Object) (store.Object, error) {
	if obj.Version == 0 {
		return l.set.Store.Create(ctx, obj.Kind, obj.Name, obj.Value)
	}
	return l.set.Store.Update(ctx, obj)
}

// readBack compares the stored term and renewal with those of the write that conflicted or whose response was lost: a
// conflict can be with an earlier write of the same term. A write that is not there may still arrive, which its version
// condition then decides; it stays unknown. A stored later or released term means that the lease is lost.
func (l *Lease) readBack(ctx context.Context, rec record, cause error) (store.Object, error) {
	obj, err := l.set.Store.Get(ctx, Kind, l.set.Name)
	if errors.Is(err, store.ErrNotFound) {
		return store.Object{}, store.ErrUnknown
	}
	if err != nil {
		return store.Object{}, fmt.Errorf("%w: read back: %w", store.ErrUnknown, err)
	}
	var got record
	if err := json.Unmarshal(obj.Value, &got); err != nil {
		return store.Object{}, fmt.Errorf("lease %s has an invalid value: %w", l.set.Name, err)
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

func (l *Lease) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = false
}

func (l *Lease) keep(obj store.Object, rec record, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.obj, l.rec = !rec.Released, obj, rec
	l.until = sentAt.Add(l.set.Duration * 2 / 3)
}
