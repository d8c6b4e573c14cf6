package table

import (
	"context"
	"errors"
	"fmt"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// Kind is the kind of the store objects that contain table versions. An object's name is the version number, zero-padded
// to ten digits.
const Kind = "table"

// pageSize limits the versions in one list call. The largest table has about 0.6 MB, and the store client reads at most
// 20 objects of the largest value (1 MiB) per response.
const pageSize = 20

// maxHistory limits the versions that one call of History or one search for conflicting changes reads.
const maxHistory = 400

// ErrNoVersion reports that a version, or any version at all, does not exist.
var ErrNoVersion = errors.New("table version does not exist")

// Log reads the accepted versions from the store. It is stateless.
type Log struct {
	Client store.Client
}

// ObjectName returns the name of a version's object.
func ObjectName(number uint64) string { return fmt.Sprintf("%010d", number) }

// Read returns one version. The error is ErrNoVersion or comes from the store.
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

// After returns up to limit versions with numbers above number, in ascending order.
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

// Head returns the highest version above known, or nil if there is none.
// Numbers have no gaps, so an exponential search finds the end of a log of any length in few reads.
func (l Log) Head(ctx context.Context, known uint64) (*Version, error) {
	head, full, err := l.lastOfPage(ctx, known)
	if err != nil || !full {
		return head, err
	}
	before, err := l.skipToLastPage(ctx, head.Number)
	if err != nil {
		return nil, err
	}
	head, _, err = l.lastOfPage(ctx, before)
	return head, err
}

// lastOfPage returns the last version of the page that follows known, and whether the page is full.
func (l Log) lastOfPage(ctx context.Context, known uint64) (*Version, bool, error) {
	page, err := l.After(ctx, known, pageSize)
	if err != nil || len(page) == 0 {
		return nil, false, err
	}
	return page[len(page)-1], len(page) == pageSize, nil
}

// skipToLastPage finds an existing version at most one page before the end of the log, and returns the number before it.
func (l Log) skipToLastPage(ctx context.Context, known uint64) (uint64, error) {
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
