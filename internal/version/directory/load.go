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

// Kind and name of the directory's store object.
const (
	Kind = "directory"
	Name = "current"
)

// refreshInterval is the interval of reading the directory, plus or minus a random amount of up to a fifth. With 360
// entries this amounts to 12 reads per second.
const refreshInterval = 30 * time.Second

// Limits of a directory.
const (
	MaxWorkspaces = 5000
	MaxOperators  = 16
	MaxClasses    = 64
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// ValidationError reports that a directory is not valid.
type ValidationError struct {
	Problems []string
}

// Error implements error, with one line per problem.
func (e *ValidationError) Error() string { return strings.Join(e.Problems, "\n") }

// Parse decodes and validates a directory in JSON. The error is a *ValidationError.
func Parse(data []byte) (*Directory, error) {
	var d Directory
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return nil, &ValidationError{Problems: []string{"directory: " + err.Error()}}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, &ValidationError{Problems: []string{"directory: text after the end of the JSON object"}}
	}
	if err := d.Validate(); err != nil {
		return nil, err
	}
	return &d, nil
}

// checker collects validation problems. names and hashes map a value to the path of its first use.
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

// hash validates a key hash. Problems never contain the value, because a plain key entered by mistake would reach a log.
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

func (c *checker) unique(path, value string) {
	if first, ok := c.names[value]; ok {
		c.add(path, "%q is used at %s already", value, first)
	}
	c.names[value] = path
}

// Validate checks the whole directory. The error is a *ValidationError.
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
		return &ValidationError{Problems: c.problems}
	}
	return nil
}

func (c *checker) workspace(path string, w *Workspace, owners map[string]bool) {
	c.name(path+".name", w.Name)
	c.unique(path+".name", w.Name)
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

// Index is a directory indexed by key hash. It is immutable.
//
// Lookups use the SHA-256 of the key that the caller sent. The time of a map lookup depends on that hash only, which
// reveals nothing about a valid key.
type Index struct {
	directory  *Directory
	workspaces map[string]*Workspace
	operators  map[string]string
}

// NewIndex indexes a directory, which must not be changed afterwards.
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

// Load reads the directory from the store, and returns it with its revision.
func Load(ctx context.Context, c store.Client) (*Index, uint64, error) {
	s, err := load(ctx, c)
	if err != nil {
		return nil, 0, err
	}
	return s.index, s.revision, nil
}

// snapshot is a directory with its encoded value, which is sent to other entries.
type snapshot struct {
	index    *Index
	revision uint64
	value    []byte
}

func load(ctx context.Context, c store.Client) (*snapshot, error) {
	obj, err := c.Get(ctx, Kind, Name)
	if err != nil {
		return nil, fmt.Errorf("read directory: %w", err)
	}
	return parseSnapshot(obj.Value, obj.Revision)
}

func parseSnapshot(value []byte, revision uint64) (*snapshot, error) {
	d, err := Parse(value)
	if err != nil {
		return nil, err
	}
	return &snapshot{index: NewIndex(d), revision: revision, value: value}, nil
}

// MethodFetch is the method of the peer call that returns the directory in use.
const MethodFetch = "directory.fetch"

// Fetching the directory from peers at start.
const (
	// maxPeerCalls limits the peers that one attempt calls.
	maxPeerCalls = 8
	// callTimeout is the timeout of one call to a peer.
	callTimeout = time.Second
)

// fetchReply is the response of MethodFetch. Revision is 0 if the responding entry has no directory.
type fetchReply struct {
	Revision uint64 `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
}

// Peers communicates with the other entries.
type Peers interface {
	// Call makes a peer call; peer.Client implements it.
	Call(ctx context.Context, instance, method string, payload []byte) ([]byte, error)
}

// Follower keeps a copy of the directory up to date with the store. While the store is unavailable or its directory is
// invalid, the last valid directory remains in use, and a starting entry fetches the directory from other entries.
type Follower struct {
	client  store.Client
	onError func(error)
	ready   chan struct{}
	peers   Peers
	members func() []string

	mu      sync.Mutex
	current atomic.Pointer[snapshot]
}

// NewFollower returns a follower; Run starts it. onError may be nil.
func NewFollower(c store.Client, onError func(error)) *Follower {
	return &Follower{client: c, onError: onError, ready: make(chan struct{})}
}

// SetPeers enables a starting follower to fetch the directory from other entries while it cannot read it from the store.
// members returns their instance names. SetPeers must be called before Run.
func (f *Follower) SetPeers(p Peers, members func() []string) { f.peers, f.members = p, members }

// Current returns the directory in use, or nil if none was read yet.
func (f *Follower) Current() *Index {
	if s := f.current.Load(); s != nil {
		return s.index
	}
	return nil
}

// Ready returns a channel that is closed when the first directory is in use.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// HandleFetch handles a MethodFetch call.
func (f *Follower) HandleFetch(context.Context, []byte) ([]byte, error) {
	s := f.current.Load()
	if s == nil {
		return cbor.Marshal(fetchReply{})
	}
	return cbor.Marshal(fetchReply{Revision: s.revision, Value: s.value})
}

// Run refreshes the directory periodically until ctx is cancelled.
func (f *Follower) Run(ctx context.Context) {
	backoff := store.NewBackoff(100*time.Millisecond, 5*time.Second)
	for ctx.Err() == nil {
		wait := refreshInterval - refreshInterval/5 + rand.N(refreshInterval*2/5)
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
	s, err := load(ctx, f.client)
	if err != nil {
		if f.current.Load() == nil && f.peers != nil {
			f.fetchFromPeers(ctx)
		}
		return err
	}
	f.install(s)
	return nil
}

// install uses a directory if it is newer than the one in use. An older one could restore a removed key.
func (f *Follower) install(s *snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.current.Load()
	if old != nil && s.revision <= old.revision {
		return
	}
	f.current.Store(s)
	if old == nil {
		close(f.ready)
	}
}

// fetchFromPeers calls several entries in parallel and installs the newest directory that they return.
func (f *Follower) fetchFromPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	names := slices.Clone(f.members())
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	var newest *snapshot
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, name := range names[:min(maxPeerCalls, len(names))] {
		wg.Go(func() {
			s, err := f.fetch(ctx, name)
			if err != nil {
				return // refresh returns the error of the store, and the next attempt calls peers again
			}
			mu.Lock()
			defer mu.Unlock()
			if newest == nil || s.revision > newest.revision {
				newest = s
			}
		})
	}
	wg.Wait()
	if newest != nil {
		f.install(newest)
	}
}

func (f *Follower) fetch(ctx context.Context, instance string) (*snapshot, error) {
	data, err := f.peers.Call(ctx, instance, MethodFetch, nil)
	if err != nil {
		return nil, err
	}
	var r fetchReply
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, err
	}
	return parseSnapshot(r.Value, r.Revision)
}
