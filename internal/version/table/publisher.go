package table

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// Backoff of a Publisher between attempts to write one version.
const (
	minPublishBackoff = 50 * time.Millisecond
	maxPublishBackoff = time.Second
)

// MaxReasonBytes limits the reason of an edit, in bytes.
const MaxReasonBytes = 1000

// Errors of Publisher.Apply, besides *ValidationError, *OwnershipError, *ConflictError and errors of the store.
var (
	// ErrUnchanged reports that the edit changes no row.
	ErrUnchanged = errors.New("the table is the same as the base version")
	// ErrStoreBehind reports that the store no longer has a version that is in force in this process.
	ErrStoreBehind = errors.New("the store has lost accepted table versions")
)

// Edit is a request to replace the table by an edited one.
type Edit struct {
	// ID makes the edit idempotent: an edit that is retried with the same ID after a lost response is accepted once.
	// Empty means a new edit.
	ID string
	// Author is the owner whose key applied the edit.
	Author string
	// Reason is the author's explanation of the change.
	Reason string
	// Base is the number of the version that the author edited; 0 means the empty table.
	Base uint64
	// Rows is the whole table after the edit.
	Rows []Row
}

// Publisher validates edits and writes them to the store as new versions. It is safe for concurrent use, and several
// processes may publish at the same time.
type Publisher struct {
	log        Log
	known      func() *Compiled
	onAccepted func(*Version)
	now        func() time.Time
}

// NewPublisher returns a publisher. known returns the highest version known to this process, or nil;
// onAccepted is called with each accepted version.
func NewPublisher(c store.Client, known func() *Compiled, onAccepted func(*Version)) *Publisher {
	return &Publisher{log: Log{Client: c}, known: known, onAccepted: onAccepted, now: time.Now}
}

// NewEditID returns a unique edit ID.
func NewEditID() string { return rand.Text() }

// Apply publishes the edit as the next version. Changes of other rows since the base are preserved; if the edit changes
// a row that was changed since its base, Apply fails with a *ConflictError. After store.ErrUnknown the edit may have been
// accepted: retry it with the same ID and base.
func (p *Publisher) Apply(ctx context.Context, e Edit) (*Version, error) {
	if e.ID == "" {
		e.ID = NewEditID()
	}
	if len(e.Reason) > MaxReasonBytes {
		return nil, fmt.Errorf("reason has %d bytes; allowed: up to %d", len(e.Reason), MaxReasonBytes)
	}
	if err := Validate(e.Rows); err != nil {
		return nil, err
	}
	base, err := p.base(ctx, e.Base)
	if err != nil {
		return nil, err
	}
	changes := Diff(base.Rows, e.Rows)
	if len(changes) == 0 {
		return nil, ErrUnchanged
	}
	if err := CheckOwnership(e.Author, changes); err != nil {
		return nil, err
	}
	return p.append(ctx, e, changes, base)
}

// Preview returns the version that Apply would publish now and the changes of the edit, without writing to the store.
func (p *Publisher) Preview(ctx context.Context, e Edit) (*Version, []Change, error) {
	if err := Validate(e.Rows); err != nil {
		return nil, nil, err
	}
	base, err := p.base(ctx, e.Base)
	if err != nil {
		return nil, nil, err
	}
	changes := Diff(base.Rows, e.Rows)
	if err := CheckOwnership(e.Author, changes); err != nil {
		return nil, changes, err
	}
	head, err := p.head(ctx, base)
	if err != nil {
		return nil, changes, err
	}
	next, err := p.next(ctx, e, changes, head)
	return next, changes, err
}

func (p *Publisher) base(ctx context.Context, number uint64) (*Version, error) {
	if number == 0 {
		return &Version{}, nil
	}
	if c := p.known(); c != nil && c.Number() == number {
		return c.Version(), nil
	}
	return p.log.Read(ctx, number)
}

// head returns the highest of the versions in the store, the version known to this process and atLeast.
func (p *Publisher) head(ctx context.Context, atLeast *Version) (*Version, error) {
	known := atLeast
	if c := p.known(); c != nil && c.Number() > atLeast.Number {
		known = c.Version()
	}
	head, err := p.log.Head(ctx, known.Number)
	if err != nil || head != nil {
		return head, err
	}
	return known, nil
}

func (p *Publisher) append(ctx context.Context, e Edit, changes []Change, base *Version) (*Version, error) {
	head, err := p.head(ctx, base)
	if err != nil {
		return nil, err
	}
	if done, err := p.accepted(ctx, e, head); done != nil || err != nil {
		return done, err
	}
	for {
		next, err := p.next(ctx, e, changes, head)
		if err != nil {
			return nil, err
		}
		stored, err := p.write(ctx, next)
		if err != nil {
			return nil, err
		}
		if stored.Edit == e.ID {
			p.onAccepted(stored)
			return stored, nil
		}
		// Another edit was written under this number, and more may follow it.
		if head, err = p.head(ctx, stored); err != nil {
			return nil, err
		}
	}
}

// accepted returns the version that an earlier attempt of the same edit created, or nil. It makes retries idempotent.
func (p *Publisher) accepted(ctx context.Context, e Edit, head *Version) (*Version, error) {
	if head.Number == e.Base {
		return nil, nil
	}
	versions, err := p.log.History(ctx, head.Number, int(min(head.Number-e.Base, maxHistory)))
	if err != nil {
		return nil, err
	}
	for _, v := range versions {
		if v.Edit == e.ID {
			p.onAccepted(v)
			return v, nil
		}
	}
	return nil, nil
}

// next rebases the edit onto head and returns the resulting version.
func (p *Publisher) next(ctx context.Context, e Edit, changes []Change, head *Version) (*Version, error) {
	rows, classes := Rebase(changes, head.Rows)
	if len(classes) > 0 {
		return nil, p.conflict(ctx, e.Base, head, classes)
	}
	if err := Validate(rows); err != nil {
		return nil, err
	}
	return &Version{
		Number: head.Number + 1, Author: e.Author, Reason: e.Reason, Time: p.now().UTC().Truncate(time.Millisecond),
		Edit: e.ID, Rows: rows,
	}, nil
}

// write creates the store object of the version, and returns the version that the store has under this number.
// While the outcome is unknown, it retries the same number, because the earlier write may still take effect.
func (p *Publisher) write(ctx context.Context, v *Version) (*Version, error) {
	value, err := FormatJSON(v)
	if err != nil {
		return nil, err
	}
	if len(value) > store.MaxValue {
		return nil, fmt.Errorf("table version %d: %w", v.Number, store.ErrTooLarge)
	}
	backoff := store.NewBackoff(minPublishBackoff, maxPublishBackoff)
	unknown := false
	for {
		_, err := p.log.Client.Create(ctx, Kind, ObjectName(v.Number), value)
		switch {
		case err == nil:
			return v, p.checkBehind(v)
		case errors.Is(err, store.ErrConflict):
			var stored *Version
			if stored, err = p.log.Read(ctx, v.Number); err == nil {
				return stored, nil
			}
		}
		unknown = unknown || errors.Is(err, store.ErrUnknown)
		if !backoff.Wait(ctx) {
			return nil, writeError(v, unknown, err)
		}
	}
}

// writeError wraps the last error. If the outcome of any attempt is unknown, the result also matches store.ErrUnknown.
func writeError(v *Version, unknown bool, err error) error {
	if unknown && !errors.Is(err, store.ErrUnknown) {
		return fmt.Errorf("write table version %d (edit %s): %w: %w", v.Number, v.Edit, store.ErrUnknown, err)
	}
	return fmt.Errorf("write table version %d (edit %s): %w", v.Number, v.Edit, err)
}

// checkBehind detects a store that was restored from an old backup: the number just written must be higher than that of
// every version that was in force in this process.
func (p *Publisher) checkBehind(v *Version) error {
	if c := p.known(); c != nil && c.Number() >= v.Number && c.Version().Edit != v.Edit {
		return fmt.Errorf("version %d was free in the store and is in force here: %w", v.Number, ErrStoreBehind)
	}
	return nil
}

func (p *Publisher) conflict(ctx context.Context, base uint64, head *Version, classes []string) error {
	conflict := &ConflictError{Base: base, Current: head.Number}
	found := map[string]RowConflict{}
	versions, err := p.log.History(ctx, head.Number, int(min(head.Number-base, maxHistory-1))+1)
	if err != nil {
		// The conflict is reported without the version, author, time and reason of the other change.
		versions = nil
	}
	for i := 0; i+1 < len(versions); i++ {
		recordChanges(found, versions[i+1].Rows, versions[i])
	}
	if n := len(versions); n > 0 && versions[n-1].Number == 1 {
		recordChanges(found, nil, versions[n-1])
	}
	for _, class := range classes {
		c := found[class]
		c.Class = class
		conflict.Conflicts = append(conflict.Conflicts, c)
	}
	return conflict
}

// recordChanges records the latest change of each row. It must be called with the newest version first.
func recordChanges(found map[string]RowConflict, before []Row, v *Version) {
	for _, c := range Diff(before, v.Rows) {
		if _, ok := found[c.Class]; !ok {
			found[c.Class] = RowConflict{Class: c.Class, Version: v.Number, Author: v.Author, Time: v.Time, Reason: v.Reason}
		}
	}
}
