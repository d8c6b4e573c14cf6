// Package store is a stand-in for the platform's object API: versions, conditional updates, watches, rate limits and call
// counts. All objects are in memory.
//
// The HTTP protocol is defined in package internal/process/store. GET /calls returns the number of calls so far.
package store

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/settings"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/standin/fault"
)

// Limits of the object API.
const (
	maxWatchTime   = 30 * time.Second
	maxListObjects = 1000
	// maxTombstones bounds the deletions of each kind that watches can still report.
	maxTombstones = 4096
)

// Options configure a store. Zero values select the defaults.
type Options struct {
	// LatencyMs is the delay of every call, in milliseconds. Default 0.
	LatencyMs int `json:"latency_ms" default:"0" min:"0" max:"60000" unit:"milliseconds"`
	// ReadsPerSecond is the rate limit of GET calls, watches included. Default 2000.
	ReadsPerSecond float64 `json:"reads_per_second" default:"2000" min:"0.1" unit:"calls per second"`
	// WritesPerSecond is the rate limit of PUT and DELETE calls. Default 400.
	WritesPerSecond float64 `json:"writes_per_second" default:"400" min:"0.1" unit:"calls per second"`
}

// Calls are the numbers of calls since the start.
type Calls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	// Throttled calls are also counted in the other fields.
	Throttled uint64 `json:"throttled"`
	// PendingWatches is the number of watches that are waiting now; each is also counted in Watches.
	PendingWatches int `json:"pending_watches"`
}

// Store is the stand-in. It implements http.Handler.
type Store struct {
	opts    Options
	faults  fault.Injector
	handler http.Handler

	mu         sync.Mutex
	kinds      map[string]*kind
	revision   uint64
	calls      Calls
	readLimit  tokenBucket
	writeLimit tokenBucket
}

type kind struct {
	objects map[string]store.ObjectJSON
	// names are the names of the objects, sorted.
	names []string
	// tombstones are the deleted objects in the order of their revision.
	tombstones []store.ObjectJSON
	// compactedRevision is the revision of the latest tombstone that was dropped.
	compactedRevision uint64
	// changed is closed and replaced at every write.
	changed chan struct{}
}

// New returns an empty store.
func New(opts Options) *Store {
	settings.ApplyDefaults(&opts)
	now := time.Now()
	s := &Store{
		opts:       opts,
		kinds:      make(map[string]*kind),
		readLimit:  newTokenBucket(opts.ReadsPerSecond, now),
		writeLimit: newTokenBucket(opts.WritesPerSecond, now),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}/{name...}", s.rateLimited(s.serveGet))
	mux.HandleFunc("GET /objects/{kind}", s.rateLimited(s.serveList))
	mux.HandleFunc("PUT /objects/{kind}/{name...}", s.rateLimited(s.servePut))
	mux.HandleFunc("DELETE /objects/{kind}/{name...}", s.rateLimited(s.serveDelete))
	mux.HandleFunc("GET /watch/{kind}", s.rateLimited(s.serveWatch))
	s.handler = s.faults.Wrap(mux)
	return s
}

// ServeHTTP implements http.Handler. Calls of /calls are not counted, and are served during an outage.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/calls" {
		writeJSON(w, s.Calls())
		return
	}
	if r.URL.Path != "/faults" {
		s.count(r)
	}
	s.handler.ServeHTTP(w, r)
}

// Faults returns the injected faults.
func (s *Store) Faults() *fault.Injector { return &s.faults }

// Calls returns the number of calls so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) count(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case strings.HasPrefix(r.URL.Path, "/watch/"):
		s.calls.Watches++
	case r.Method == http.MethodGet:
		s.calls.Reads++
	default:
		s.calls.Writes++
	}
}

func (s *Store) rateLimited(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(s.opts.LatencyMs) * time.Millisecond)
		if !s.allow(r.Method != http.MethodGet) {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

func (s *Store) allow(write bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := &s.readLimit
	if write {
		limit = &s.writeLimit
	}
	if limit.take(time.Now()) {
		return true
	}
	s.calls.Throttled++
	return false
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	obj, ok := s.kind(r.PathValue("kind")).objects[r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "object not found", http.StatusNotFound)
		return
	}
	writeHeaders(w, obj)
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(obj.Value)
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	limit := maxListObjects
	if text := r.FormValue("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			http.Error(w, "limit must be a positive number", http.StatusBadRequest)
			return
		}
		limit = min(n, maxListObjects)
	}
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	page := store.ListResponse{Objects: []store.ObjectJSON{}}
	s.mu.Lock()
	defer s.mu.Unlock()
	page.Revision = s.revision
	k := s.kind(r.PathValue("kind"))
	start, _ := slices.BinarySearch(k.names, max(prefix, after))
	for _, name := range k.names[start:] {
		if len(page.Objects) == limit || !strings.HasPrefix(name, prefix) {
			break
		}
		if name > after || after == "" {
			page.Objects = append(page.Objects, k.objects[name])
		}
	}
	writeJSON(w, page)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, store.MaxValue+1))
	if err != nil {
		http.Error(w, "body not read", http.StatusBadRequest)
		return
	}
	if len(value) > store.MaxValue {
		http.Error(w, "value exceeds 1 MiB", http.StatusRequestEntityTooLarge)
		return
	}
	obj, status := s.put(r, value)
	s.respondToWrite(w, obj, status)
}

func (s *Store) put(r *http.Request, value []byte) (store.ObjectJSON, int) {
	name := r.PathValue("name")
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kind(r.PathValue("kind"))
	old, exists := k.objects[name]
	if status := precondition(r, old, exists); status != 0 {
		return store.ObjectJSON{}, status
	}
	s.revision++
	obj := store.ObjectJSON{Name: name, Version: s.revision, Revision: s.revision, Value: value}
	k.objects[name] = obj
	if !exists {
		at, _ := slices.BinarySearch(k.names, name)
		k.names = slices.Insert(k.names, at, name)
	}
	k.notify()
	return obj, http.StatusOK
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	s.mu.Lock()
	k := s.kind(r.PathValue("kind"))
	old, exists := k.objects[name]
	status := http.StatusNotFound
	if exists {
		status = precondition(r, old, true)
	}
	if status == 0 {
		status = http.StatusOK
		s.revision++
		delete(k.objects, name)
		at, _ := slices.BinarySearch(k.names, name)
		k.names = slices.Delete(k.names, at, at+1)
		old = store.ObjectJSON{Name: name, Version: old.Version, Revision: s.revision, Deleted: true}
		k.tombstones = append(k.tombstones, old)
		if len(k.tombstones) > maxTombstones {
			k.compactedRevision = k.tombstones[0].Revision
			k.tombstones = slices.Delete(k.tombstones, 0, 1)
		}
		k.notify()
	}
	s.mu.Unlock()
	s.respondToWrite(w, old, status)
}

func (s *Store) respondToWrite(w http.ResponseWriter, obj store.ObjectJSON, status int) {
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	if s.faults.TakeLostResponse() {
		fault.AbortResponse()
	}
	if obj.Deleted {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	writeHeaders(w, obj)
}

// precondition returns 0 if the conditions of a write are met, otherwise the status of the error response.
func precondition(r *http.Request, old store.ObjectJSON, exists bool) int {
	match, noneMatch := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	switch {
	case noneMatch == "*" && match == "":
		if exists {
			return http.StatusPreconditionFailed
		}
	case match == "" || noneMatch != "":
		return http.StatusPreconditionRequired
	case !exists:
		return http.StatusNotFound
	case match != etag(old.Version):
		return http.StatusPreconditionFailed
	}
	return 0
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a revision", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(maxWatchTime)
	defer timer.Stop()
	s.addPendingWatches(1)
	defer s.addPendingWatches(-1)
	for {
		if !s.canReport(r.PathValue("kind"), after) {
			http.Error(w, "revision no longer kept", http.StatusGone)
			return
		}
		page, changed := s.changesSince(r.PathValue("kind"), after)
		if len(page.Objects) > 0 || after == 0 {
			writeJSON(w, page)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, page)
			return
		case <-r.Context().Done():
			return
		case <-s.faults.Crashed():
			fault.AbortResponse()
		}
	}
}

func (s *Store) addPendingWatches(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.PendingWatches += n
}

// canReport reports whether all writes to a kind after a revision are still known. After 0 only the current revision is
// reported.
func (s *Store) canReport(name string, after uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return after == 0 || after >= s.kind(name).compactedRevision && after <= s.revision
}

// changesSince returns the changes to a kind after a revision, in order, and a channel that is closed at its next change.
func (s *Store) changesSince(name string, after uint64) (store.WatchResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kind(name)
	page := store.WatchResponse{Objects: []store.ObjectJSON{}, Revision: s.revision}
	if after == 0 {
		return page, k.changed
	}
	for _, obj := range k.objects {
		if obj.Revision > after {
			page.Objects = append(page.Objects, obj)
		}
	}
	for _, obj := range k.tombstones {
		if obj.Revision > after {
			page.Objects = append(page.Objects, obj)
		}
	}
	slices.SortFunc(page.Objects, func(a, b store.ObjectJSON) int { return int(int64(a.Revision) - int64(b.Revision)) })
	return page, k.changed
}

func (s *Store) kind(name string) *kind {
	k, ok := s.kinds[name]
	if !ok {
		k = &kind{objects: make(map[string]store.ObjectJSON), changed: make(chan struct{})}
		s.kinds[name] = k
	}
	return k
}

func (k *kind) notify() {
	close(k.changed)
	k.changed = make(chan struct{})
}

func etag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }

func writeHeaders(w http.ResponseWriter, obj store.ObjectJSON) {
	w.Header().Set("ETag", etag(obj.Version))
	w.Header().Set(store.RevisionHeader, strconv.FormatUint(obj.Revision, 10))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// tokenBucket allows a burst of one second's calls.
type tokenBucket struct {
	rate   float64
	tokens float64
	last   time.Time
}

func newTokenBucket(rate float64, now time.Time) tokenBucket {
	return tokenBucket{rate: rate, tokens: rate, last: now}
}

func (b *tokenBucket) take(now time.Time) bool {
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.last).Seconds())
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
