package main

import (
	"context"
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

// store is a stand-in for the platform's object store.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
	// largestWatch is the size of the largest response to a watch, in bytes.
	largestWatch int
	calls        int
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

// The limits of a list, by the platform's pages.
const (
	pageObjects = 500
	pageBytes   = 1 << 20
)

func startStore() (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 10, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return s, nil
}

func (s *store) put(kind, name string, spec any) {
	data, ok := spec.(json.RawMessage)
	if !ok {
		var err error
		if data, err = json.Marshal(spec); err != nil {
			panic(err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data, false)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, nil, true)
}

// write is called with the lock.
func (s *store) write(kind, name string, spec json.RawMessage, deleted bool) object {
	s.revision++
	o := object{s.revision, spec}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	if deleted {
		delete(s.objects[kind], name)
	} else {
		s.objects[kind][name] = o
	}
	s.events = append(s.events, event{kind, name, o, deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(4 * time.Millisecond)
	w.Header().Set("Store-Era", "1")
	w.Header().Set("Content-Type", "application/json")
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.serveWrite(w, r.Method, kind, name, body)
	case r.Method == http.MethodDelete:
		s.serveDelete(w, kind, name, query.Get("revision"))
	case named:
		s.serveGet(w, kind, name)
	case query.Has("watch"):
		s.serveWatch(r.Context(), w, kind, query.Get("watch"), query.Get("wait_ms"))
	default:
		s.serveList(w, kind, query.Get("after"))
	}
}

func (s *store) serveWrite(w http.ResponseWriter, method, kind, name string, body []byte) {
	var call struct {
		Metadata struct {
			Name     string  `json:"name"`
			Revision *uint64 `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if json.Unmarshal(body, &call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = call.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	have, exists := s.objects[kind][name]
	switch {
	case method == http.MethodPost && exists, call.Metadata.Revision != nil && exists && *call.Metadata.Revision != have.revision:
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, wire(name, have))
	case method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	default:
		_, _ = io.WriteString(w, wire(name, s.write(kind, name, call.Spec, false)))
	}
}

func (s *store) serveDelete(w http.ResponseWriter, kind, name, revision string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	have, exists := s.objects[kind][name]
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case revision != "" && revision != strconv.FormatUint(have.revision, 10):
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, wire(name, have))
	default:
		s.write(kind, name, nil, true)
	}
}

func (s *store) serveGet(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	have, exists := s.objects[kind][name]
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = io.WriteString(w, wire(name, have))
}

func (s *store) serveList(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	var names, items []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	size, more := 0, false
	for _, name := range names {
		item := wire(name, s.objects[kind][name])
		if len(items) > 0 && (len(items) >= pageObjects || size+len(item) > pageBytes) {
			more = true
			break
		}
		items, size = append(items, item), size+len(item)
	}
	body := fmt.Sprintf(`{"items":[%s],"has_more":%t,"at":%d}`, strings.Join(items, ","), more, s.revision)
	s.mu.Unlock()
	_, _ = io.WriteString(w, body)
}

func (s *store) serveWatch(ctx context.Context, w http.ResponseWriter, kind, from, wait string) {
	after, err := strconv.ParseUint(from, 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(wait)
	timeout := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timeout.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		var events []string
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, fmt.Sprintf(`{"deleted":%t,"object":%s}`, e.deleted, wire(e.name, e.object)))
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || timedOut {
			body := fmt.Sprintf(`{"events":[%s],"at":%d}`, strings.Join(events, ","), at)
			s.mu.Lock()
			s.largestWatch = max(s.largestWatch, len(body))
			s.mu.Unlock()
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			_, _ = io.WriteString(w, body)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			timedOut = true
		case <-ctx.Done():
			return
		}
	}
}

func wire(name string, o object) string {
	spec := o.spec
	if len(spec) == 0 {
		spec = json.RawMessage("null")
	}
	return fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d,"created":1,"finalizers":[],"deleting":false},"spec":%s,"status":null}`, name, o.revision, spec)
}
