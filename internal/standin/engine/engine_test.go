package engine_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/standin/engine"
	"github.com/dragonflypin/dragonflypin/internal/standin/fault"
)

func startEngine(t *testing.T, opts engine.Options) (*engine.Engine, string) {
	e := engine.New(opts)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return e, server.URL
}

func post(ctx context.Context, url, id, body string) (*http.Response, error) {
	return send(ctx, http.MethodPost, url, id, body)
}

func send(ctx context.Context, method, url, id, body string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set(engine.HeaderRequestID, id)
	return http.DefaultClient.Do(r)
}

func sendRead(t *testing.T, method, url, id, body string) (int, string) {
	t.Helper()
	resp, err := send(t.Context(), method, url, id, body)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(text)
}

func postRead(t *testing.T, url, id, body string) (int, string) {
	t.Helper()
	return sendRead(t, http.MethodPost, url, id, body)
}

func eventually(t *testing.T, condition string, reached func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !reached(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timeout waiting for: %s", condition)
		}
	}
}

// Guards against completions that a caller cannot verify from its own prompt.
func TestCompletionMatchesPrompt(t *testing.T) {
	_, url := startEngine(t, engine.Options{TokenMs: 0.1})
	sum := sha256.Sum256([]byte("letter Q"))
	prefix := hex.EncodeToString(sum[:8])
	var chat struct {
		Choices []struct {
			Message struct{ Content string }
			Text    string
		}
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
			PromptTokens     int `json:"prompt_tokens"`
		}
	}
	_, body := postRead(t, url+"/v1/chat/completions", "a", `{"model":"tile-lm","max_tokens":40,"messages":[
		{"role":"system","content":"be brief"},{"role":"user","content":"letter Q"},{"role":"assistant","content":"x"}]}`)
	if err := json.Unmarshal([]byte(body), &chat); err != nil {
		t.Fatal(err)
	}
	words := strings.Fields(chat.Choices[0].Message.Content)
	if words[0] != prefix || len(words) != 40 || chat.Usage.CompletionTokens != 40 || chat.Usage.PromptTokens != 5 {
		t.Fatalf("response %s", body)
	}
	_, body = postRead(t, url+"/v1/completions", "b", `{"model":"tile-lm","max_tokens":1,"prompt":"letter Q"}`)
	if err := json.Unmarshal([]byte(body), &chat); err != nil || chat.Choices[0].Text != prefix {
		t.Fatalf("response %s", body)
	}
	if status, _ := postRead(t, url+"/v1/completions", "c", `{"model":"other","prompt":"x"}`); status != http.StatusNotFound {
		t.Fatalf("unknown model: status %d", status)
	}
}

// Guards against a stream whose chunks do not add up to the whole completion.
func TestStreamContainsWholeCompletion(t *testing.T) {
	_, url := startEngine(t, engine.Options{TokenMs: 0.1})
	_, body := postRead(t, url+"/v1/chat/completions", "a",
		`{"model":"tile-lm","max_tokens":12,"stream":true,"messages":[{"role":"user","content":"letter Q"}]}`)
	var text strings.Builder
	events := strings.Split(strings.TrimSpace(body), "\n\n")
	for _, event := range events[:len(events)-1] {
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if err := json.Unmarshal([]byte(strings.TrimPrefix(event, "data: ")), &chunk); err != nil {
			t.Fatal(err)
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	words := strings.Fields(text.String())
	if len(words) != 12 || words[0] != engine.CompletionPrefix("letter Q") || events[len(events)-1] != "data: [DONE]" {
		t.Fatalf("stream %s", body)
	}
}

// Guards against a cancelled request that keeps its slot.
func TestClosedConnectionCancelsRequest(t *testing.T) {
	e, url := startEngine(t, engine.Options{Slots: 1, TokenMs: 5})
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := post(ctx, url+"/v1/completions", "a", `{"model":"tile-lm","stream":true,"prompt":"x"}`)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := bufio.NewReader(resp.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	cancel()
	_ = resp.Body.Close()
	eventually(t, "cancelled run", func() bool { return e.Runs()[0].State == "cancelled" })
	if status, _ := postRead(t, url+"/v1/completions", "b", `{"model":"tile-lm","max_tokens":2,"prompt":"x"}`); status != 200 {
		t.Fatalf("status %d", status)
	}
}

// Guards against a paused stream that keeps its slot, and against a resumed one that loses tokens.
func TestPauseFreesSlotAndResumeContinues(t *testing.T) {
	e, url := startEngine(t, engine.Options{Slots: 1, TokenMs: 5})
	first := make(chan string, 1)
	go func() {
		resp, err := post(t.Context(), url+"/v1/completions", "a", `{"model":"tile-lm","max_tokens":20,"prompt":"x"}`)
		if err != nil {
			first <- err.Error()
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(resp.Body)
		first <- string(body)
	}()
	eventually(t, "first token", func() bool { r := e.Runs(); return len(r) == 1 && r[0].Tokens > 0 })
	if status, _ := postRead(t, url+"/engine/streams/a/pause", "", ""); status != http.StatusNoContent {
		t.Fatalf("pause: status %d", status)
	}
	postRead(t, url+"/v1/completions", "b", `{"model":"tile-lm","max_tokens":2,"prompt":"y"}`)
	if runs := e.Runs(); runs[0].Tokens >= 20 || runs[1].State != "completed" {
		t.Fatalf("runs while paused: %+v", runs)
	}
	postRead(t, url+"/engine/streams/a/resume", "", "")
	if body := <-first; !strings.Contains(body, `"completion_tokens":20`) {
		t.Fatalf("resumed response: %s", body)
	}
}

// Guards against admitting a waiting request of low priority before one of high priority.
func TestPriorityOrdersWaitingRequests(t *testing.T) {
	e, url := startEngine(t, engine.Options{Slots: 1, TokenMs: 5, LoadLagMs: -1})
	done := make(chan string, 3)
	run := func(id, body string) {
		if resp, err := post(t.Context(), url+"/v1/completions", id, body); err == nil {
			_, _ = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
		done <- id
	}
	go run("first", `{"model":"tile-lm","max_tokens":60,"prompt":"x"}`)
	eventually(t, "first running", func() bool { return len(e.Runs()) == 1 })
	go run("low", `{"model":"tile-lm","max_tokens":1,"priority":8,"prompt":"y"}`)
	eventually(t, "low waiting", func() bool { return len(e.Runs()) == 2 })
	go run("high", `{"model":"tile-lm","max_tokens":1,"priority":1,"prompt":"z"}`)
	eventually(t, "high waiting", func() bool { return len(e.Runs()) == 3 })
	if a, b, c := <-done, <-done, <-done; a != "first" || b != "high" || c != "low" {
		t.Fatalf("order %s %s %s", a, b, c)
	}
}

// Guards against a prefix cache that misses a repeated prefix or exceeds its size, and against events that are not dropped.
func TestPrefixCache(t *testing.T) {
	_, url := startEngine(t, engine.Options{TokenMs: 0.1, CacheTokens: 32, EventLagMs: -1, EventGap: 2})
	prefix := strings.Repeat("word ", 32)
	_, first := postRead(t, url+"/v1/completions", "a", `{"model":"tile-lm","max_tokens":1,"prompt":"`+prefix+`"}`)
	_, second := postRead(t, url+"/v1/completions", "b", `{"model":"tile-lm","max_tokens":1,"prompt":"`+prefix+`tail"}`)
	if !strings.Contains(first, `"cached_tokens":0`) || !strings.Contains(second, `"cached_tokens":32`) {
		t.Fatalf("first %s second %s", first, second)
	}
	postRead(t, url+"/v1/completions", "c", `{"model":"tile-lm","max_tokens":1,"prompt":"`+strings.Repeat("other ", 32)+`"}`)
	var events []engine.CacheEvent
	_, body := sendRead(t, http.MethodGet, url+"/engine/cache-events?after=2", "", "")
	if err := json.Unmarshal([]byte(body), &events); err != nil {
		t.Fatal(err)
	}
	if len(events) != 2 || events[0].Seq != 3 || events[0].Type != "removed" || events[1].Seq != 5 {
		t.Fatalf("events %s: want 3 and 5, with 4 and 6 missing", body)
	}
}

// Guards against a load report that shows the current load in spite of its configured lag.
func TestLoadReportLags(t *testing.T) {
	e, url := startEngine(t, engine.Options{TokenMs: 5, LoadLagMs: 60000})
	go func() {
		if resp, err := post(t.Context(), url+"/v1/completions", "a", `{"model":"tile-lm","prompt":"x"}`); err == nil {
			_ = resp.Body.Close()
		}
	}()
	eventually(t, "running", func() bool { r := e.Runs(); return len(r) == 1 && r[0].Tokens > 0 })
	if _, body := sendRead(t, http.MethodGet, url+"/engine/load", "", ""); !strings.Contains(body, `"running":0`) {
		t.Fatalf("load %s", body)
	}
}

// Guards against an engine that ignores fencing numbers although ChecksFence is set, or checks them although it is not.
func TestFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		_, url := startEngine(t, engine.Options{ChecksFence: checks, LoadModelMs: 1})
		postRead(t, url+"/engine/orders", "", `{"order":"load_model","model":"new-lm","version":"2","fence":5}`)
		want := http.StatusOK
		if checks {
			want = http.StatusConflict
		}
		if status, body := postRead(t, url+"/engine/orders", "", `{"order":"unload_model","model":"new-lm","fence":4}`); status != want {
			t.Fatalf("checks %v: status %d: %s", checks, status, body)
		}
	}
}

// Guards against a crash after which running streams end as if they were complete, or new requests are served.
func TestCrashAbortsStreams(t *testing.T) {
	e, url := startEngine(t, engine.Options{TokenMs: 5})
	resp, err := post(t.Context(), url+"/v1/completions", "a", `{"model":"tile-lm","stream":true,"prompt":"x"}`)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	e.Faults().Put(fault.Set{Crash: fault.Always})
	if body, err := io.ReadAll(resp.Body); err == nil {
		t.Fatalf("stream ended without an error: %s", body)
	}
	if again, err := post(t.Context(), url+"/v1/completions", "b", `{}`); err == nil {
		_ = again.Body.Close()
		t.Fatal("a crashed engine responded")
	}
}
