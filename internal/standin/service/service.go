// Package service is a stand-in for a plain HTTP service of orders or bookings. It does not deduplicate orders, so that duplicate
// executions are visible in GET /orders.
package service

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/settings"
	"github.com/dragonflypin/dragonflypin/internal/standin/fault"
)

// Options configure a service. Zero values select the defaults.
type Options struct {
	// Name is the prefix of every order ID. Default "order-svc".
	Name string `json:"name" default:"order-svc" format:"name"`
	// WorkMs is the processing time of an order, in milliseconds. Default 5.
	WorkMs int `json:"work_ms" default:"5" min:"1" max:"600000" unit:"milliseconds"`
}

// maxBodyBytes bounds the body of an order.
const maxBodyBytes = 1 << 20

// stockLevels is the number of different stock levels that GET /stock/ITEM returns.
const stockLevels = 100

// Order is one execution of POST /orders.
type Order struct {
	OrderID string `json:"order_id"`
	// IdempotencyKey is the value of the header Idempotency-Key.
	IdempotencyKey string `json:"idempotency_key"`
	// RequestID is the value of the header X-Request-Id.
	RequestID string          `json:"request_id,omitempty"`
	Body      json.RawMessage `json:"body,omitempty"`
}

// OrderLog records the executions of all replicas of a service, as a database shared by them would.
type OrderLog struct {
	name   string
	mu     sync.Mutex
	orders []Order
}

// NewOrderLog returns an empty OrderLog. The name is the prefix of every order ID.
func NewOrderLog(name string) *OrderLog { return &OrderLog{name: name} }

// Orders returns all executions in order.
func (l *OrderLog) Orders() []Order {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.orders)
}

func (l *OrderLog) execute(order Order) Order {
	l.mu.Lock()
	defer l.mu.Unlock()
	order.OrderID = fmt.Sprintf("%s-%06d", l.name, len(l.orders)+1)
	l.orders = append(l.orders, order)
	return order
}

// Service is the stand-in. It implements http.Handler.
type Service struct {
	opts     Options
	faults   fault.Injector
	handler  http.Handler
	orderLog *OrderLog
}

// New returns a service with one replica.
func New(opts Options) *Service {
	settings.ApplyDefaults(&opts)
	return NewReplica(opts, NewOrderLog(opts.Name))
}

// NewReplica returns one replica of a service whose replicas share an order log.
func NewReplica(opts Options, orderLog *OrderLog) *Service {
	settings.ApplyDefaults(&opts)
	s := &Service{opts: opts, orderLog: orderLog}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", s.serveOrder)
	mux.HandleFunc("GET /orders", s.serveOrders)
	mux.HandleFunc("GET /stock/{item...}", s.serveStock)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s.handler = s.faults.Wrap(mux)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Faults returns the injected faults.
func (s *Service) Faults() *fault.Injector { return &s.faults }

// Orders returns the executions of all replicas of the service in order.
func (s *Service) Orders() []Order { return s.orderLog.Orders() }

func (s *Service) serveOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, errorBody{Error: "the order exceeds 1 MiB"})
		return
	}
	if !json.Valid(body) {
		writeJSON(w, http.StatusBadRequest, errorBody{Error: "the order is not valid JSON"})
		return
	}
	order := s.orderLog.execute(Order{
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		RequestID:      r.Header.Get("X-Request-Id"),
		Body:           body,
	})
	time.Sleep(time.Duration(float64(s.opts.WorkMs) * s.faults.SlowFactor() * float64(time.Millisecond)))
	if s.faults.TakeLostResponse() {
		fault.AbortResponse()
	}
	writeJSON(w, http.StatusOK, Order{OrderID: order.OrderID, IdempotencyKey: order.IdempotencyKey})
}

func (s *Service) serveOrders(w http.ResponseWriter, _ *http.Request) {
	orders := s.Orders()
	if orders == nil {
		orders = []Order{}
	}
	writeJSON(w, http.StatusOK, orders)
}

// Stock is the response body of GET /stock/ITEM.
type Stock struct {
	Item    string `json:"item"`
	InStock int    `json:"in_stock"`
}

func (s *Service) serveStock(w http.ResponseWriter, r *http.Request) {
	item := r.PathValue("item")
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(item))
	writeJSON(w, http.StatusOK, Stock{Item: item, InStock: int(hash.Sum32() % stockLevels)})
}

type errorBody struct {
	Error string `json:"error"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
