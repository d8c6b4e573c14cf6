package directory

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// Place of the directory in the store.
const (
	Kind = "directory"
	Name = "current"
)

// refreshEvery is the time between two reads of the directory, plus or minus a fifth. At 360 entries these are 12
// reads a second.
const refreshEvery = 30 * time.Second

// Bounds of a directory.
const (
	MaxWorkspaces = 5000
	MaxOperators  = 16
	MaxClasses    = 64
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// InvalidError reports a directory that cannot be used, with one line per problem.
type InvalidError struct {
	Problems []string
}

// Error implements error.
func (e *InvalidError) Error() string { return strings.Join(e.Problems, "\n") }

// Parse reads and validates a directory in JSON. The error is an *InvalidError.
func Parse(data []byte) (*Directory, error) {
	var d Directory
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return nil, &InvalidError{Problems: []string{"directory: " + err.Error()}}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, &InvalidError{Problems: []string{"directory: text after the end of the JSON object"}}
	}
	if err := d.Validate(); err != nil {
		return nil, err
	}
	return &d, nil
}

// checker collects problems.
type checker struct {
	problems []string
	names    map[string]string
	hashes   map[string]string
}

func (c *checker) add(path, format string, args ...any) {
	c.problems = append(c.problems, path+": "+fmt.Sprintf(format, args...))
}

func (c *checker) name(path, value string) {
	if !namePattern.MatchString(value) {
		c.add(path, "value %q is not allowed; allowed: 1 to 63 lower-case letters, digits, '-', '_' or '.', starting with a letter or digit", value)
	}
}

// hash never shows the value, so that a key written there by mistake does not reach a log.
func (c *checker) hash(path, value string) {
	raw, err := hex.DecodeString(value)
	if err != nil || len(raw) != 32 || value != strings.ToLower(value) {
		c.add(path, "must be the SHA-256 of the key as 64 lower-case hex digits")
		return
	}
	if first, ok := c.hashes[value]; ok {
		c.add(path, "the same key is used at %s", first)
	}
	c.hashes[value] = path
}

func (c *checker) once(path, value string) {
	if first, ok := c.names[value]; ok {
		c.add(path, "%q is used at %s already", value, first)
	}
	c.names[value] = path
}

// Validate checks the whole directory. The error is an *InvalidError.
func (d *Directory) Validate() error {
	c := &checker{names: map[string]string{}, hashes: map[string]string{}}
	if len(d.Workspaces) > MaxWorkspaces {
		c.add("workspaces", "%d workspaces; allowed: up to %d", len(d.Workspaces), MaxWorkspaces)
	}
	if len(d.Operators) == 0 || len(d.Operators) > MaxOperators {
		c.add("operators", "%d operators; allowed: 1 to %d", len(d.Operators), MaxOperators)
	}
	owners := map[string]bool{}
	for i, o := range d.Operators {
		path := fmt.Sprintf("operators[%d]", i)
		c.name(path+".owner", o.Owner)
		c.hash(path+".key_sha256", o.KeySHA256)
		owners[o.Owner] = true
	}
	for i := range d.Workspaces {
		c.workspace(fmt.Sprintf("workspaces[%d]", i), &d.Workspaces[i], owners)
	}
	if len(c.problems) > 0 {
		return &InvalidError{Problems: c.problems}
	}
	return nil
}

func (c *checker) workspace(path string, w *Workspace, owners map[string]bool) {
	c.name(path+".name", w.Name)
	c.once(path+".name", w.Name)
	c.hash(path+".key_sha256", w.KeySHA256)
	if !owners[w.Owner] {
		c.add(path+".owner", "%q is not an operator of this directory", w.Owner)
	}
	if len(w.Classes) == 0 || len(w.Classes) > MaxClasses {
		c.add(path+".classes", "%d classes; allowed: 1 to %d", len(w.Classes), MaxClasses)
	}
	for i, class := range w.Classes {
		c.name(fmt.Sprintf("%s.classes[%d]", path, i), class)
	}
	if !w.MayUse(w.DefaultClass) {
		c.add(path+".default_class", "%q is not one of the workspace's classes", w.DefaultClass)
	}
}

// Index is a directory prepared for lookups by key. It is immutable.
//
// Keys are looked up by the SHA-256 of what the caller sent. A map's timing depends on that hash only, from which
// nothing about a valid key can be derived.
type Index struct {
	directory  *Directory
	workspaces map[string]*Workspace
	operators  map[string]string
}

// NewIndex prepares a directory, which must not be changed afterwards.
func NewIndex(d *Directory) *Index {
	x := &Index{
		directory:  d,
		workspaces: make(map[string]*Workspace, len(d.Workspaces)),
		operators:  make(map[string]string, len(d.Operators)),
	}
	for i := range d.Workspaces {
		x.workspaces[d.Workspaces[i].KeySHA256] = &d.Workspaces[i]
	}
	for _, o := range d.Operators {
		x.operators[o.KeySHA256] = o.Owner
	}
	return x
}

// Workspace returns the workspace of a key. The caller must not change it.
func (x *Index) Workspace(key string) (*Workspace, bool) {
	w, ok := x.workspaces[HashKey(key)]
	return w, ok
}

// Operator returns the owner of an operator key.
func (x *Index) Operator(key string) (string, bool) {
	owner, ok := x.operators[HashKey(key)]
	return owner, ok
}

// Directory returns the directory. The caller must not change it.
func (x *Index) Directory() *Directory { return x.directory }

// Load reads the directory from the store.
func Load(ctx context.Context, c store.Client) (*Index, uint64, error) {
	l, err := load(ctx, c)
	if err != nil {
		return nil, 0, err
	}
	return l.index, l.revision, nil
}

// loaded is a directory with the text that it was read from, for other entries.
type loaded struct {
	index    *Index
	revision uint64
	value    []byte
}

func load(ctx context.Context, c store.Client) (*loaded, error) {
	obj, err := c.Get(ctx, Kind, Name)
	if err != nil {
		return nil, fmt.Errorf("read directory: %w", err)
	}
	return parseLoaded(obj.Value, obj.Revision)
}

func parseLoaded(value []byte, revision uint64) (*loaded, error) {
	d, err := Parse(value)
	if err != nil {
		return nil, err
	}
	return &loaded{index: NewIndex(d), revision: revision, value: value}, nil
}

// MethodFetch is the peer call that returns the directory in use.
const MethodFetch = "directory.fetch"

// peersAsked bounds the peers that a starting entry asks, and callTimeout the wait for each.
const (
	peersAsked  = 8
	callTimeout = time.Second
)

// fetchReply is the result of MethodFetch; Revision is 0 when the answering entry knows no directory.
type fetchReply struct {
	Revision uint64 `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
}

// Peers reaches the other entries.
type Peers interface {
	// Call makes a peer call; peer.Caller implements it.
	Call(ctx context.Context, instance, method string, payload []byte) ([]byte, error)
}

// Follower keeps the latest directory of the store. It keeps the last valid one while the store is down or holds an
// invalid one. An entry that starts in such a time takes the directory of another entry.
type Follower struct {
	client  store.Client
	onError func(error)
	ready   chan struct{}
	peers   Peers
	members func() []string

	mu      sync.Mutex
	current atomic.Pointer[loaded]
}

// NewFollower returns a follower; Run starts it. onError may be nil.
func NewFollower(c store.Client, onError func(error)) *Follower {
	return &Follower{client: c, onError: onError, ready: make(chan struct{})}
}

// AskPeers makes a starting follower ask other entries when the store does not answer. members returns their names.
// It must be called before Run.
func (f *Follower) AskPeers(p Peers, members func() []string) { f.peers, f.members = p, members }

// Current returns the directory in use, or nil before the first one was read.
func (f *Follower) Current() *Index {
	if l := f.current.Load(); l != nil {
		return l.index
	}
	return nil
}

// Ready is closed once a first directory is known.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// HandleFetch answers a MethodFetch call.
func (f *Follower) HandleFetch(context.Context, []byte) ([]byte, error) {
	l := f.current.Load()
	if l == nil {
		return cbor.Marshal(fetchReply{})
	}
	return cbor.Marshal(fetchReply{Revision: l.revision, Value: l.value})
}

// Run reads the directory again and again until the context ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := store.NewBackoff(100*time.Millisecond, 5*time.Second)
	for ctx.Err() == nil {
		wait := refreshEvery - refreshEvery/5 + rand.N(refreshEvery*2/5)
		if err := f.refresh(ctx); err != nil {
			wait = backoff.Next()
			if f.onError != nil && ctx.Err() == nil {
				f.onError(err)
			}
		} else {
			backoff.Reset()
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

func (f *Follower) refresh(ctx context.Context) error {
	l, err := load(ctx, f.client)
	if err != nil {
		if f.current.Load() == nil && f.peers != nil {
			f.askPeers(ctx)
		}
		return err
	}
	f.install(l)
	return nil
}

// install ignores a directory older than the one in use, so that a removed key stays removed.
func (f *Follower) install(l *loaded) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.current.Load()
	if old != nil && l.revision <= old.revision {
		return
	}
	f.current.Store(l)
	if old == nil {
		close(f.ready)
	}
}

// askPeers takes the newest directory among the answers of several entries.
func (f *Follower) askPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	names := slices.Clone(f.members())
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	var best *loaded
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, name := range names[:min(peersAsked, len(names))] {
		wg.Go(func() {
			l, err := f.fetch(ctx, name)
			if err != nil {
				return // the store's error is reported, and the next attempt asks again
			}
			mu.Lock()
			defer mu.Unlock()
			if best == nil || l.revision > best.revision {
				best = l
			}
		})
	}
	wg.Wait()
	if best != nil {
		f.install(best)
	}
}

func (f *Follower) fetch(ctx context.Context, instance string) (*loaded, error) {
	data, err := f.peers.Call(ctx, instance, MethodFetch, nil)
	if err != nil {
		return nil, err
	}
	var r fetchReply
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, err
	}
	return parseLoaded(r.Value, r.Revision)
}
