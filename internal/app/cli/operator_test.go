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

// Guards against commands that call another path than the operator API has, or drop parts of its answer.
func TestOperatorCommands(t *testing.T) {
	file := filepath.Join(t.TempDir(), "table.csv")
	if err := os.WriteFile(file, []byte("class,weight\nchat,3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	conflict := `{"error":{"message":"2 rows conflict","code":"conflict"},"conflicts":[{"class":"chat","author":"furano","version":9}]}`
	cases := []struct {
		args, request, answer, out, err string
		status, exit                    int
	}{
		{args: "table get", request: "GET /table?format=csv ", answer: "class\nchat\n", out: "class\nchat\n"},
		{args: "table get --json", request: "GET /table?format=json ", answer: `{"version":1}`, out: "{\n  \"version\": 1\n}\n"},
		{args: "table check " + file, request: "POST /table/check class,weight", answer: `{"valid":true}`, out: "valid: true\n"},
		{args: "table apply " + file + " --base 8 --reason more", request: "POST /table/apply?base=8&edit=", answer: `{"version":9}`, out: "version: 9\n"},
		{args: "table apply " + file + " --base 8", request: "POST /table/apply?base=8&edit=", status: 409, exit: 1, answer: conflict,
			err: "conflict: 2 rows conflict\nconflicts:\nclass  author  version\nchat   furano  9\n"},
		{args: "table history", request: "GET /table/history ", answer: `[{"version":1,"reason":"a\u001bb"}]`, out: "version  reason\n1        a b\n"},
		{args: "table diff 1 2", request: "GET /table/diff?a=1&b=2 ", answer: `[]`, out: "none\n"},
		{args: "usage show", request: "GET /usage ", answer: `{"totals":[],"bills":[{"owner":"furano","prompt_tokens":3}]}`,
			out: "totals: none\nbills:\nowner   prompt_tokens\nfurano  3\n"},
		{args: "usage verify --json", request: "GET /usage/verify ", answer: `{"problems":[]}`, out: "{\n  \"problems\": []\n}\n"},
		{args: "usage verify", request: "GET /usage/verify ", answer: `{"problems":[{"kind":"changed","seq":4}]}`, exit: 1,
			out: "problems:\nkind     seq\nchanged  4\n", err: "the usage record is not valid: first problem: {\"kind\":\"changed\",\"seq\":4}\n"},
		{args: "usage keys", request: "GET /usage/keys ", answer: `{"e.1":"AAAA"}`, out: "{\n  \"e.1\": \"AAAA\"\n}\n"},
		{args: "usage export", request: "GET /usage/export ", answer: "a,b\n", out: "a,b\n"},
		{args: "status", request: "GET /status ", answer: `{"table":{"version":3},"zones":["a","b"]}`, out: "table.version: 3\nzones: a, b\n"},
		{args: "explain r/1", request: "GET /explain/r%2F1 ", status: 404, exit: 1, answer: "no such request", err: "the operator API answered 404: no such request\n"},
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
				_, _ = io.WriteString(w, c.answer)
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

// Guards against an edit that is sent as a new one when the answer to the first was lost, and against a repetition of an
// edit that was refused.
func TestApplyAfterLostAnswer(t *testing.T) {
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

// Guards against a long usage export that is cut without an error.
func TestAnswerIsNotCut(t *testing.T) {
	if body, err := readBounded(strings.NewReader("abc"), 3); err != nil || string(body) != "abc" {
		t.Errorf("answer at the bound: %q, %v", body, err)
	}
	if _, err := readBounded(strings.NewReader("abcd"), 3); err == nil {
		t.Error("a longer answer was cut without an error")
	}
}
