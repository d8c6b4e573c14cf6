package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/request/place"
)

// BenchmarkChoiceWithKnownReplicas is BenchmarkChoice at replicas of known pace and memory with a backlog.
func BenchmarkChoiceWithKnownReplicas(b *testing.B) {
	const count = 7600
	p := newPlacer(b, count)
	p.UpdateMemory(map[string]int{"lm": 600_000})
	p.Update(view(count), []string{"lm"})
	var samples []place.PaceSample
	for n := range count {
		key := place.KeyOf(fmt.Sprintf("replica-%04d", n))
		samples = append(samples, place.PaceSample{Replica: key, Tokens: 17000, Own: 3700, Took: time.Duration(200+n%200) * time.Millisecond})
		p.Loads.Add(key, place.Load{Prefill: 6000, Running: 10})
	}
	p.ApplyReport("other", place.ReportOf{Paces: samples}, epoch)
	jobs := make([]*place.Job, 256)
	for i := range jobs {
		jobs[i] = prompt(fmt.Sprint("subject", i))
		jobs[i].Retried = true // does not wait for capacity
	}
	b.ReportAllocs()
	for i := range b.N {
		waiter, _ := p.Enqueue(jobs[i%len(jobs)], epoch)
		p.Ended(<-waiter.Granted, false, epoch)
	}
}
