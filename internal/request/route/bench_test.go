package route

import (
	"fmt"
	"testing"
	"time"
)

var base = time.Unix(1_000_000, 0)

// addUpstreams adds n upstreams in six zones, each with a report of a random load.
func addUpstreams(p *Picker, n int) []ID {
	ids := make([]ID, n)
	for i := range ids {
		ids[i] = p.Add(Upstream{
			Instance: fmt.Sprintf("u%d", i), Service: "lm-pool", Zone: fmt.Sprintf("z%d", i%6),
			Models: []string{fmt.Sprintf("m%d", i%2)}, Slots: 8,
		})
		p.Report(base, ids[i], Report{Slots: 8, Running: p.random(8), TokensPerSecond: 50, Healthy: true})
	}
	return ids
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{8, 64, 512, 7600} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			p := New(base, Settings{Zone: "z1", Seed: 1})
			ids := addUpstreams(p, n)
			r := Request{Service: "lm-pool", Tokens: 500, PrefixHash: 7, PrefixTokens: 200}
			p.RecordPrefix(ids[n/2], 7)
			now := base
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				if p.Pick(now, &r).First == None {
					b.Fatal("no choice")
				}
			}
		})
	}
}

// BenchmarkRequest measures all calls of one request: choice, ask, 20 tokens and end.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{64, 7600} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			p := New(base, Settings{Zone: "z1", Seed: 1})
			addUpstreams(p, n)
			r := Request{Service: "lm-pool", Model: "m0", Tokens: 500}
			now := base
			b.ReportAllocs()
			for b.Loop() {
				f := p.Begin(now, p.Pick(now, &r).First, r.Tokens)
				for range 20 {
					now = now.Add(20 * time.Millisecond)
					p.Tokens(now, &f, 1)
				}
				p.End(now, &f, 0)
			}
		})
	}
}
