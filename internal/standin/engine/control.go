package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// stream is one request in the engine.
type stream struct {
	id  string
	run *Run
	// held tells whether the stream has a place in the batch; only its own goroutine uses it.
	held bool

	mu      sync.Mutex
	resumed chan struct{}
}

func (s *stream) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed == nil {
		s.resumed = make(chan struct{})
	}
}

func (s *stream) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed != nil {
		close(s.resumed)
		s.resumed = nil
	}
}

// waitChannel returns the channel that a paused stream waits on, or nil.
func (s *stream) waitChannel() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resumed
}

func (e *Engine) open(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &stream{id: id, run: &Run{RequestID: id, State: "running"}}
	e.streams[id] = s
	if len(e.runs) == maxRuns {
		e.runs = append(e.runs[:0], e.runs[1:]...)
	}
	e.runs = append(e.runs, s.run)
	return s
}

func (e *Engine) close(s *stream, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.run.State = "completed"
	if err != nil {
		s.run.State = "cancelled"
	}
	if e.streams[s.id] == s {
		delete(e.streams, s.id)
	}
}

func (e *Engine) count(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.run.Tokens++
}

func (e *Engine) servePause(w http.ResponseWriter, r *http.Request) {
	e.control(w, r, (*stream).pause)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	e.control(w, r, (*stream).resume)
}

func (e *Engine) control(w http.ResponseWriter, r *http.Request, act func(*stream)) {
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if s == nil {
		writeError(w, http.StatusNotFound, "no such stream")
		return
	}
	act(s)
	w.WriteHeader(http.StatusNoContent)
}

// Load is the body of GET /engine/load.
type Load struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Paused  int `json:"paused"`
	// TokensPerSecond is the pace of one stream.
	TokensPerSecond float64  `json:"tokens_per_second"`
	CacheTokens     int      `json:"cache_tokens"`
	CacheLimit      int      `json:"cache_limit"`
	Models          []string `json:"models"`
	Role            string   `json:"role"`
	// AgeMs is the age of the report, in milliseconds.
	AgeMs int64 `json:"age_ms"`
	at    time.Time
}

// reports keeps the load over time, so that an old state can be reported.
type reports struct {
	mu   sync.Mutex
	list []Load
}

// reportKeep bounds how old a report can get.
const reportKeep = time.Minute

func (p *reports) add(load Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, load)
	old := 0
	for old < len(p.list)-1 && load.at.Sub(p.list[old+1].at) > reportKeep {
		old++
	}
	p.list = append(p.list[:0], p.list[old:]...)
}

// at returns the state that was in force at a time, or the oldest one.
func (p *reports) at(when time.Time) Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, load := range slices.Backward(p.list) {
		if !load.at.After(when) {
			return load
		}
	}
	return p.list[0]
}

func (e *Engine) report() {
	load := Load{
		Slots: e.opts.Slots, Running: e.batch.running(), Waiting: e.batch.queued(),
		TokensPerSecond: float64(time.Second) / float64(e.step()),
		CacheTokens:     e.cache.used(), CacheLimit: e.opts.CacheTokens,
	}
	e.mu.Lock()
	load.Models, load.Role = slices.Clone(e.models), e.role
	for _, s := range e.streams {
		if s.waitChannel() != nil {
			load.Paused++
		}
	}
	e.mu.Unlock()
	load.at = time.Now()
	e.reports.add(load)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	lag := max(time.Duration(e.opts.LoadLagMs)*time.Millisecond, 0) + e.faults.Stale()
	load := e.reports.at(now.Add(-lag))
	load.AgeMs = lag.Milliseconds()
	writeJSON(w, http.StatusOK, load)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil && r.FormValue("after") != "" {
		writeError(w, http.StatusBadRequest, "after must be an event number")
		return
	}
	lag := max(time.Duration(e.opts.EventLagMs)*time.Millisecond, 0) + e.faults.Stale()
	writeJSON(w, http.StatusOK, e.cache.after(after, lag))
}

// Orders of an engine.
const (
	OrderLoadModel   = "load_model"
	OrderUnloadModel = "unload_model"
	OrderLoadAdapter = "load_adapter"
	OrderSetRole     = "set_role"
)

// Order is the body of POST /engine/orders.
type Order struct {
	Order   string `json:"order"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	Fence   uint64 `json:"fence"`
}

// OrderAnswer is the answer to an order.
type OrderAnswer struct {
	Accepted bool `json:"accepted"`
	// Fence is the highest fencing number seen.
	Fence uint64 `json:"fence"`
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, "body is not a valid order")
		return
	}
	known := []string{OrderLoadModel, OrderUnloadModel, OrderLoadAdapter, OrderSetRole}
	if !slices.Contains(known, order.Order) {
		writeError(w, http.StatusBadRequest, "unknown order "+strconv.Quote(order.Order))
		return
	}
	fence, accepted := e.accept(order)
	if !accepted {
		writeJSON(w, http.StatusConflict, OrderAnswer{Fence: fence})
		return
	}
	e.apply(order)
	if e.faults.TakeLoss() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, OrderAnswer{Accepted: true, Fence: fence})
}

// accept records an order unless the engine checks fencing numbers and has seen a higher one.
func (e *Engine) accept(order Order) (uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFence && order.Fence < e.fence {
		return e.fence, false
	}
	e.fence = max(e.fence, order.Fence)
	e.orders = append(e.orders, order)
	return e.fence, true
}

func (e *Engine) apply(order Order) {
	if order.Order == OrderLoadModel {
		time.Sleep(time.Duration(float64(e.opts.LoadModelMs) * e.faults.SlowFactor() * float64(time.Millisecond)))
	}
	e.mu.Lock()
	switch order.Order {
	case OrderLoadModel:
		if !slices.Contains(e.models, order.Model) {
			e.models = append(e.models, order.Model)
		}
	case OrderUnloadModel:
		e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == order.Model })
	case OrderSetRole:
		e.role = order.Role
	}
	e.mu.Unlock()
	e.report()
}

func (e *Engine) serveOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	orders := slices.Clone(e.orders)
	e.mu.Unlock()
	if orders == nil {
		orders = []Order{}
	}
	writeJSON(w, http.StatusOK, orders)
}

func (e *Engine) serveRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Runs())
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := modelList{Object: "list", Data: []modelInfo{}}
	for _, m := range e.models {
		list.Data = append(list.Data, modelInfo{ID: m, Object: "model", OwnedBy: e.opts.Name})
	}
	writeJSON(w, http.StatusOK, list)
}
