// Package instances is a stand-in for the platform's instance list, which can lag behind the actual state.
package instances

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/standin/fault"
)

// States of an instance.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Instance is one element of the list.
type Instance struct {
	Instance string `json:"instance"`
	// Role is "entry" or "sidecar".
	Role    string `json:"role"`
	Service string `json:"service,omitempty"`
	Owner   string `json:"owner,omitempty"`
	// Kind is "engine" or "plain" for a sidecar.
	Kind string `json:"kind,omitempty"`
	Zone string `json:"zone"`
	// Address is the HOST:PORT where the instance accepts sessions from other dragonflypin processes.
	Address string `json:"address"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// Options configure a list.
type Options struct {
	// LagMs is the age of the returned list, in milliseconds. Default 0.
	LagMs int `json:"lag_ms" default:"0" min:"0" max:"300000" unit:"milliseconds"`
}

// maxHistoryAge bounds the age of stored snapshots, and so the lag of the list.
const maxHistoryAge = 5 * time.Minute

type snapshot struct {
	at   time.Time
	list []Instance
}

// List is the stand-in. It implements http.Handler.
type List struct {
	opts    Options
	faults  fault.Injector
	handler http.Handler

	mu      sync.Mutex
	history []snapshot
}

// New returns an empty list.
func New(opts Options) *List {
	l := &List{opts: opts, history: []snapshot{{at: time.Now()}}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", l.serveList)
	mux.HandleFunc("PUT /instances/{name}", l.servePut)
	mux.HandleFunc("DELETE /instances/{name}", l.serveDelete)
	l.handler = l.faults.Wrap(mux)
	return l
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.handler.ServeHTTP(w, r) }

// Faults returns the injected faults.
func (l *List) Faults() *fault.Injector { return &l.faults }

// Put adds or replaces an instance.
func (l *List) Put(instance Instance) {
	l.update(func(list []Instance) []Instance {
		list = without(list, instance.Instance)
		return append(list, instance)
	})
}

// Delete removes an instance.
func (l *List) Delete(name string) {
	l.update(func(list []Instance) []Instance { return without(list, name) })
}

// Get returns the list with its current lag, as GET /instances does.
func (l *List) Get() []Instance {
	lag := time.Duration(l.opts.LagMs)*time.Millisecond + l.faults.Stale()
	visible := time.Now().Add(-lag)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range slices.Backward(l.history) {
		if !s.at.After(visible) {
			return s.list
		}
	}
	return l.history[0].list
}

func (l *List) update(edit func([]Instance) []Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	list := edit(slices.Clone(l.history[len(l.history)-1].list))
	slices.SortFunc(list, func(a, b Instance) int { return cmp.Compare(a.Instance, b.Instance) })
	l.history = append(l.history, snapshot{at: now, list: list})
	old := 0
	for old < len(l.history)-1 && now.Sub(l.history[old+1].at) > maxHistoryAge {
		old++
	}
	l.history = append(l.history[:0], l.history[old:]...)
}

func without(list []Instance, name string) []Instance {
	return slices.DeleteFunc(list, func(i Instance) bool { return i.Instance == name })
}

// serveList responds with status 304 if the request's If-None-Match is the ETag of the list.
func (l *List) serveList(w http.ResponseWriter, r *http.Request) {
	list := l.Get()
	if list == nil {
		list = []Instance{}
	}
	body, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	sum := sha256.Sum256(body)
	etag := strconv.Quote(hex.EncodeToString(sum[:8]))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n'))
}

func (l *List) servePut(w http.ResponseWriter, r *http.Request) {
	var instance Instance
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&instance); err != nil {
		http.Error(w, "instance: "+err.Error(), http.StatusBadRequest)
		return
	}
	instance.Instance = r.PathValue("name")
	if instance.State == "" {
		instance.State = StateLive
	}
	if instance.State != StateLive && instance.State != StateLeaving {
		http.Error(w, "state must be live or leaving", http.StatusBadRequest)
		return
	}
	l.Put(instance)
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) serveDelete(w http.ResponseWriter, r *http.Request) {
	l.Delete(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}
