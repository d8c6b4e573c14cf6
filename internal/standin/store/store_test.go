package store_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	protocol "github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/standin/fault"
	"github.com/dragonflypin/dragonflypin/internal/standin/store"
)

type client struct {
	t   *testing.T
	url string
}

func newClient(t *testing.T, opts store.Options) (*store.Store, client) {
	s := store.New(opts)
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, client{t, server.URL}
}

// do returns status 0 if the connection is closed without a response.
func (c client) do(method, path, value, condition string) (int, string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, c.url+path, strings.NewReader(value))
	if err != nil {
		c.t.Fatal(err)
	}
	if name, v, ok := strings.Cut(condition, ": "); ok {
		r.Header.Set(name, v)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

func (c client) want(status int, method, path, value, condition string) string {
	c.t.Helper()
	got, body := c.do(method, path, value, condition)
	if got != status {
		c.t.Fatalf("%s %s: status %d, want %d: %s", method, path, got, status, body)
	}
	return body
}

const ifAbsent = "If-None-Match: *"

// Guards against a write that overwrites a version that the writer has not read.
func TestWritesAreConditional(t *testing.T) {
	_, c := newClient(t, store.Options{})
	c.want(200, "PUT", "/objects/table/a/1", "one", ifAbsent)
	c.want(412, "PUT", "/objects/table/a/1", "two", ifAbsent)
	c.want(428, "PUT", "/objects/table/a/1", "two", "")
	c.want(412, "PUT", "/objects/table/a/1", "two", `If-Match: "7"`)
	c.want(200, "PUT", "/objects/table/a/1", "two", `If-Match: "1"`)
	if got := c.want(200, "GET", "/objects/table/a/1", "", ""); got != "two" {
		t.Fatalf("value %q", got)
	}
	c.want(412, "DELETE", "/objects/table/a/1", "", `If-Match: "1"`)
	c.want(204, "DELETE", "/objects/table/a/1", "", `If-Match: "2"`)
	c.want(404, "GET", "/objects/table/a/1", "", "")
	c.want(413, "PUT", "/objects/table/big", strings.Repeat("x", protocol.MaxValue+1), ifAbsent)
}

// Guards against a list that repeats or skips names between pages.
func TestListPages(t *testing.T) {
	_, c := newClient(t, store.Options{})
	for _, name := range []string{"b/2", "a/1", "b/1", "b/3", "c"} {
		c.want(200, "PUT", "/objects/k/"+name, name, ifAbsent)
	}
	var page protocol.ListResponse
	if err := json.Unmarshal([]byte(c.want(200, "GET", "/objects/k?prefix=b/&after=b/1&limit=1", "", "")), &page); err != nil {
		t.Fatal(err)
	}
	if len(page.Objects) != 1 || page.Objects[0].Name != "b/2" || string(page.Objects[0].Value) != "b/2" {
		t.Fatalf("page %+v", page)
	}
}

// Guards against a watch that misses a deletion, starts from an unknown revision, or is not counted while it waits.
func TestWatch(t *testing.T) {
	s, c := newClient(t, store.Options{})
	c.want(200, "PUT", "/objects/k/a", "1", ifAbsent)
	if body := c.want(200, "GET", "/watch/k?after=0", "", ""); !strings.Contains(body, `"revision":1`) {
		t.Fatalf("watch from 0: %s", body)
	}
	got := make(chan string, 1)
	go func() {
		_, body := c.do("GET", "/watch/k?after=1", "", "")
		got <- body
	}()
	for s.Calls().PendingWatches != 1 {
		time.Sleep(time.Millisecond)
	}
	c.want(204, "DELETE", "/objects/k/a", "", `If-Match: "1"`)
	if body := <-got; !strings.Contains(body, `"deleted":true`) || !strings.Contains(body, `"revision":2`) {
		t.Fatalf("watch: %s", body)
	}
	c.want(410, "GET", "/watch/k?after=99", "", "")
	if calls := s.Calls(); calls.Watches != 3 || calls.Writes != 2 {
		t.Fatalf("calls %+v", calls)
	}
}

// Guards against faults without their documented effect, and against unknown faults that are accepted.
func TestFaults(t *testing.T) {
	s, c := newClient(t, store.Options{})
	c.want(200, "PUT", "/faults", `{"lose_answers": 1}`, "")
	if status, _ := c.do("PUT", "/objects/k/a", "1", ifAbsent); status != 0 {
		t.Fatalf("lost response: status %d", status)
	}
	c.want(200, "GET", "/objects/k/a", "", "")
	c.want(400, "PUT", "/faults", `{"outages": true}`, "")
	s.Faults().Put(fault.Set{Outage: fault.Always})
	c.want(503, "PUT", "/objects/k/b", "1", ifAbsent)
	s.Faults().Put(fault.Set{DelayMs: 50})
	start := time.Now()
	c.want(404, "GET", "/objects/k/b", "", "")
	if took := time.Since(start); took < 50*time.Millisecond {
		t.Fatalf("delayed call took %v", took)
	}
}

// Guards against a store that allows more calls than the platform, or does not count throttled calls.
func TestRateLimit(t *testing.T) {
	s, c := newClient(t, store.Options{WritesPerSecond: 1})
	c.want(200, "PUT", "/objects/k/a", "1", ifAbsent)
	c.want(429, "PUT", "/objects/k/b", "1", ifAbsent)
	if calls := s.Calls(); calls.Throttled != 1 {
		t.Fatalf("calls %+v", calls)
	}
}
