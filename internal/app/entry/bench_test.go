package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/settings"
)

// instant is an engine that answers at once, so that only the router's own time is measured.
func instant(tb testing.TB, wait <-chan struct{}) *httptest.Server {
	answer := []byte(`{"id":"x","object":"chat.completion","model":"tile-lm","choices":[{"index":0,"message":{"role":"assistant","content":"ok"},"finish_reason":"stop"}],"usage":{"prompt_tokens":4,"completion_tokens":1,"total_tokens":5}}`)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, `{}`)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if wait != nil {
			<-wait
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(answer)
	}))
	tb.Cleanup(server.Close)
	return server
}

func benchWorld(b *testing.B, engines, slots int, wait <-chan struct{}) (string, *runningEntry) {
	w := newWorld(b)
	server := instant(b, wait)
	for i := range engines {
		w.sidecar(fmt.Sprintf("lm-pool-%d", i), "lm-pool", settings.KindEngine, server.URL, func(c *settings.Sidecar) { c.Slots = slots })
	}
	r := w.entry("entry-1", nil)
	r.ready(b, engines)
	return server.URL, r
}

// BenchmarkAddedLatency reports the time that entry and sidecar together add to a call of the engine, unloaded.
func BenchmarkAddedLatency(b *testing.B) {
	engine, r := benchWorld(b, 1, 16, nil)
	body := chatBody("bench", 5, false)
	measure := func(url string) []time.Duration {
		times := make([]time.Duration, 0, b.N)
		for range b.N {
			begin := time.Now()
			if a := send(newRequest(context.Background(), http.MethodPost, url+"/v1/chat/completions", body)); a.status != http.StatusOK {
				b.Fatalf("%+v", a)
			}
			times = append(times, time.Since(begin))
		}
		slices.Sort(times)
		return times
	}
	measure(engine)
	direct := measure(engine)
	b.ResetTimer()
	routed := measure(r.url)
	for _, p := range []int{50, 99} {
		at := min(len(routed)-1, len(routed)*p/100)
		b.ReportMetric(float64((routed[at] - direct[at]).Microseconds()), fmt.Sprintf("added-p%d-us", p))
		b.ReportMetric(float64(routed[at].Microseconds()), fmt.Sprintf("total-p%d-us", p))
	}
}

// BenchmarkThroughput reports requests per second through one entry; callers and engine run in the same process.
func BenchmarkThroughput(b *testing.B) {
	_, r := benchWorld(b, 4, 64, nil)
	body := chatBody("bench", 5, false)
	b.SetParallelism(8)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if a := send(newRequest(context.Background(), http.MethodPost, r.url+"/v1/chat/completions", body)); a.status != http.StatusOK {
				b.Errorf("%+v", a)
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkMemory reports memory per idle session and per request in flight. Both ends, the caller and the engine are in
// this process, so the figures are sums over all of them.
func BenchmarkMemory(b *testing.B) {
	for range b.N {
		const sessions, requests = 64, 256
		wait := make(chan struct{})
		w := newWorld(b)
		server := instant(b, wait)
		for i := range sessions {
			w.sidecar(fmt.Sprintf("lm-pool-%02d", i), "lm-pool", settings.KindEngine, server.URL, nil)
		}
		before := heap()
		r := w.entry("entry-1", func(c *settings.Entry) { c.SidecarsPerService = sessions })
		r.ready(b, sessions)
		idle := heap()
		b.ReportMetric((idle-before)/sessions/1024, "KiB/session")
		answers := make(chan answer, requests)
		for i := range requests {
			go func() { answers <- r.chat(fmt.Sprint("memory ", i), 5, false) }()
		}
		eventually(b, 10*time.Second, "all requests in flight", func() bool {
			running := 0
			for _, u := range r.entry.Status().Upstreams {
				running += u.Running
			}
			return running == requests
		})
		b.ReportMetric((heap()-idle)/requests/1024, "KiB/request")
		close(wait)
		for range requests {
			<-answers
		}
	}
}
