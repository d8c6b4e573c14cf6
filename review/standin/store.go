package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is the platform's object store: kinds, names, one revision counter, lists, watches and conditional writes.
type Store struct {
	mu       sync.Mutex
	objects  map[string]map[string]object
	events   []event
	revision uint64
	changed  chan struct{}
	server   *http.Server
	address  string
}

type object struct {
	revision uint64
	spec     json.RawMessage
}

type event struct {
	kind, name string
	object
	deleted bool
}

// pageItems is the largest number of objects in one list response.
const pageItems = 500

func newStore(address string) (*Store, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &Store{objects: map[string]map[string]object{}, revision: 1, changed: make(chan struct{}), address: listener.Addr().String()}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Put writes an object as the operator or a replica does.
func (s *Store) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLocked(kind, name, data, false)
}

// Remove deletes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLocked(kind, name, nil, true)
}

func (s *Store) writeLocked(kind, name string, spec json.RawMessage, deleted bool) {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o := object{s.revision, spec}
	if deleted {
		delete(s.objects[kind], name)
	} else {
		s.objects[kind][name] = o
	}
	s.events = append(s.events, event{kind, name, o, deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	kind, name, hasName := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.put(w, body, kind, name, r.Method == http.MethodPost)
	case r.Method == http.MethodDelete:
		s.Remove(kind, name)
		w.WriteHeader(http.StatusOK)
	case hasName:
		s.get(w, kind, name)
	case query.Has("watch"):
		s.watch(w, r, kind, query.Get("watch"), query.Get("wait_ms"))
	default:
		s.list(w, kind, query.Get("after"))
	}
}

func (s *Store) put(w http.ResponseWriter, body []byte, kind, name string, create bool) {
	var in struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	old, exists := s.objects[kind][name]
	if create && exists || in.Metadata.Revision != 0 && old.revision != in.Metadata.Revision {
		s.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.writeLocked(kind, name, in.Spec, false)
	s.mu.Unlock()
	s.get(w, kind, name)
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, wireObject(name, o))
}

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > pageItems
	items := []any{}
	for _, name := range names[:min(len(names), pageItems)] {
		items = append(items, wireObject(name, s.objects[kind][name]))
	}
	writeJSON(w, map[string]any{"items": items, "has_more": more, "at": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind, from, wait string) {
	after, err := strconv.ParseUint(from, 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(wait)
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for timedOut := false; ; {
		s.mu.Lock()
		events, at, changed := []any{}, s.revision, s.changed
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, map[string]any{"deleted": e.deleted, "object": wireObject(e.name, e.object)})
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || timedOut {
			writeJSON(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func wireObject(name string, o object) any {
	return map[string]any{
		"metadata": map[string]any{"name": name, "revision": o.revision, "created": 1, "finalizers": []string{}, "deleting": false},
		"spec":     o.spec, "status": nil,
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
