package entry_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/app/entry"
	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/process/usage"
	"github.com/dragonflypin/dragonflypin/internal/request/outcome"
	"github.com/dragonflypin/dragonflypin/internal/standin/engine"
)

// response is the response that a caller receives.
type response struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error
}

func (resp *response) outcome() string {
	if o := resp.header.Get(outcome.HeaderOutcome); o != "" {
		return o
	}
	return resp.trailer.Get(outcome.HeaderOutcome)
}

func (resp *response) code() string {
	var e struct {
		Error struct{ Code string }
	}
	_ = json.Unmarshal([]byte(resp.body), &e)
	return e.Error.Code
}

// text returns the joined content of a streamed response.
func (resp *response) text() string {
	var b strings.Builder
	for line := range strings.Lines(resp.body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var c struct {
			Choices []struct {
				Text  string
				Delta struct{ Content string }
			}
		}
		_ = json.Unmarshal([]byte(data), &c)
		for _, choice := range c.Choices {
			b.WriteString(choice.Delta.Content + choice.Text)
		}
	}
	return b.String()
}

func chatBody(content string, maxTokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"tile-lm","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, maxTokens, content)
}

func newRequest(ctx context.Context, method, url, body string, header ...string) *http.Request {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		panic(err) // constant arguments
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return req
}

func send(req *http.Request) response {
	resp, err := client().Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, trailer: resp.Trailer, body: string(body), err: err}
}

func (r *runningEntry) chat(content string, maxTokens int, stream bool, header ...string) response {
	return send(newRequest(context.Background(), http.MethodPost, r.url+"/v1/chat/completions", chatBody(content, maxTokens, stream), header...))
}

// checkCompleted reports an error unless resp is the complete streamed response to the content.
func checkCompleted(t *testing.T, resp response, content string) {
	t.Helper()
	if resp.err != nil || resp.status != http.StatusOK || resp.outcome() != string(outcome.Completed) {
		t.Errorf("%s: status %d outcome %q error %v body %.200s", content, resp.status, resp.outcome(), resp.err, resp.body)
		return
	}
	if !strings.HasSuffix(strings.TrimSpace(resp.body), "data: [DONE]") {
		t.Errorf("%s: stream does not end in [DONE]", content)
	}
	if !strings.HasPrefix(resp.text(), engine.CompletionPrefix(content)) {
		t.Errorf("%s: response %.40q does not begin with %q", content, resp.text(), engine.CompletionPrefix(content))
	}
}

// Guards against lost or altered parts of a streamed response.
func TestStreamedChatReachesTheCaller(t *testing.T) {
	_, _, _, r := startSingle(t, engine.Options{})
	resp := r.chat("which tile fits", 20, true)
	checkCompleted(t, resp, "which tile fits")
	x, err := r.entry.Explain(context.Background(), resp.header.Get(outcome.HeaderRequestID))
	must(t, err)
	if x.Class != "chat" || x.Upstream != "lm-pool-1" || x.Outcome != outcome.Completed || len(x.Attempts) != 1 {
		t.Errorf("explanation %+v", x)
	}
}

// Guards against invalid requests that run or that get the wrong status or error code.
func TestInvalidRequestsGetTheirErrorCodes(t *testing.T) {
	f, e, _, r := startSingle(t, engine.Options{})
	plain, server := f.service()
	f.sidecar("order-svc-1", "order-svc", "plain", server.URL, nil)
	r.waitReady(t, 2)
	good := chatBody("hello", 5, false)
	cases := []struct {
		name, method, path, body string
		header                   []string
		status                   int
		code                     outcome.Code
	}{
		{"no key", "POST", "/v1/chat/completions", good, []string{"Authorization", ""}, 401, outcome.CodeInvalidKey},
		{"unknown key", "POST", "/v1/chat/completions", good, []string{"Authorization", "Bearer nobody"}, 401, outcome.CodeInvalidKey},
		{"foreign class", "POST", "/v1/chat/completions", good, []string{"Dragonflypin-Class", "reserved"}, 403, outcome.CodeClassForbidden},
		{"class without a row", "POST", "/v1/chat/completions", good, []string{"Dragonflypin-Class", "absent"}, 403, outcome.CodeClassForbidden},
		{"not JSON", "POST", "/v1/chat/completions", "{", nil, 400, outcome.CodeInvalidRequest},
		{"wrong type", "POST", "/v1/chat/completions", `{"model":7}`, nil, 400, outcome.CodeInvalidRequest},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"tile-lm","messages":[]}`, nil, 400, outcome.CodeInvalidRequest},
		{"no prompt", "POST", "/v1/completions", `{"model":"tile-lm"}`, nil, 400, outcome.CodeInvalidRequest},
		{"no model", "POST", "/v1/completions", `{"prompt":"x"}`, nil, 400, outcome.CodeInvalidRequest},
		{"too many tokens", "POST", "/v1/chat/completions", chatBody("x", 1<<20, false), nil, 400, outcome.CodeInvalidRequest},
		{"large body", "POST", "/v1/chat/completions", strings.Repeat("x", 1_048_001), nil, 413, outcome.CodeBodyTooLarge},
		{"unknown model", "POST", "/v1/completions", `{"model":"none","prompt":"x"}`, nil, 404, outcome.CodeModelNotFound},
		{"unknown path", "GET", "/v2", "", nil, 404, outcome.CodeInvalidRequest},
		{"wrong method", "GET", "/v1/completions", "", nil, 405, outcome.CodeInvalidRequest},
		{"unknown service", "GET", "/services/none/x", "", nil, 404, outcome.CodeServiceNotFound},
		{"engine as a plain service", "POST", "/services/lm-pool/engine/orders", "{}", nil, 404, outcome.CodeServiceNotFound},
		{"order without a key", "POST", "/services/order-svc/orders", "{}", nil, 400, outcome.CodeIdempotencyNeeded},
	}
	for _, c := range cases {
		resp := send(newRequest(context.Background(), c.method, r.url+c.path, c.body, c.header...))
		if resp.status != c.status || resp.code() != string(c.code) || resp.outcome() != string(outcome.NotRun) || resp.header.Get(outcome.HeaderRequestID) == "" {
			t.Errorf("%s: status %d code %q outcome %q error %v, want %d %q not_run", c.name, resp.status, resp.code(), resp.outcome(), resp.err, c.status, c.code)
		}
	}
	if n := len(e.Runs()) + len(plain.Orders()); n != 0 {
		t.Errorf("%d refused requests ran", n)
	}
}

// Guards against plain and streamed responses of either endpoint that differ from the engine's, and against a wrong
// model list.
func TestEndpointsReturnPlainAndStreamedResponses(t *testing.T) {
	_, _, _, r := startSingle(t, engine.Options{})
	text := send(newRequest(context.Background(), "POST", r.url+"/v1/completions", `{"model":"tile-lm","prompt":"abc","max_tokens":9,"stream":true}`))
	checkCompleted(t, text, "abc")
	for path, body := range map[string]string{
		"/v1/completions":      `{"model":"tile-lm","prompt":"abc","max_tokens":9}`,
		"/v1/chat/completions": chatBody("abc", 9, false),
	} {
		resp := send(newRequest(context.Background(), "POST", r.url+path, body))
		if resp.status != http.StatusOK || resp.header.Get(outcome.HeaderOutcome) != "completed" || !strings.Contains(resp.body, engine.CompletionPrefix("abc")) {
			t.Errorf("%s: status %d header %v body %.300s", path, resp.status, resp.header, resp.body)
		}
	}
	models := send(newRequest(context.Background(), "GET", r.url+"/v1/models", ""))
	if models.status != http.StatusOK || !strings.Contains(models.body, `"id":"tile-lm"`) || models.outcome() != "completed" {
		t.Errorf("models: %+v", models)
	}
}

// Guards against calls of a plain service that lose their method, path, query, body or status.
func TestPlainServiceCalls(t *testing.T) {
	f := newFixture(t)
	plain, server := f.service()
	f.sidecar("order-svc-1", "order-svc", "plain", server.URL, nil)
	r := f.entry("entry-1", nil)
	r.waitReady(t, 1)
	order := send(newRequest(context.Background(), "POST", r.url+"/services/order-svc/orders", `{"item":"Q"}`, "Idempotency-Key", "k1"))
	if order.status/100 != 2 || order.outcome() != "completed" || !strings.Contains(order.body, `"idempotency_key":"k1"`) {
		t.Errorf("order: %+v", order)
	}
	list := send(newRequest(context.Background(), "GET", r.url+"/services/order-svc/orders", ""))
	if list.status != http.StatusOK || !strings.Contains(list.body, "k1") || len(plain.Orders()) != 1 {
		t.Errorf("list: %+v", list)
	}
	if missing := send(newRequest(context.Background(), "GET", r.url+"/services/order-svc/none?x=1", "")); missing.status != http.StatusNotFound || missing.outcome() != "completed" {
		t.Errorf("missing: %+v", missing)
	}
}

// Guards against an idempotency key whose call runs twice, returns another response when repeated, or runs with another
// body.
func TestIdempotencyKeyReturnsTheFirstResponse(t *testing.T) {
	f := newFixture(t)
	plain, server := f.service()
	f.sidecar("order-svc-1", "order-svc", "plain", server.URL, nil)
	r := f.entry("entry-1", nil)
	other := f.entry("entry-2", nil)
	r.waitReady(t, 1)
	other.waitReady(t, 1)
	order := func(r *runningEntry, body string) response {
		return send(newRequest(context.Background(), "POST", r.url+"/services/order-svc/orders", body, "Idempotency-Key", "k1"))
	}
	first := order(r, `{"item":"Q"}`)
	var again response
	for _, entry := range []*runningEntry{r, other} {
		eventually(t, 5*time.Second, "the result is recorded", func() bool {
			again = order(entry, `{"item":"Q"}`)
			return again.status != http.StatusConflict
		})
		if again.status != first.status || again.body != first.body || again.outcome() != "completed" {
			t.Errorf("first %+v, again %+v", first, again)
		}
	}
	if changed := order(other, `{"item":"Z"}`); changed.status != http.StatusUnprocessableEntity || changed.code() != string(outcome.CodeIdempotencyReuse) {
		t.Errorf("another body: %+v", changed)
	}
	if n := len(plain.Orders()); n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

// Guards against a rate limit that is not enforced, and against a 429 without error code or Retry-After.
func TestRateLimitReturns429(t *testing.T) {
	_, _, _, r := startSingle(t, engine.Options{})
	refused := 0
	for i := range 10 {
		resp := r.chat(fmt.Sprint("limited ", i), 2, false, "Dragonflypin-Class", "limited")
		if resp.status == http.StatusTooManyRequests {
			refused++
			if resp.code() != string(outcome.CodeRateLimited) || resp.outcome() != "not_run" || resp.header.Get("Retry-After") == "" {
				t.Errorf("refusal %+v", resp)
			}
		}
	}
	if refused == 0 {
		t.Error("10 requests at once passed a limit of 1 request/s")
	}
}

// Guards against an entry that cannot get the status of another entry or explain its requests.
func TestEntryGetsStatusAndExplanationsFromAnother(t *testing.T) {
	f, _, _, r := startSingle(t, engine.Options{})
	other := f.entry("entry-2", nil)
	other.waitReady(t, 1)
	id := r.chat("explain me", 3, false).header.Get(outcome.HeaderRequestID)
	var x entry.Explanation
	eventually(t, 5*time.Second, "a session between the entries", func() (ok bool) {
		var err error
		x, err = other.entry.Explain(context.Background(), id)
		return err == nil
	})
	if x.RequestID != id || x.Upstream != "lm-pool-1" || x.Outcome != outcome.Completed {
		t.Errorf("explanation %+v", x)
	}
	if _, err := other.entry.Explain(context.Background(), "entry-1.none"); !errors.Is(err, entry.ErrUnknownRequest) {
		t.Errorf("unknown request: %v", err)
	}
	payload, err := other.entry.Peers().Call(context.Background(), "entry-1", entry.MethodStatus, nil)
	must(t, err)
	var s entry.Status
	must(t, wire.Unmarshal(payload, &s))
	if s.Entry != "entry-1" || len(s.Upstreams) != 1 || s.TableVersion != 2 {
		t.Errorf("status %+v", s)
	}
}

// Guards against usage records of entry and sidecar that differ, or whose last ones are lost at shutdown.
func TestUsageRecordsOfEntryAndSidecarMatch(t *testing.T) {
	f, _, s, r := startSingle(t, engine.Options{})
	for i := range 20 {
		r.chat(fmt.Sprint("count ", i), 10, i%2 == 0)
	}
	s.shutdown(t) // it ships its last records over the entry's session
	r.shutdown(t)
	reader := usage.NewReader(f.store)
	report, err := reader.Verify(context.Background())
	must(t, err)
	if len(report.Problems) > 0 || report.Compared != 20 || report.EntryOnly != 0 || report.SidecarOnly != 0 {
		t.Errorf("report %+v", report)
	}
}
