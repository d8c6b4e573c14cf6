package table

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// Waits of a Publisher between attempts to write one version.
const (
	publishBase  = 50 * time.Millisecond
	publishLimit = time.Second
)

// MaxReason bounds the reason of an edit, in bytes.
const MaxReason = 1000

// Errors of Publisher.Apply, besides *ProblemsError, *OwnershipError, *ConflictError and the errors of the store.
var (
	// ErrUnchanged reports that the edit changes no row.
	ErrUnchanged = errors.New("the table is the same as the base version")
	// ErrStoreBehind reports that the store has lost versions that are in force here.
	ErrStoreBehind = errors.New("the store has lost accepted table versions")
)

// Edit is a table as edited by one owner.
type Edit struct {
	// ID identifies the edit when it is sent again after a lost answer. Empty means a new edit.
	ID string
	// Author is the owner whose key applied the edit.
	Author string
	// Reason is the author's text.
	Reason string
	// Base is the version that the author edited; 0 is the empty table.
	Base uint64
	// Rows is the whole table after the edit.
	Rows []Row
}

// Publisher accepts edits. It is safe for concurrent use, also with publishers in other processes.
type Publisher struct {
	log   Log
	known func() *Compiled
	offer func(*Version)
	now   func() time.Time
}

// NewPublisher returns a publisher. known returns the highest version known in this process, or nil;
// offer receives each accepted version.
func NewPublisher(c store.Client, known func() *Compiled, offer func(*Version)) *Publisher {
	return &Publisher{log: Log{Client: c}, known: known, offer: offer, now: time.Now}
}

// NewEditID returns a unique edit ID.
func NewEditID() string { return rand.Text() }

// Apply accepts the edit as the next version. Rows that others changed since the base are kept; an edit of one of them
// fails with a *ConflictError. On store.ErrUnknown the edit may have been accepted: sending it again with the same ID
// and base finds out.
func (p *Publisher) Apply(ctx context.Context, e Edit) (*Version, error) {
	if e.ID == "" {
		e.ID = NewEditID()
	}
	if len(e.Reason) > MaxReason {
		return nil, fmt.Errorf("reason has %d bytes; allowed: up to %d", len(e.Reason), MaxReason)
	}
	if err := Check(e.Rows); err != nil {
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

// Preview returns the table that Apply would accept now, without writing it.
func (p *Publisher) Preview(ctx context.Context, e Edit) (*Version, []Change, error) {
	if err := Check(e.Rows); err != nil {
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

// head returns the highest version in the store, at least floor.
func (p *Publisher) head(ctx context.Context, floor *Version) (*Version, error) {
	known := floor
	if c := p.known(); c != nil && c.Number() > floor.Number {
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
		holder, err := p.write(ctx, next)
		if err != nil {
			return nil, err
		}
		if holder.Edit == e.ID {
			p.offer(holder)
			return holder, nil
		}
		// Another edit took the number; there may be more after it.
		if head, err = p.head(ctx, holder); err != nil {
			return nil, err
		}
	}
}

// accepted finds an earlier acceptance of the same edit, for a caller that repeats it after a lost answer.
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
			p.offer(v)
			return v, nil
		}
	}
	return nil, nil
}

// next returns the version that would follow head.
func (p *Publisher) next(ctx context.Context, e Edit, changes []Change, head *Version) (*Version, error) {
	rows, classes := Rebase(changes, head.Rows)
	if len(classes) > 0 {
		return nil, p.conflict(ctx, e.Base, head, classes)
	}
	if err := Check(rows); err != nil {
		return nil, err
	}
	return &Version{
		Number: head.Number + 1, Author: e.Author, Reason: e.Reason, Time: p.now().UTC().Truncate(time.Millisecond),
		Edit: e.ID, Rows: rows,
	}, nil
}

// write creates the version's object, and returns the version that holds its number in the end.
// While the outcome is unknown the same number is tried again, because a delayed write could still take it.
func (p *Publisher) write(ctx context.Context, v *Version) (*Version, error) {
	value, err := FormatJSON(v)
	if err != nil {
		return nil, err
	}
	if len(value) > store.MaxValue {
		return nil, fmt.Errorf("table version %d: %w", v.Number, store.ErrTooLarge)
	}
	backoff := store.NewBackoff(publishBase, publishLimit)
	unknown := false
	for {
		_, err := p.log.Client.Create(ctx, Kind, ObjectName(v.Number), value)
		switch {
		case err == nil:
			return v, p.checkBehind(v)
		case errors.Is(err, store.ErrConflict):
			var holder *Version
			if holder, err = p.log.Read(ctx, v.Number); err == nil {
				return holder, nil
			}
		}
		unknown = unknown || errors.Is(err, store.ErrUnknown)
		if !backoff.Wait(ctx) {
			return nil, unresolved(v, unknown, err)
		}
	}
}

// unresolved reports the last error, and that the edit may have been accepted if any attempt's outcome is unknown.
func unresolved(v *Version, unknown bool, err error) error {
	if unknown && !errors.Is(err, store.ErrUnknown) {
		return fmt.Errorf("write table version %d (edit %s): %w: %w", v.Number, v.Edit, store.ErrUnknown, err)
	}
	return fmt.Errorf("write table version %d (edit %s): %w", v.Number, v.Edit, err)
}

// checkBehind detects a store that was restored from an older state: the number written must follow every version that
// is in force here.
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
		// The refusal is certain; only its explanation is missing.
		versions = nil
	}
	for i := 0; i+1 < len(versions); i++ {
		noteChanges(found, versions[i+1].Rows, versions[i])
	}
	if n := len(versions); n > 0 && versions[n-1].Number == 1 {
		noteChanges(found, nil, versions[n-1])
	}
	for _, class := range classes {
		c := found[class]
		c.Class = class
		conflict.Conflicts = append(conflict.Conflicts, c)
	}
	return conflict
}

// noteChanges remembers the latest change of each row; versions are noted from the newest to the oldest.
func noteChanges(found map[string]RowConflict, before []Row, v *Version) {
	for _, c := range Diff(before, v.Rows) {
		if _, ok := found[c.Class]; !ok {
			found[c.Class] = RowConflict{Class: c.Class, Version: v.Number, Author: v.Author, Time: v.Time, Reason: v.Reason}
		}
	}
}
