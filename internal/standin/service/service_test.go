package service_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/dragonflypin/dragonflypin/internal/standin/fault"
	"github.com/dragonflypin/dragonflypin/internal/standin/service"
)

// Guards against a stand-in that does not list duplicate executions, executions whose response was lost, or those of another
// replica.
func TestEveryExecutionIsListed(t *testing.T) {
	s := service.New(service.Options{})
	server := httptest.NewServer(s)
	defer server.Close()
	send := func() error {
		r, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/orders", strings.NewReader(`{"tile":"Q"}`))
		r.Header.Set("Idempotency-Key", "k1")
		resp, err := http.DefaultClient.Do(r)
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}
	if err := send(); err != nil {
		t.Fatal(err)
	}
	s.Faults().Put(fault.Set{LoseResponses: 1})
	if err := send(); err == nil {
		t.Fatal("the response was not lost")
	}
	orderLog := service.NewOrderLog("allotdesk")
	for range 2 {
		w := httptest.NewRecorder()
		service.NewReplica(service.Options{}, orderLog).ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/orders", strings.NewReader(`{}`)))
	}
	if shared := orderLog.Orders(); len(shared) != 2 || shared[1].OrderID != "allotdesk-000002" {
		t.Fatalf("replicas with shared orders: %+v", shared)
	}
	orders := s.Orders()
	if len(orders) != 2 || orders[1].IdempotencyKey != "k1" || orders[1].OrderID != "order-svc-000002" {
		t.Fatalf("orders %+v", orders)
	}
}
