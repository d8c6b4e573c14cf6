package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/dragonflypin/dragonflypin/internal/process/store/storetest"
	"github.com/dragonflypin/dragonflypin/internal/process/usage"
	"github.com/dragonflypin/dragonflypin/internal/version/directory"
	"github.com/dragonflypin/dragonflypin/internal/version/table"
)

var _ Usage = (*usage.Reader)(nil)

type fixture struct {
	*API
	store    *storetest.Memory
	follower *table.Follower
}

type noPeers struct{}

func (noPeers) Call(context.Context, string, string, []byte) ([]byte, error) { return nil, io.EOF }
func (noPeers) Members() []table.Member                                      { return nil }
func (noPeers) Announce([]string, uint64)                                    {}

type explainer struct{}

func (explainer) Explain(_ context.Context, id string) (any, error) {
	if id != "known" {
		return nil, fmt.Errorf("%q: %w", id, ErrNotFound)
	}
	return map[string]string{"class": "chat"}, nil
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{store: storetest.New()}
	f.follower = table.NewFollower(table.FollowerOptions{Instance: "e", Client: f.store, Peers: noPeers{}})
	index := directory.NewIndex(&directory.Directory{Operators: []directory.Operator{
		{Owner: "jadestone", KeySHA256: directory.HashKey("j")}, {Owner: "furano", KeySHA256: directory.HashKey("f")},
	}})
	f.API = New(Options{
		Directory: func() *directory.Index { return index }, Current: f.follower.Current,
		Publisher: table.NewPublisher(f.store, f.follower.Current, f.follower.Offer), Log: table.Log{Client: f.store}, Explain: explainer{},
	})
	if status, body := f.call("j", "POST", "/table/apply?base=0&reason=first", csv("chat,jadestone,false,2,3", "draft,jadestone,true,4,1")); status != 200 {
		t.Fatalf("%d %s", status, body)
	}
	if status, body := f.call("f", "POST", "/table/apply?base=1&reason=second",
		csv("cert,furano,false,1,5", "chat,jadestone,false,2,3", "draft,jadestone,true,4,1")); status != 200 {
		t.Fatalf("%d %s", status, body)
	}
	return f
}

// csv returns a table whose rows are given by their first five columns.
func csv(rows ...string) string {
	text := strings.Join(table.Columns(), ",") + "\n"
	for _, row := range rows {
		text += row + ",false,600ms,0s,0s,0,0,0,0s,false\n"
	}
	return text
}

func (f *fixture) call(key, method, target, body string) (int, string) {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

// Guards against responses that lack what an operator needs: who changed what, which line and column is invalid, and
// whether to retry.
func TestResponses(t *testing.T) {
	all := []string{"cert,furano,false,1,5", "chat,jadestone,false,2,3", "draft,jadestone,true,4,1"}
	with := func(i int, row string) string {
		rows := append([]string(nil), all...)
		rows[i] = row
		return csv(rows...)
	}
	f := newFixture(t)
	for _, test := range []struct {
		key, request, body string
		status             int
		want               []string
	}{
		{"", "GET /table", "", 401, []string{`"code":"invalid_key"`}},
		{"wrong", "GET /table", "", 401, []string{`"code":"invalid_key"`}},
		{"j", "GET /table", "", 200, []string{"class,owner,shared", "\ncert,furano,false,1,5,false,600ms"}},
		{"j", "GET /table?format=json", "", 200, []string{`"version":2`, `"rows":[{"class":"cert"`}},
		{"j", "GET /table?version=1", "", 200, []string{"chat,jadestone"}},
		{"j", "GET /table?version=9", "", 404, []string{`"code":"version_not_found"`}},
		{"j", "GET /table?version=x", "", 400, []string{`value \"x\" is not allowed`}},
		{"j", "POST /table/check", with(1, "chat,jadestone,false,2,9"), 200, []string{`"valid":true`, `"version":3`, `"columns":["weight"]`}},
		{"j", "POST /table/check", csv(all...), 200, []string{`"changes":[]`}},
		{"j", "POST /table/check", with(1, "chat,jadestone,false,2,9000"), 400, []string{`"code":"invalid_table"`, `"line":3`, `"column":"weight"`, `"value":"9000"`}},
		{"j", "POST /table/check", strings.Repeat("x", table.MaxInputBytes+1), 413, []string{`"code":"body_too_large"`}},
		{"j", "POST /table/apply", csv(all...), 400, []string{"parameter base is missing"}},
		{"j", "POST /table/apply?base=2", csv(all...), 200, []string{`"changed":false`}},
		{"j", "POST /table/apply?base=2", with(0, "cert,furano,false,1,9"), 403, []string{`"code":"not_owner"`, `"refused":[{"class":"cert"`}},
		{"j", "POST /table/apply?base=7", csv(all...), 404, []string{`"code":"version_not_found"`}},
		{"j", "POST /table/apply?base=2&reason=sale", with(1, "chat,jadestone,false,2,9"), 200, []string{`"version":3`, `"author":"jadestone"`}},
		{"f", "POST /table/apply?base=2&reason=harvest", with(0, "cert,furano,false,1,9"), 200, []string{`"version":4`, `"author":"furano"`}},
		{"f", "POST /table/apply?base=3", with(2, "draft,jadestone,true,4,8"), 403, []string{`"not_owner"`}}, // its other rows are based on version 2
		{"j", "POST /table/apply?base=2", with(1, "chat,jadestone,false,2,10"), 409,
			[]string{`"conflicts":[{"class":"chat","version":3,"author":"jadestone"`, `"reason":"sale"`}},
		{"f", "GET /table/history?limit=2", "", 200, []string{`[{"version":4,"author":"furano"`, `"reason":"harvest"`, `"version":3`}},
		{"f", "GET /table/history?before=3", "", 200, []string{`[{"version":2,"author":"furano"`, `"version":1`}},
		{"f", "GET /table/history?limit=1000", "", 400, []string{"allowed: 1 to 400"}},
		{"f", "GET /table/diff?a=2&b=4", "", 200, []string{`{"class":"cert","kind":"changed","columns":["weight"]`, `"class":"chat"`}},
		{"f", "GET /table/diff?a=2", "", 400, []string{"a and b"}},
		{"f", "GET /explain/known", "", 200, []string{`"class":"chat"`}},
		{"f", "GET /explain/other", "", 404, []string{`"code":"not_found"`}},
		{"f", "GET /usage", "", 404, []string{"not served here"}},
		{"f", "GET /usage/keys", "", 404, []string{"not served here"}},
		{"wrong", "GET /usage/keys", "", 401, []string{`"code":"invalid_key"`}},
		{"f", "DELETE /table", "", 404, []string{"DELETE /table is not part of the operator API"}},
	} {
		method, target, _ := strings.Cut(test.request, " ")
		status, body := f.call(test.key, method, target, test.body)
		if status != test.status {
			t.Errorf("%s as %q: status %d, want %d: %s", test.request, test.key, status, test.status, body)
		}
		for _, want := range test.want {
			if !strings.Contains(body, want) {
				t.Errorf("%s as %q: %s does not contain %s", test.request, test.key, body, want)
			}
		}
	}
}

// Guards against a store outage that is reported as a rejected request, and against a table in force that cannot be read
// during the outage.
func TestStoreOutage(t *testing.T) {
	f := newFixture(t)
	f.store.SetFaults(storetest.Faults{Outage: true})
	if status, body := f.call("j", "GET", "/table", ""); status != http.StatusOK {
		t.Errorf("read of the table in force: %d %s", status, body)
	}
	status, body := f.call("j", "GET", "/table?version=1", "")
	if status != http.StatusServiceUnavailable || !strings.Contains(body, codeStoreUnavailable) {
		t.Errorf("read of an old version: %d %s", status, body)
	}
	f.store.SetFaults(storetest.Faults{})
}

// Guards against an edit whose outcome the operator cannot determine after the store's response was lost.
func TestUnknownOutcomeReturnsEditID(t *testing.T) {
	f := newFixture(t)
	f.store.SetFaults(storetest.Faults{LoseRequests: true})
	ctx, cancel := context.WithTimeout(t.Context(), 200*1e6)
	defer cancel()
	r := httptest.NewRequest("POST", "/table/apply?base=2", strings.NewReader(csv("cert,furano,false,1,5", "chat,jadestone,false,2,8", "draft,jadestone,true,4,1")))
	r.Header.Set("Authorization", "Bearer j")
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r.WithContext(ctx))
	var response errorResponse
	if err := json.Unmarshal(w.Body.Bytes(), &response); err != nil {
		t.Fatal(err)
	}
	if w.Code != http.StatusServiceUnavailable || response.Error.Code != codeOutcomeUnknown || response.Edit == "" || w.Header().Get("Retry-After") == "" {
		t.Errorf("%d %s", w.Code, w.Body)
	}
}
