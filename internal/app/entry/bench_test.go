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

// newInstantEngine starts an engine that responds immediately, or after wait is closed, so that a benchmark measures
// only the router.
func newInstantEngine(tb testing.TB, wait <-chan struct{}) *httptest.Server {
	response := []byte(`{"id":"x","object":"chat.completion","model":"tile-lm","choices":[{"index":0,"message":{"role":"assistant","content":"ok"},"finish_reason":"stop"}],"usage":{"prompt_tokens":4,"completion_tokens":1,"total_tokens":5}}`)
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(rw, `{}`)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if wait != nil {
			<-wait
		}
		rw.Header().Set("Content-Type", "application/json")
		_, _ = rw.Write(response)
	}))
	tb.Cleanup(server.Close)
	return server
}

func startBenchmark(b *testing.B, engines, slots int, wait <-chan struct{}) (string, *runningEntry) {
	f := newFixture(b)
	server := newInstantEngine(b, wait)
	for i := range engines {
		f.sidecar(fmt.Sprintf("lm-pool-%d", i), "lm-pool", settings.KindEngine, server.URL, func(c *settings.Sidecar) { c.Slots = slots })
	}
	r := f.entry("entry-1", nil)
	r.waitReady(b, engines)
	return server.URL, r
}

// BenchmarkAddedLatency reports the latency that entry and sidecar together add to an engine call without other load.
func BenchmarkAddedLatency(b *testing.B) {
	engine, r := startBenchmark(b, 1, 16, nil)
	body := chatBody("bench", 5, false)
	measure := func(url string) []time.Duration {
		times := make([]time.Duration, 0, b.N)
		for range b.N {
			begin := time.Now()
			if resp := send(newRequest(context.Background(), http.MethodPost, url+"/v1/chat/completions", body)); resp.status != http.StatusOK {
				b.Fatalf("%+v", resp)
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
	_, r := startBenchmark(b, 4, 64, nil)
	body := chatBody("bench", 5, false)
	b.SetParallelism(8)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if resp := send(newRequest(context.Background(), http.MethodPost, r.url+"/v1/chat/completions", body)); resp.status != http.StatusOK {
				b.Errorf("%+v", resp)
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkMemory reports memory per idle session and per request in flight. Caller, entry, sidecars and engine run in this
// process, so the figures include all of them.
func BenchmarkMemory(b *testing.B) {
	for range b.N {
		const sessions, requests = 64, 256
		wait := make(chan struct{})
		f := newFixture(b)
		server := newInstantEngine(b, wait)
		for i := range sessions {
			f.sidecar(fmt.Sprintf("lm-pool-%02d", i), "lm-pool", settings.KindEngine, server.URL, nil)
		}
		before := heapBytes()
		r := f.entry("entry-1", func(c *settings.Entry) { c.SidecarsPerService = sessions })
		r.waitReady(b, sessions)
		idle := heapBytes()
		b.ReportMetric((idle-before)/sessions/1024, "KiB/session")
		responses := make(chan response, requests)
		for i := range requests {
			go func() { responses <- r.chat(fmt.Sprint("memory ", i), 5, false) }()
		}
		eventually(b, 10*time.Second, "all requests in flight", func() bool {
			running := 0
			for _, u := range r.entry.Status().Upstreams {
				running += u.Running
			}
			return running == requests
		})
		b.ReportMetric((heapBytes()-idle)/requests/1024, "KiB/request")
		close(wait)
		for range requests {
			<-responses
		}
	}
}
