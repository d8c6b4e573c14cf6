package cli

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against commands that call a path which the operator API does not have, or omit parts of its response.
func TestOperatorCommands(t *testing.T) {
	file := filepath.Join(t.TempDir(), "table.csv")
	if err := os.WriteFile(file, []byte("class,weight\nchat,3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	conflict := `{"error":{"message":"2 rows conflict","code":"conflict"},"conflicts":[{"class":"chat","author":"furano","version":9}]}`
	cases := []struct {
		args, request, response, out, err string
		status, exit                      int
	}{
		{args: "table get", request: "GET /table?format=csv ", response: "class\nchat\n", out: "class\nchat\n"},
		{args: "table get --json", request: "GET /table?format=json ", response: `{"version":1}`, out: "{\n  \"version\": 1\n}\n"},
		{args: "table check " + file, request: "POST /table/check class,weight", response: `{"valid":true}`, out: "valid: true\n"},
		{args: "table apply " + file + " --base 8 --reason more", request: "POST /table/apply?base=8&edit=", response: `{"version":9}`, out: "version: 9\n"},
		{args: "table apply " + file + " --base 8", request: "POST /table/apply?base=8&edit=", status: 409, exit: 1, response: conflict,
			err: "conflict: 2 rows conflict\nconflicts:\nclass  author  version\nchat   furano  9\n"},
		{args: "table history", request: "GET /table/history ", response: `[{"version":1,"reason":"a\u001bb"}]`, out: "version  reason\n1        a b\n"},
		{args: "table diff 1 2", request: "GET /table/diff?a=1&b=2 ", response: `[]`, out: "none\n"},
		{args: "usage show", request: "GET /usage ", response: `{"totals":[],"bills":[{"owner":"furano","prompt_tokens":3}]}`,
			out: "totals: none\nbills:\nowner   prompt_tokens\nfurano  3\n"},
		{args: "usage verify --json", request: "GET /usage/verify ", response: `{"problems":[]}`, out: "{\n  \"problems\": []\n}\n"},
		{args: "usage verify", request: "GET /usage/verify ", response: `{"problems":[{"kind":"changed","seq":4}]}`, exit: 1,
			out: "problems:\nkind     seq\nchanged  4\n", err: "the usage record is not valid: first problem: {\"kind\":\"changed\",\"seq\":4}\n"},
		{args: "usage keys", request: "GET /usage/keys ", response: `{"e.1":"AAAA"}`, out: "{\n  \"e.1\": \"AAAA\"\n}\n"},
		{args: "usage export", request: "GET /usage/export ", response: "a,b\n", out: "a,b\n"},
		{args: "status", request: "GET /status ", response: `{"table":{"version":3},"zones":["a","b"]}`, out: "table.version: 3\nzones: a, b\n"},
		{args: "explain r/1", request: "GET /explain/r%2F1 ", status: 404, exit: 1, response: "no such request", err: "the operator API returned status 404: no such request\n"},
	}
	for _, c := range cases {
		t.Run(c.args, func(t *testing.T) {
			var request string
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				request = r.Method + " " + r.URL.RequestURI() + " " + string(body)
				if r.Header.Get("Authorization") != "Bearer k1" {
					w.WriteHeader(http.StatusUnauthorized)
				}
				if c.status != 0 {
					w.WriteHeader(c.status)
				}
				_, _ = io.WriteString(w, c.response)
			}))
			defer server.Close()
			t.Setenv("DRAGONFLYPIN_SERVER", server.URL)
			t.Setenv("DRAGONFLYPIN_KEY", "k1")
			var out, errOut strings.Builder
			exit := Run(strings.Fields(c.args), &out, &errOut)
			if !strings.HasPrefix(request, c.request) || exit != c.exit || out.String() != c.out || errOut.String() != c.err {
				t.Fatalf("request %q, exit %d, out %q, err %q", request, exit, out.String(), errOut.String())
			}
		})
	}
}

// Guards against an edit that is sent again with a new edit ID after its response was lost, and against a retry of an edit
// that was rejected.
func TestApplyAfterLostResponse(t *testing.T) {
	file := filepath.Join(t.TempDir(), "table.csv")
	if err := os.WriteFile(file, []byte("class,weight\nchat,3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, second := range []int{http.StatusOK, http.StatusConflict} {
		var requests []string
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			requests = append(requests, r.URL.RequestURI()+" "+string(body))
			switch len(requests) {
			case 1:
				panic(http.ErrAbortHandler)
			case 2:
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, `{"error":{"code":"outcome_unknown","message":"?"}}`)
			default:
				w.WriteHeader(second)
				_, _ = io.WriteString(w, `{"version":4}`)
			}
		}))
		var out, errOut strings.Builder
		exit := Run([]string{"table", "apply", file, "--base", "3", "--reason", "more", "--server", server.URL, "--key", "k"}, &out, &errOut)
		server.Close()
		if len(requests) != 3 || requests[0] != requests[1] || requests[1] != requests[2] || !strings.Contains(requests[0], "&reason=more class,weight\nchat,3\n") {
			t.Fatalf("requests %q", requests)
		}
		if (exit == exitDone) != (second == http.StatusOK) {
			t.Fatalf("exit %d after status %d: %s", exit, second, errOut.String())
		}
	}
}

// Guards against a large usage export that is truncated without an error.
func TestReadBounded(t *testing.T) {
	if body, err := readBounded(strings.NewReader("abc"), 3); err != nil || string(body) != "abc" {
		t.Errorf("response at the limit: %q, %v", body, err)
	}
	if _, err := readBounded(strings.NewReader("abcd"), 3); err == nil {
		t.Error("a response above the limit was truncated without an error")
	}
}
