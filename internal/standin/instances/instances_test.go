package instances_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/dragonflypin/dragonflypin/internal/standin/fault"
	"github.com/dragonflypin/dragonflypin/internal/standin/instances"
)

// Guards against a list that ignores the injected lag, and against a 304 response for a changed list.
func TestStaleList(t *testing.T) {
	l := instances.New(instances.Options{})
	server := httptest.NewServer(l)
	defer server.Close()
	call := func(method, path, body string) (int, string) {
		r, _ := http.NewRequestWithContext(t.Context(), method, server.URL+path, strings.NewReader(body))
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		text, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(text)
	}
	call(http.MethodPut, "/instances/b", `{"role":"sidecar","address":"127.0.0.1:1"}`)
	call(http.MethodPut, "/instances/a", `{"role":"entry","state":"leaving"}`)
	if status, _ := call(http.MethodPut, "/instances/c", `{"state":"gone"}`); status != http.StatusBadRequest {
		t.Fatalf("unknown state: status %d", status)
	}
	_, list := call(http.MethodGet, "/instances", "")
	if a, b := strings.Index(list, `"a"`), strings.Index(list, `"b"`); a < 0 || b < a || !strings.Contains(list, `"live"`) {
		t.Fatalf("list %s", list)
	}
	r := httptest.NewRequest(http.MethodGet, "/instances", nil)
	first := httptest.NewRecorder()
	l.ServeHTTP(first, r)
	r.Header.Set("If-None-Match", first.Header().Get("ETag"))
	for changes, want := range []int{http.StatusNotModified, http.StatusOK} {
		if changes == 1 {
			l.Put(instances.Instance{Instance: "d", State: instances.StateLive})
		}
		again := httptest.NewRecorder()
		if l.ServeHTTP(again, r); again.Code != want {
			t.Fatalf("conditional list: status %d, want %d", again.Code, want)
		}
	}
	l.Faults().Put(fault.Set{StaleMs: 60000})
	call(http.MethodDelete, "/instances/a", "")
	if _, list := call(http.MethodGet, "/instances", ""); list != "[]\n" {
		t.Fatalf("stale list %s", list)
	}
}
