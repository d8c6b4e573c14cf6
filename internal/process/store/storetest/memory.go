// Package storetest provides an in-memory store.Client with fault injection, and the contract test of store.Client.
package storetest

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// Faults are the faults that a Memory can inject. The zero value injects none.
type Faults struct {
	// Outage makes every call fail with store.ErrUnavailable, without effect.
	Outage bool
	// Delay is added to every call, half of it before the call takes effect.
	Delay time.Duration
	// LoseResponses makes every write take effect and fail with store.ErrUnknown, as if its response were lost.
	LoseResponses bool
	// LoseRequests makes every write fail with store.ErrUnknown, without effect.
	LoseRequests bool
	// CallsPerSecond is the rate limit, above which calls fail with store.ErrThrottled; 0 means no limit.
	CallsPerSecond int
}

// Counts are the calls that a Memory has received.
type Counts struct {
	Reads, Writes, Watches uint64
}

// Memory is an in-memory store.Client. The simulated processes of a test can share one.
type Memory struct {
	mu       sync.Mutex
	faults   Faults
	hook     func(op store.Op, kind, name string) error
	counts   Counts
	era      uint64
	revision uint64
	version  uint64
	objects  map[string]map[string]store.Object
	log      []store.Object
	// compacted is the oldest revision from which a watch can start.
	compacted uint64
	// changed is closed by the next write.
	changed chan struct{}
	// windowStart and windowCalls implement the rate limit, in windows of one second.
	windowStart time.Time
	windowCalls int
}

var _ store.Client = (*Memory)(nil)

// New returns an empty store.
func New() *Memory {
	return &Memory{objects: map[string]map[string]store.Object{}, changed: make(chan struct{})}
}

// SetFaults replaces the injected faults.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// SetHook installs a function that is called before each call takes effect, without the store's lock held.
// The call fails without effect when the function returns an error.
func (m *Memory) SetHook(hook func(op store.Op, kind, name string) error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hook = hook
}

// Counts returns the calls received so far.
func (m *Memory) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// CompactHistory drops the watch history, so that watches from an older revision fail with store.ErrGap.
func (m *Memory) CompactHistory() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.log, m.compacted = nil, m.revision
}

// beforeCall counts a call and injects the faults that come before it takes effect.
func (m *Memory) beforeCall(ctx context.Context, op store.Op, kind, name string) (Faults, error) {
	m.mu.Lock()
	m.count(op)
	f, hook := m.faults, m.hook
	throttled := f.CallsPerSecond > 0 && !m.allow(f.CallsPerSecond)
	m.mu.Unlock()
	if err := wait(ctx, f.Delay/2); err != nil {
		return f, err
	}
	if f.Outage {
		return f, store.ErrUnavailable
	}
	if throttled {
		return f, store.ErrThrottled
	}
	if hook != nil {
		if err := hook(op, kind, name); err != nil {
			return f, err
		}
		m.mu.Lock()
		f = m.faults // the hook may have changed them
		m.mu.Unlock()
	}
	if f.LoseRequests && writes(op) {
		return f, store.ErrUnknown
	}
	return f, nil
}

// afterCall injects the faults that come after a call took effect.
func (m *Memory) afterCall(ctx context.Context, op store.Op, f Faults) error {
	err := wait(ctx, f.Delay/2)
	if writes(op) && (err != nil || f.LoseResponses) {
		return store.ErrUnknown
	}
	return err
}

func (m *Memory) count(op store.Op) {
	switch {
	case op == store.OpWatch:
		m.counts.Watches++
	case writes(op):
		m.counts.Writes++
	default:
		m.counts.Reads++
	}
}

func (m *Memory) allow(rate int) bool {
	if now := time.Now(); now.Sub(m.windowStart) >= time.Second {
		m.windowStart, m.windowCalls = now, 0
	}
	m.windowCalls++
	return m.windowCalls <= rate
}

func writes(op store.Op) bool {
	return op == store.OpCreate || op == store.OpUpdate || op == store.OpDelete
}

func wait(ctx context.Context, d time.Duration) error {
	if ctx.Err() != nil {
		return store.ErrUnavailable
	}
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return store.ErrUnavailable
	}
}

// Get implements store.Client.
func (m *Memory) Get(ctx context.Context, kind, name string) (store.Object, error) {
	f, err := m.beforeCall(ctx, store.OpGet, kind, name)
	if err != nil {
		return store.Object{}, err
	}
	m.mu.Lock()
	obj, ok := m.objects[kind][name]
	m.mu.Unlock()
	if err := m.afterCall(ctx, store.OpGet, f); err != nil {
		return store.Object{}, err
	}
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	return clone(obj), nil
}

// Create implements store.Client.
func (m *Memory) Create(ctx context.Context, kind, name string, value []byte) (store.Object, error) {
	if len(value) > store.MaxValue {
		return store.Object{}, store.ErrTooLarge
	}
	return m.write(ctx, store.OpCreate, store.Object{Kind: kind, Name: name, Value: value})
}

// Update implements store.Client.
func (m *Memory) Update(ctx context.Context, obj store.Object) (store.Object, error) {
	if len(obj.Value) > store.MaxValue {
		return store.Object{}, store.ErrTooLarge
	}
	return m.write(ctx, store.OpUpdate, obj)
}

// Delete implements store.Client.
func (m *Memory) Delete(ctx context.Context, obj store.Object) error {
	_, err := m.write(ctx, store.OpDelete, obj)
	return err
}

func (m *Memory) write(ctx context.Context, op store.Op, obj store.Object) (store.Object, error) {
	f, err := m.beforeCall(ctx, op, obj.Kind, obj.Name)
	if err != nil {
		return store.Object{}, err
	}
	m.mu.Lock()
	written, err := m.apply(op, clone(obj))
	m.mu.Unlock()
	if faultErr := m.afterCall(ctx, op, f); faultErr != nil {
		return store.Object{}, faultErr
	}
	return clone(written), err
}

// apply checks the condition of a write and makes it. The caller must hold m.mu.
func (m *Memory) apply(op store.Op, obj store.Object) (store.Object, error) {
	old, ok := m.objects[obj.Kind][obj.Name]
	switch {
	case op == store.OpCreate && ok:
		return store.Object{}, store.ErrConflict
	case op != store.OpCreate && !ok:
		return store.Object{}, store.ErrNotFound
	case op != store.OpCreate && old.Version != obj.Version:
		return store.Object{}, store.ErrConflict
	}
	m.revision++
	m.version++
	obj.Version, obj.Revision, obj.Era = m.version, m.revision, m.era
	if m.objects[obj.Kind] == nil {
		m.objects[obj.Kind] = map[string]store.Object{}
	}
	if op == store.OpDelete {
		obj.Deleted, obj.Value = true, nil
		delete(m.objects[obj.Kind], obj.Name)
	} else {
		m.objects[obj.Kind][obj.Name] = obj
	}
	m.log = append(m.log, obj)
	close(m.changed)
	m.changed = make(chan struct{})
	return obj, nil
}

// List implements store.Client.
func (m *Memory) List(ctx context.Context, kind, prefix, after string, limit int) ([]store.Object, error) {
	f, err := m.beforeCall(ctx, store.OpList, kind, prefix)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	var objs []store.Object
	for name, obj := range m.objects[kind] {
		if strings.HasPrefix(name, prefix) && name > after {
			objs = append(objs, clone(obj))
		}
	}
	m.mu.Unlock()
	slices.SortFunc(objs, func(a, b store.Object) int { return strings.Compare(a.Name, b.Name) })
	if limit > 0 && len(objs) > limit {
		objs = objs[:limit]
	}
	return objs, m.afterCall(ctx, store.OpList, f)
}

// Era implements store.Client.
func (m *Memory) Era() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

// Snapshot implements store.Client.
func (m *Memory) Snapshot(ctx context.Context, kind string) ([]store.Object, store.Position, error) {
	m.mu.Lock()
	at := store.Position{Era: m.era, Revision: m.revision}
	m.mu.Unlock()
	// Later writes may be among the objects; a watch from the revision delivers them again.
	objs, err := m.List(ctx, kind, "", "", 0)
	return objs, at, err
}

// Watch implements store.Client.
func (m *Memory) Watch(ctx context.Context, kind string, after store.Position) ([]store.Object, store.Position, error) {
	f, err := m.beforeCall(ctx, store.OpWatch, kind, "")
	if err != nil {
		return nil, after, err
	}
	timer := time.NewTimer(store.MaxWatchTimeout)
	defer timer.Stop()
	for {
		objs, at, changed, err := m.since(kind, after)
		if err != nil || len(objs) > 0 || after.IsZero() {
			return objs, at, firstError(m.afterCall(ctx, store.OpWatch, f), err)
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, at, nil
		case <-ctx.Done():
			return nil, after, store.ErrUnavailable
		}
	}
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

// since returns the writes to kind after the position, the current position and a channel closed by the next write.
func (m *Memory) since(kind string, after store.Position) ([]store.Object, store.Position, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Outage {
		return nil, after, nil, store.ErrUnavailable
	}
	at := store.Position{Era: m.era, Revision: m.revision}
	if after.IsZero() {
		return nil, at, nil, nil
	}
	if after.Era != m.era || after.Revision < m.compacted || after.Revision > m.revision {
		return nil, after, nil, store.ErrGap
	}
	var objs []store.Object
	for _, obj := range m.log {
		if obj.Kind == kind && obj.Revision > after.Revision {
			objs = append(objs, clone(obj))
		}
	}
	return objs, at, m.changed, nil
}

func clone(obj store.Object) store.Object {
	obj.Value = slices.Clone(obj.Value)
	return obj
}
