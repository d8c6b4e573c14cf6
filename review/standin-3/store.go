package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is a stored object. Operator and replicas write its spec.
type object struct {
	revision uint64
	spec     json.RawMessage
}

type event struct {
	kind, name string
	revision   uint64
	spec       json.RawMessage
	deleted    bool
}

// objectStore is the platform's metadata store: linearizable, with conditional writes, lists and watches. Its history is kept whole.
type objectStore struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
	server   *http.Server
	address  string
	// turnedAway has the addresses at which each call gets 503.
	turnedAway map[string]bool
}

func newStore(address string) (*objectStore, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &objectStore{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{}), address: address, turnedAway: map[string]bool{}}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// listen makes the store serve at one more address, so that it can turn one machine away and serve the others.
func (s *objectStore) listen(address string) error {
	l, err := net.Listen("tcp4", address)
	if err == nil {
		go func() { _ = s.server.Serve(l) }()
	}
	return err
}

// turnAway makes the store refuse all calls at an address, or serve them again.
func (s *objectStore) turnAway(address string, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnedAway[address] = refuse
}

// put writes an object.
func (s *objectStore) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data, false)
}

func (s *objectStore) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[kind][name]; ok {
		s.write(kind, name, nil, true)
	}
}

func (s *objectStore) write(kind, name string, spec json.RawMessage, deleted bool) {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	if deleted {
		delete(s.objects[kind], name)
	} else {
		s.objects[kind][name] = object{s.revision, spec}
	}
	s.events = append(s.events, event{kind, name, s.revision, spec, deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

func encode(name string, revision uint64, spec json.RawMessage) string {
	if len(spec) == 0 {
		spec = json.RawMessage("null")
	}
	return fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d,"created":1,"finalizers":[],"deleting":false},"spec":%s,"status":null}`, name, revision, spec)
}

// ServeHTTP implements http.Handler.
func (s *objectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	s.mu.Lock()
	refused := s.turnedAway[r.Host]
	s.mu.Unlock()
	if refused {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	query := r.URL.Query()
	time.Sleep(4 * time.Millisecond) // the time of an answer, by the sheet
	switch {
	case r.Method == http.MethodGet && named:
		s.get(w, kind, name)
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind, query.Get("watch"), query.Get("wait_ms"))
	case r.Method == http.MethodGet:
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.change(w, kind, name, body, r.Method == http.MethodPost)
	case r.Method == http.MethodDelete:
		s.mu.Lock()
		defer s.mu.Unlock()
		o, ok := s.objects[kind][name]
		switch want := query.Get("revision"); {
		case !ok:
			w.WriteHeader(http.StatusNotFound)
		case want != "" && want != strconv.FormatUint(o.revision, 10):
			w.WriteHeader(http.StatusConflict)
			_, _ = io.WriteString(w, encode(name, o.revision, o.spec))
		default:
			s.write(kind, name, nil, true)
			_, _ = io.WriteString(w, "{}")
		}
	}
}

func (s *objectStore) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = io.WriteString(w, encode(name, o.revision, o.spec))
}

func (s *objectStore) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	_, _ = io.WriteString(w, `{"items":[`)
	bytes, more := 0, false
	for n, name := range names {
		if more = n > 0 && (n >= maxPageObjects || bytes >= maxPageBytes); more {
			break
		}
		o := s.objects[kind][name]
		bytes += len(o.spec)
		if n > 0 {
			_, _ = io.WriteString(w, ",")
		}
		_, _ = io.WriteString(w, encode(name, o.revision, o.spec))
	}
	_, _ = fmt.Fprintf(w, `],"has_more":%t,"at":%d}`, more, s.revision)
}

// Bounds of a page of a list: "about 500 or 1 MB at most".
const maxPageObjects, maxPageBytes = 500, 1_000_000

func (s *objectStore) watch(w http.ResponseWriter, r *http.Request, kind, from, wait string) {
	after, _ := strconv.ParseUint(from, 10, 64)
	waitMs, _ := strconv.Atoi(wait)
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	for timedOut := false; ; {
		s.mu.Lock()
		var events []event
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || timedOut {
			_, _ = io.WriteString(w, `{"events":[`)
			for n, e := range events {
				if n > 0 {
					_, _ = io.WriteString(w, ",")
				}
				if _, err := fmt.Fprintf(w, `{"deleted":%t,"object":%s}`, e.deleted, encode(e.name, e.revision, e.spec)); err != nil {
					return
				}
			}
			_, _ = fmt.Fprintf(w, `],"at":%d}`, at)
			return
		}
		select {
		case <-changed:
		case <-end:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *objectStore) change(w http.ResponseWriter, kind, name string, body []byte, create bool) {
	var o struct {
		Metadata struct {
			Name     string  `json:"name"`
			Revision *uint64 `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if create {
		name = o.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	have, exists := s.objects[kind][name]
	switch {
	case create && exists, !create && exists && o.Metadata.Revision != nil && *o.Metadata.Revision != have.revision:
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, encode(name, have.revision, have.spec))
		return
	case !create && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.write(kind, name, o.Spec, false)
	written := s.objects[kind][name]
	_, _ = io.WriteString(w, encode(name, written.revision, written.spec))
}
