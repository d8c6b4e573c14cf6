package metrics_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/metrics"
)

// Guards against recorded metrics that are not exposed, or that have another name or other labels.
func TestExposition(t *testing.T) {
	m, err := metrics.New("entry", "entry-1", "tw-central-a")
	if err != nil {
		t.Fatal(err)
	}
	m.Ended(metrics.Request{Class: "draft", Outcome: "completed", Duration: time.Second, FirstToken: 300 * time.Millisecond})
	m.TokenGap("draft", 20*time.Millisecond)
	m.Enqueued("draft")
	m.Enqueued("draft")
	m.Dequeued("draft", time.Millisecond)
	m.Ended(metrics.Request{Class: "draft", Outcome: "not_run", Code: "saturated", Duration: time.Millisecond})
	m.StoreCall("get", "ok", time.Millisecond)
	m.Sessions("sidecar", 2)
	m.Tokens("draft", 30, 4)
	m.TableVersion(7)
	m.StoreEra(3)
	m.Decision(time.Microsecond)
	one := func(reason string, n int64) func(func(string, int64)) {
		return func(f func(string, int64)) { f(reason, n) }
	}
	err = m.UpstreamConnections(one("first", 3), one("expired", 2), one("stopping", 4))
	if err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`dragonflypin_requests_total{class="draft",code="",outcome="completed"} 1`,
		`dragonflypin_requests_total{class="draft",code="saturated",outcome="not_run"} 1`,
		`dragonflypin_request_duration_seconds_count{class="draft",outcome="completed"} 1`,
		`dragonflypin_time_to_first_token_seconds_bucket{class="draft",outcome="completed",le="0.4"} 1`,
		`dragonflypin_token_gap_seconds_count{class="draft"} 1`,
		`dragonflypin_queue_length{class="draft"} 1`,
		`dragonflypin_queue_wait_seconds_count{class="draft"} 1`,
		`dragonflypin_refusals_total{class="draft",reason="saturated"} 1`,
		`dragonflypin_store_calls_total{operation="get",result="ok"} 1`,
		`dragonflypin_sessions{role="sidecar"} 2`,
		`dragonflypin_tokens_total{class="draft",use="useful"} 30`,
		`dragonflypin_tokens_total{class="draft",use="wasted"} 4`,
		`dragonflypin_table_version 7`,
		`dragonflypin_store_era 3`,
		`dragonflypin_routing_decision_seconds_count 1`,
		`dragonflypin_upstream_connections_opened_total{reason="first"} 3`,
		`dragonflypin_upstream_connections_closed_total{reason="expired"} 2`,
		`dragonflypin_upstream_bodies_unframed_total{reason="stopping"} 4`,
	} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("missing %s", want)
		}
	}
	if t.Failed() {
		t.Log(w.Body.String())
	}
}

// Guards against a panic in a process that runs without metrics, with a nil *Metrics.
func TestNilMetricsDoNotPanic(_ *testing.T) {
	var m *metrics.Metrics
	m.Ended(metrics.Request{})
	m.Tokens("x", 1, 1)
	m.Sessions("entry", 1)
}
