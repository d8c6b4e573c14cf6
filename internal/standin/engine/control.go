package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// stream is one request that is waiting, running or paused.
type stream struct {
	id  string
	run *Run
	// hasSlot is only used by the goroutine that serves the stream.
	hasSlot bool

	mu sync.Mutex
	// resumed is closed when the paused stream resumes; nil if it is not paused.
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

// resumeChannel returns a channel that is closed when the paused stream resumes, or nil if it is not paused.
func (s *stream) resumeChannel() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resumed
}

func (e *Engine) startStream(id string) *stream {
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

func (e *Engine) endStream(s *stream, err error) {
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

func (e *Engine) countToken(s *stream) {
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

func (e *Engine) control(w http.ResponseWriter, r *http.Request, action func(*stream)) {
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if s == nil {
		writeError(w, http.StatusNotFound, "no such stream")
		return
	}
	action(s)
	w.WriteHeader(http.StatusNoContent)
}

// Load is the body of GET /engine/load.
type Load struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Paused  int `json:"paused"`
	// TokensPerSecond is the decode speed of each stream.
	TokensPerSecond float64  `json:"tokens_per_second"`
	CacheTokens     int      `json:"cache_tokens"`
	CacheLimit      int      `json:"cache_limit"`
	Models          []string `json:"models"`
	Role            string   `json:"role"`
	// AgeMs is the age of the report, in milliseconds.
	AgeMs int64 `json:"age_ms"`
	at    time.Time
}

// loadHistory stores recent loads, so that a report can lag behind the current load.
type loadHistory struct {
	mu    sync.Mutex
	loads []Load
}

// maxLoadAge bounds the age of stored loads, and so the lag of a report.
const maxLoadAge = time.Minute

func (h *loadHistory) add(load Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loads = append(h.loads, load)
	old := 0
	for old < len(h.loads)-1 && load.at.Sub(h.loads[old+1].at) > maxLoadAge {
		old++
	}
	h.loads = append(h.loads[:0], h.loads[old:]...)
}

// at returns the load at a time, or the oldest stored load if the time is before it.
func (h *loadHistory) at(when time.Time) Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, load := range slices.Backward(h.loads) {
		if !load.at.After(when) {
			return load
		}
	}
	return h.loads[0]
}

func (e *Engine) recordLoad() {
	load := Load{
		Slots: e.opts.Slots, Running: e.batch.usedSlots(), Waiting: e.batch.waitingCount(),
		TokensPerSecond: float64(time.Second) / float64(e.decodeInterval()),
		CacheTokens:     e.cache.usedTokens(), CacheLimit: e.opts.CacheTokens,
	}
	e.mu.Lock()
	load.Models, load.Role = slices.Clone(e.models), e.role
	for _, s := range e.streams {
		if s.resumeChannel() != nil {
			load.Paused++
		}
	}
	e.mu.Unlock()
	load.at = time.Now()
	e.loads.add(load)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	lag := max(time.Duration(e.opts.LoadLagMs)*time.Millisecond, 0) + e.faults.Stale()
	load := e.loads.at(now.Add(-lag))
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
	writeJSON(w, http.StatusOK, e.cache.eventsAfter(after, lag))
}

// Values of Order.Order.
const (
	OrderLoadModel   = "load_model"
	OrderUnloadModel = "unload_model"
	OrderLoadAdapter = "load_adapter"
	OrderSetRole     = "set_role"
)

// Order is the request body of POST /engine/orders.
type Order struct {
	Order   string `json:"order"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	Fence   uint64 `json:"fence"`
}

// OrderResponse is the response body of POST /engine/orders.
type OrderResponse struct {
	Accepted bool `json:"accepted"`
	// Fence is the highest fencing number received.
	Fence uint64 `json:"fence"`
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, "body is not a valid order")
		return
	}
	orders := []string{OrderLoadModel, OrderUnloadModel, OrderLoadAdapter, OrderSetRole}
	if !slices.Contains(orders, order.Order) {
		writeError(w, http.StatusBadRequest, "unknown order "+strconv.Quote(order.Order))
		return
	}
	fence, accepted := e.accept(order)
	if !accepted {
		writeJSON(w, http.StatusConflict, OrderResponse{Fence: fence})
		return
	}
	e.apply(order)
	if e.faults.TakeLostResponse() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, OrderResponse{Accepted: true, Fence: fence})
}

// accept records an order, unless the engine checks fencing numbers and has received a higher one. It returns the highest
// fencing number received.
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
	e.recordLoad()
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
