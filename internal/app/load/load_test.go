package load

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/settings"
	"github.com/dragonflypin/dragonflypin/internal/standin/engine"
	"github.com/dragonflypin/dragonflypin/internal/standin/service"
)

func workload(t *testing.T, text string) Workload {
	t.Helper()
	w, err := settings.Parse[Workload]([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return w
}

const oneClass = `{"duration":"500ms","classes":[{"class":"chat","workspaces":["w"],"model":"tile-lm","rate":40,"max_tokens":5}]}`

// fakeRouter serves an engine and an order service with the router's outcome header. change modifies the response bodies.
func fakeRouter(change func(body string) string) http.Handler {
	e := engine.New(engine.Options{TokenMs: 1})
	s := service.New(service.Options{})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		if path, ok := strings.CutPrefix(r.URL.Path, "/services/order-svc"); ok {
			r.URL.Path = path
			s.ServeHTTP(rec, r)
		} else {
			e.ServeHTTP(rec, r)
		}
		w.Header().Set("Dragonflypin-Outcome", "completed")
		w.Header().Set("Content-Type", rec.Header().Get("Content-Type"))
		w.WriteHeader(rec.Code)
		_, _ = io.WriteString(w, change(rec.Body.String()))
	})
}

func run(t *testing.T, w Workload, h http.Handler) Report {
	t.Helper()
	server := httptest.NewServer(h)
	defer server.Close()
	report, err := Run(t.Context(), Options{Targets: []string{server.URL}, Keys: map[string]string{"w": "k"}, Workload: w})
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// Guards against a schedule that differs between runs with the same seed or ignores the seed.
func TestScheduleDependsOnSeedOnly(t *testing.T) {
	w := workload(t, string(Sample))
	first, second := w.schedule(), w.schedule()
	for i := range first {
		first[i].class, second[i].class = nil, nil
	}
	if !reflect.DeepEqual(first, second) {
		t.Fatal("the same seed produced two different schedules")
	}
	w.Seed = 2
	if third := w.schedule(); len(third) == len(first) && third[0].at == first[0].at {
		t.Fatal("two seeds produced the same schedule")
	}
}

// Guards against arrival rates that differ from the configured rates inside or outside bursts.
func TestArrivalRates(t *testing.T) {
	w := workload(t, `{"duration":"1000s","classes":[{"class":"c","workspaces":["w"],"model":"m","rate":10,
		"burst_every":"10s","burst_length":"2s","burst_factor":5}]}`)
	inside, outside := 0, 0
	for _, r := range w.schedule() {
		if r.at%(10*time.Second) < 2*time.Second {
			inside++
		} else {
			outside++
		}
	}
	// Expected: 200 s of bursts at 50 requests/s and 800 s at 10 requests/s, within four standard deviations.
	if inside < 9600 || inside > 10400 || outside < 7640 || outside > 8360 {
		t.Fatalf("%d inside and %d outside bursts", inside, outside)
	}
}

// Guards against a report that counts correct responses as wrong, and against order responses that are not checked.
func TestCorrectResponses(t *testing.T) {
	w := workload(t, `{"duration":"500ms","classes":[
		{"class":"chat","workspaces":["w"],"model":"tile-lm","rate":40,"max_tokens":5},
		{"class":"plain","workspaces":["w"],"kind":"completion","plain":true,"model":"tile-lm","rate":20,"max_tokens":5},
		{"class":"order","workspaces":["w"],"kind":"order","path":"/services/order-svc/orders","rate":20}]}`)
	report := run(t, w, fakeRouter(func(body string) string { return body }))
	for _, c := range report.Classes {
		if c.Requests == 0 || c.Wrong != 0 || c.Outcomes["completed"] != c.Requests || c.Attainment != 1 {
			t.Errorf("%+v", c)
		}
	}
	var out bytes.Buffer
	if err := report.Print(&out); err != nil || !strings.Contains(out.String(), "chat: completed") {
		t.Errorf("%v: %s", err, out.String())
	}
}

// Guards against wrong, swapped or truncated responses that are reported as correct.
func TestBadResponsesAreReported(t *testing.T) {
	cases := []struct {
		name    string
		change  func(string) string
		outcome string
		wrong   bool
	}{
		{"response to another prompt", func(b string) string { return strings.Replace(b, `"content":"`, `"content":"f`, 1) }, "completed", true},
		{"missing token", func(b string) string { return strings.Replace(b, `" letter"`, `""`, 1) }, "completed", true},
		{"truncated stream", func(b string) string { return strings.Replace(b, "data: [DONE]", "", 1) }, "interrupted cut_stream", false},
		{"stream error", func(b string) string {
			head, _, _ := strings.Cut(b, "\n\n")
			return head + "\n\ndata: {\"error\":{\"code\":\"upstream_failed\",\"outcome\":\"interrupted\"}}\n\ndata: [DONE]\n\n"
		}, "interrupted upstream_failed", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			report := run(t, workload(t, oneClass), fakeRouter(c.change))
			got := report.Classes[0]
			if got.Outcomes[c.outcome] != got.Requests || (got.Wrong == got.Requests) != c.wrong || got.Attainment != 0 {
				t.Fatalf("%+v", got)
			}
			if c.outcome != "completed" && got.WastedTokens == 0 {
				t.Fatalf("no wasted tokens reported: %+v", got)
			}
		})
	}
}

// Guards against a closed loop, in which slow responses delay later requests.
func TestOpenLoop(t *testing.T) {
	w := workload(t, oneClass)
	w.Timeout = settings.Duration(200 * time.Millisecond)
	w.MaxInFlight = 3
	report := run(t, w, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body) // the server detects a closed connection only after the body has been read
		<-r.Context().Done()
	}))
	c := report.Classes[0]
	if c.Outcomes["not_sent"] == 0 || c.Outcomes["no_outcome client_timeout"] < 3 || report.Seconds > 2 {
		t.Fatalf("%+v", report)
	}
}

// Guards against an invalid workload that is rejected only after requests have been sent.
func TestInvalidWorkload(t *testing.T) {
	for text, message := range map[string]string{
		`{"classes":[]}`: "classes: must contain at least one class",
		`{"classes":[{"class":"c","workspaces":["w"],"rate":1}]}`:                "classes[0].model: is missing",
		`{"classes":[{"class":"c","workspaces":["w"],"rate":1,"kind":"order"}]}`: `classes[0].path is ""`,
		`{"classes":[{"class":"c","workspaces":["x"],"model":"m","rate":1}]}`:    `classes[0].workspaces is "x": has no line`,
	} {
		w := workload(t, text)
		if err := w.Check(map[string]string{"w": "k"}); err == nil || !strings.Contains(err.Error(), message) {
			t.Errorf("%s: %v", text, err)
		}
	}
	if keys := ParseKeys("key w k\nready http://x\nkey bad\n"); !reflect.DeepEqual(keys, map[string]string{"w": "k"}) {
		t.Errorf("keys %v", keys)
	}
}
