package demo_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/app/demo"
	"github.com/dragonflypin/dragonflypin/internal/standin/engine"
)

// runningDemo is a demo in progress. lines maps the first words of each printed line to the last.
type runningDemo struct {
	lines map[string]string
	last  string
	stop  context.CancelFunc
	done  chan error
}

// start starts a demo and returns after it has printed its ready line.
func start(t *testing.T, o demo.Options) *runningDemo {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	d := &runningDemo{lines: make(map[string]string), stop: stop, done: make(chan error, 1)}
	r, w := io.Pipe()
	o.Listen, o.Out, o.Log = "127.0.0.1:0", w, io.Discard
	go func() {
		err := demo.Run(ctx, o)
		_ = w.Close()
		d.done <- err
	}()
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		d.last = lines.Text()
		name, value, _ := strings.Cut(d.last, " ")
		if key, secret, ok := strings.Cut(value, " "); ok {
			name, value = name+" "+key, secret
		}
		d.lines[name] = value
		if name == "ready" {
			return d
		}
	}
	t.Fatalf("the demo ended before it was ready: %v", <-d.done)
	return nil
}

func (d *runningDemo) wait(t *testing.T) {
	t.Helper()
	select {
	case err := <-d.done:
		if err != nil {
			t.Fatalf("the demo returned an error: %v", err)
		}
	case <-time.After(60 * time.Second):
		t.Fatal("the demo did not end")
	}
}

func (d *runningDemo) chat(t *testing.T, key, body string) *http.Response {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, d.lines["ready"]+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// Guards against printed keys or addresses that do not work, and against a shutdown that interrupts a stream.
func TestShutdownCompletesStream(t *testing.T) {
	d := start(t, demo.Options{})
	keys := 0
	for name := range d.lines {
		if strings.HasPrefix(name, "key ") {
			keys++
		}
	}
	if keys != 20 || d.lines["operator furano"] == "" || d.lines["operator-api"] == "" || d.lines["entry"] == "" {
		t.Fatalf("lines %v", d.lines)
	}
	resp := d.chat(t, d.lines["key shop-taipei"], `{"model":"tile-lm","stream":true,"max_tokens":90,"messages":[{"role":"user","content":"letter Q"}]}`)
	defer func() { _ = resp.Body.Close() }()
	body := bufio.NewReader(resp.Body)
	first, err := body.ReadString('\n')
	if err != nil || !strings.Contains(first, engine.CompletionPrefix("letter Q")) {
		t.Fatalf("first event %q: %v", first, err)
	}
	d.stop()
	rest, err := io.ReadAll(body)
	if err != nil || !strings.HasSuffix(string(rest), "data: [DONE]\n\n") || strings.Count(string(rest), `"content":" `) != 89 {
		t.Fatalf("rest of the stream: %v: %s", err, rest)
	}
	if got := resp.Trailer.Get("Dragonflypin-Outcome"); got != "completed" {
		t.Fatalf("outcome %q", got)
	}
	d.wait(t)
}

// Guards against a demo that ignores Options.Duration or returns an error when the time has passed.
func TestEndsAfterDuration(t *testing.T) {
	d := start(t, demo.Options{Duration: 3 * time.Second})
	d.wait(t)
}

// Guards against an error that does not say that the address is in use.
func TestAddressInUse(t *testing.T) {
	d := start(t, demo.Options{})
	err := demo.Run(t.Context(), demo.Options{Listen: strings.TrimPrefix(d.lines["ready"], "http://"), Out: io.Discard, Log: io.Discard})
	if err == nil || !strings.Contains(err.Error(), "address already in use") {
		t.Fatalf("error %v", err)
	}
	d.stop()
	d.wait(t)
}
