// Package lease implements leases in the store, and fencing of the orders that lease holders send.
//
// A lease is the object lease/NAME. Its fencing number increases by one with each new holder. Each process measures
// time on its own steady clock only: a candidate takes over when it has seen the same version for the whole
// duration, and a holder stops acting two thirds of the duration after it sent its last successful write. A holder that
// held the lease before the previous holder waits for the whole duration before it acts, so that actions never alternate
// between two holders within a duration.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
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
	// ErrRestored reports that this process no longer has the lease because the store came back from an older copy.
	ErrRestored = errors.New("lease lost with the store's history")
)

// record is the stored value of a lease object.
type record struct {
	Holder string `json:"holder"`
	// Term is unique to one acquisition. A holder recognizes its own writes by it.
	Term  string `json:"term"`
	Fence uint64 `json:"fence"`
	// Renewal is the number of this write among all writes that were sent in the term, including those that did not take
	// effect. The holder recognizes by it which one did, and from when it counts.
	Renewal    uint64 `json:"renewal"`
	DurationMs int64  `json:"duration_ms"`
	Released   bool   `json:"released"`
	// Recent are the holders before this one, the latest last, until this one has held the lease for a whole duration.
	Recent []string `json:"recent,omitempty"`
	// Attached is a value that each holder passes to the next one.
	Attached json.RawMessage `json:"attached,omitempty"`
}

// maxRecent bounds the recent holders. With more of them within one duration, each new one waits before it acts.
const maxRecent = 16

// successor returns the recent holders for the record of the next holder.
func (r *record) successor() []string {
	recent := slices.Clone(r.Recent)
	if len(recent) == 0 || recent[len(recent)-1] != r.Holder {
		recent = append(recent, r.Holder)
	}
	return recent[max(0, len(recent)-maxRecent):]
}

// alternates reports whether the holder may have acted before another one did, within the last duration.
func (r *record) alternates() bool {
	first := slices.Index(r.Recent, r.Holder)
	return len(r.Recent) >= maxRecent || first >= 0 && slices.ContainsFunc(r.Recent[first:], func(h string) bool { return h != r.Holder })
}

// Settings configures a Lease. All fields are required.
type Settings struct {
	Store store.Client
	// Name of the lease, for example "rollout/lm-pool".
	Name string
	// Holder is the instance name. No two processes that run at the same time have the same one.
	Holder string
	// Duration is the time without a renewal after which another process may take over.
	Duration time.Duration
	// Clock is boottime.Now, which also counts the time for which the machine is suspended, or virtual in tests. Only
	// differences of its times are used.
	Clock func() time.Time
	// Time is the time of day. It is only used for the first fencing numbers after the store came back from an older copy.
	Time func() time.Time
	// Term returns a globally unique string, for example crypto/rand.Text.
	Term func() string
}

// Lease acquires, renews and releases one lease for a process. It is safe for concurrent use.
type Lease struct {
	settings Settings

	// writeLock serializes store writes; mu guards the fields below and is not locked during store calls.
	writeLock contextMutex
	mu        sync.Mutex
	held      bool
	// givenUp is set from a release until the next acquisition: a renewal that takes effect late does not undo it.
	givenUp    bool
	obj        store.Object
	rec        record
	validUntil time.Time
	// heldSince is when the term's first write was confirmed, and actsFrom when the holder may act for the first time.
	heldSince, actsFrom time.Time
	attached            json.RawMessage
	// term is the Term of the last attempt to acquire the lease, and termVersion the version that it replaces; its write may
	// have taken effect or still do so.
	term        string
	termVersion uint64
	// writes is the number of the term's last write, and sentAt has the times of those that may take effect.
	writes uint64
	sentAt map[uint64]time.Time

	// era is the latest era of the store that is known, and eraSince since when, or the zero time if nothing was lost before it.
	era      uint64
	eraSince time.Time
	// heardFence is the highest fencing number of other holders that this process has heard of.
	heardFence uint64
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
	fence, remaining := l.Remaining(now)
	return fence, remaining > 0
}

// Remaining returns the fencing number, and for how long this process may still act as the holder without a renewal; 0 means
// that it may not act now.
func (l *Lease) Remaining(now time.Time) (fence uint64, remaining time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || now.Before(l.actsFrom) || !now.Before(l.validUntil) {
		return 0, 0
	}
	return l.rec.Fence, l.validUntil.Sub(now)
}

// Held is Valid, also while the holder must not act yet because it held the lease before the previous holder.
func (l *Lease) Held(now time.Time) (fence uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rec.Fence, l.held && now.Before(l.validUntil)
}

// Position returns the position of the holder's last write that is known to have taken effect.
func (l *Lease) Position() store.Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return store.Position{Era: l.era, Revision: l.obj.Version}
}

// Attached returns the value that the previous holder has attached, or the last one that this holder has.
func (l *Lease) Attached() json.RawMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attached
}

// Attach sets the value that the next writes pass to later holders. The value of a previous holder replaces it.
func (l *Lease) Attach(value json.RawMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attached = value
}

// Heard records that a holder has told this process of its fencing number and of the position of its last write. A candidate that hears
// it counts the duration from then on without a store call.
func (l *Lease) Heard(write store.Position, fence uint64) {
	now := l.settings.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heardFence = max(l.heardFence, fence)
	l.enterEra(write.Era, now)
	if write.Era == l.era && write.Revision > l.seenVersion {
		l.seenVersion, l.seenAt = write.Revision, now
	}
}

// Acquire acquires the lease if it does not exist, if it was released, or if its holder has not renewed it for the
// whole duration since this process first saw the holder's last write. Otherwise it returns ErrHeld; call it again
// later.
func (l *Lease) Acquire(ctx context.Context) (fence uint64, err error) {
	if err := l.writeLock.lock(ctx); err != nil {
		return 0, err
	}
	defer l.writeLock.unlock()
	if fence, ok := l.Held(l.settings.Clock()); ok {
		return fence, nil
	}
	l.mu.Lock()
	l.givenUp = false
	l.mu.Unlock()
	obj, err := l.get(ctx)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return 0, fmt.Errorf("read lease %s: %w", l.settings.Name, err)
	}
	l.noteEra()
	mayBeHeld := l.mayBeHeld()
	switch {
	case err != nil && mayBeHeld:
		return 0, ErrHeld
	case err != nil:
		obj = store.Object{Kind: Kind, Name: l.settings.Name}
		return l.put(ctx, obj, record{Term: l.newTerm(obj.Version, nil), Fence: l.nextFence(0)})
	}
	var rec record
	if err := json.Unmarshal(obj.Value, &rec); err != nil {
		return 0, fmt.Errorf("lease %s has an invalid value: %w", l.settings.Name, err)
	}
	if !rec.Released && l.isOwnTerm(rec.Term) {
		// An earlier write of this process took effect although its response was lost.
		return l.put(ctx, obj, rec)
	}
	expired, free := l.expired(obj, rec), rec.Released && l.isOfThisEra(rec.Fence)
	if mayBeHeld || !expired && !free {
		return 0, ErrHeld
	}
	return l.put(ctx, obj, record{Term: l.newTerm(obj.Version, rec.Attached), Fence: l.nextFence(rec.Fence), Recent: rec.successor()})
}

// isOwnTerm reports whether the term is that of this process's last attempt, in the current era.
func (l *Lease) isOwnTerm(term string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return term == l.term
}

// newTerm returns the term for an acquisition that replaces a version. It is that of the previous attempt if that one would
// replace the same version: at most one of them takes effect, and both are recognized.
func (l *Lease) newTerm(version uint64, attached json.RawMessage) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if attached != nil {
		l.attached = attached
	}
	if l.term == "" || l.termVersion != version {
		l.term, l.termVersion = l.settings.Term(), version
		l.writes, l.sentAt = 0, map[uint64]time.Time{}
	}
	return l.term
}

// expired reports whether the version has not changed for the longer of this process's and the holder's durations.
func (l *Lease) expired(obj store.Object, rec record) bool {
	now := l.settings.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
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
	now := l.settings.Clock()
	l.mu.Lock()
	held, obj, rec := l.held, l.obj, l.rec
	if now.Sub(l.heldSince) >= l.settings.Duration {
		rec.Recent = nil // all of them acted before this term
	}
	l.mu.Unlock()
	if !held {
		return ErrLost
	}
	_, err := l.put(ctx, obj, rec)
	if errors.Is(err, ErrHeld) {
		return ErrLost
	}
	return err
}

// Abandon ends the holder's term without a store call. Another process can acquire the lease once it has expired.
func (l *Lease) Abandon() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.givenUp = false, true
}

// Release releases the lease, so that another process can acquire it at once. The holder stops acting before the write. Use
// Abandon instead if an action of the holder may still take effect.
func (l *Lease) Release(ctx context.Context) error {
	if err := l.writeLock.lock(ctx); err != nil {
		return err
	}
	defer l.writeLock.unlock()
	l.mu.Lock()
	held, obj, rec := l.held, l.obj, l.rec
	l.held, l.givenUp = false, true
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
	sentAt := l.settings.Clock()
	l.mu.Lock()
	l.writes++
	l.sentAt[l.writes] = sentAt
	rec.Renewal, rec.Attached = l.writes, l.attached
	l.mu.Unlock()
	rec.Holder, rec.DurationMs = l.settings.Holder, l.settings.Duration.Milliseconds()
	value, err := json.Marshal(rec)
	if err != nil {
		return 0, fmt.Errorf("encode lease %s: %w", l.settings.Name, err)
	}
	obj.Value = value
	written, err := l.writeObject(ctx, obj)
	if l.noteEra(); !l.isOwnTerm(rec.Term) {
		return 0, ErrRestored
	}
	if errors.Is(err, store.ErrUnknown) || errors.Is(err, store.ErrConflict) {
		written, err = l.readBack(ctx, rec, err)
	}
	switch {
	case errors.Is(err, ErrRestored):
		return 0, ErrRestored
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrNotFound):
		l.markLost()
		return 0, ErrHeld
	case err != nil:
		return 0, fmt.Errorf("write lease %s: %w", l.settings.Name, err)
	}
	l.recordWrite(written, rec)
	return rec.Fence, nil
}

// callShare is the share of the duration after which a store call is given up, so that a holder can repeat a renewal before it has
// to stop.
const callShare = 4

func (l *Lease) get(ctx context.Context) (store.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, l.settings.Duration/callShare)
	defer cancel()
	return l.settings.Store.Get(ctx, Kind, l.settings.Name)
}

func (l *Lease) writeObject(ctx context.Context, obj store.Object) (store.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, l.settings.Duration/callShare)
	defer cancel()
	if obj.Version == 0 {
		return l.settings.Store.Create(ctx, obj.Kind, obj.Name, obj.Value)
	}
	return l.settings.Store.Update(ctx, obj)
}

// readBack resolves a write with a lost response or a conflict. It returns the stored object if it is this write, or
// store.ErrUnknown while the write may still take effect. An earlier write of the term that is stored counts from when it was
// sent, and the next write replaces it.
func (l *Lease) readBack(ctx context.Context, rec record, cause error) (store.Object, error) {
	obj, err := l.get(ctx)
	if l.noteEra(); !l.isOwnTerm(rec.Term) {
		return store.Object{}, ErrRestored
	}
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
	case got.Term == rec.Term && got.Renewal == rec.Renewal:
		return obj, nil
	case got.Term == rec.Term && !got.Released:
		l.recordWrite(obj, got)
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

// recordWrite records that a write of the current term has taken effect.
func (l *Lease) recordWrite(obj store.Object, rec record) {
	now := l.settings.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	sentAt, own := l.sentAt[rec.Renewal]
	if !own {
		return // a write of the term that was recorded before
	}
	if rec.Term != l.rec.Term {
		l.heldSince, l.actsFrom = now, time.Time{}
		if rec.alternates() {
			l.actsFrom = now.Add(l.settings.Duration)
		}
	}
	for number := range l.sentAt {
		if number < rec.Renewal {
			delete(l.sentAt, number) // its condition no longer holds
		}
	}
	l.held, l.obj, l.rec = !rec.Released && !l.givenUp, obj, rec
	l.validUntil = sentAt.Add(l.settings.Duration * 2 / 3)
}
