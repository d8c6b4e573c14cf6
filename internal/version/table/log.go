package table

import (
	"context"
	"errors"
	"fmt"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// Kind is the store kind of the table versions; an object's name is the version's number with ten digits.
const Kind = "table"

// pageSize bounds the versions in one list; the largest table has about 0.6 MB, and the store client reads 20 MB.
const pageSize = 20

// maxHistory bounds the versions that one history or conflict search reads.
const maxHistory = 400

// ErrNoVersion reports that a version, or any version at all, does not exist.
var ErrNoVersion = errors.New("table version does not exist")

// Log reads the accepted versions from the store. It keeps no state.
type Log struct {
	Client store.Client
}

// ObjectName returns the name of a version's object.
func ObjectName(number uint64) string { return fmt.Sprintf("%010d", number) }

// Read returns one version. It fails with ErrNoVersion or an error of the store.
func (l Log) Read(ctx context.Context, number uint64) (*Version, error) {
	obj, err := l.Client.Get(ctx, Kind, ObjectName(number))
	if errors.Is(err, store.ErrNotFound) {
		return nil, fmt.Errorf("version %d: %w", number, ErrNoVersion)
	}
	if err != nil {
		return nil, fmt.Errorf("read table version %d: %w", number, err)
	}
	return decodeObject(obj)
}

// After returns up to limit versions that follow number, in order.
func (l Log) After(ctx context.Context, number uint64, limit int) ([]*Version, error) {
	objs, err := l.Client.List(ctx, Kind, "", ObjectName(number), limit)
	if err != nil {
		return nil, fmt.Errorf("list table versions after %d: %w", number, err)
	}
	versions := make([]*Version, 0, len(objs))
	for _, obj := range objs {
		v, err := decodeObject(obj)
		if err != nil {
			return nil, err
		}
		versions = append(versions, v)
	}
	return versions, nil
}

// Head returns the highest version that follows known, or nil when there is none.
// Numbers have no gaps, so that a search by doubling finds the end of a log of any length in few reads.
func (l Log) Head(ctx context.Context, known uint64) (*Version, error) {
	head, full, err := l.last(ctx, known)
	if err != nil || !full {
		return head, err
	}
	before, err := l.skip(ctx, head.Number)
	if err != nil {
		return nil, err
	}
	head, _, err = l.last(ctx, before)
	return head, err
}

// last returns the last version of one page after known, and whether the page is full.
func (l Log) last(ctx context.Context, known uint64) (*Version, bool, error) {
	page, err := l.After(ctx, known, pageSize)
	if err != nil || len(page) == 0 {
		return nil, false, err
	}
	return page[len(page)-1], len(page) == pageSize, nil
}

// skip returns the number before an existing version that is at most one page before the end.
func (l Log) skip(ctx context.Context, known uint64) (uint64, error) {
	low, step := known, uint64(pageSize)
	for {
		ok, err := l.exists(ctx, low+step)
		if err != nil {
			return 0, err
		}
		if !ok {
			break
		}
		low, step = low+step, step*2
	}
	for high := low + step; high-low > pageSize; {
		middle := low + (high-low)/2
		ok, err := l.exists(ctx, middle)
		if err != nil {
			return 0, err
		}
		if ok {
			low = middle
		} else {
			high = middle
		}
	}
	return low - 1, nil
}

func (l Log) exists(ctx context.Context, number uint64) (bool, error) {
	_, err := l.Client.Get(ctx, Kind, ObjectName(number))
	if errors.Is(err, store.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}

// History returns up to limit versions up to and including last, newest first.
func (l Log) History(ctx context.Context, last uint64, limit int) ([]*Version, error) {
	limit = min(limit, maxHistory, int(last))
	versions := make([]*Version, 0, limit)
	for from := last - uint64(limit); from < last; from += pageSize {
		page, err := l.After(ctx, from, min(pageSize, int(last-from)))
		if err != nil {
			return nil, err
		}
		versions = append(versions, page...)
	}
	for i, j := 0, len(versions)-1; i < j; i, j = i+1, j-1 {
		versions[i], versions[j] = versions[j], versions[i]
	}
	return versions, nil
}

func decodeObject(obj store.Object) (*Version, error) {
	v, err := ParseJSON(obj.Value)
	if err != nil {
		return nil, fmt.Errorf("store object %s/%s: %w", obj.Kind, obj.Name, err)
	}
	if ObjectName(v.Number) != obj.Name {
		return nil, fmt.Errorf("store object %s/%s holds version %d", obj.Kind, obj.Name, v.Number)
	}
	return v, nil
}
