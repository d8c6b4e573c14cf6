package schedule

import (
	"fmt"
	"testing"
	"time"
)

// newLoadedScheduler returns a scheduler with all slots in use and n queued items of 8 classes in 4 tiers. It also returns
// the time and the last ID.
func newLoadedScheduler(n int) (*Scheduler, time.Time, uint64) {
	s := New(Config{Slots: 16, CanPause: true})
	now, id := epoch, uint64(0)
	for range n + 16 {
		id++
		s.Enqueue(now, benchItem(id, now))
		if id <= 16 {
			s.Next(now)
		}
	}
	return s, now, id
}

var benchClasses = [8]string{"a", "b", "c", "d", "e", "f", "g", "h"}

func benchItem(id uint64, now time.Time) Item {
	return Item{
		ID: id, Class: benchClasses[id%8], Arrived: now, Deadline: now.Add(time.Hour), PromptTokens: 500,
		Policy: Policy{
			Priority: uint8(1 + id%4), Weight: uint16(1 + id%8), TTFTTarget: time.Second, MaxWait: time.Hour, TokenTarget: 52 * time.Millisecond,
		},
	}
}

// BenchmarkRequest measures the scheduling cost of one request: its arrival, the completion of another, and all decisions.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{0, 16, 256, 4096} {
		b.Run(fmt.Sprintf("queued=%d", n), func(b *testing.B) {
			s, now, id := newLoadedScheduler(n)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				id++
				s.Enqueue(now, benchItem(id, now))
				done := s.running[0].ID
				s.OnTokens(done, 10, now)
				s.OnDone(done, now)
				for d := s.Next(now); d.Action != ActionNone; d = s.Next(now) {
				}
			}
		})
	}
}

// BenchmarkNext measures a call of Next that returns ActionNone because all slots are in use.
func BenchmarkNext(b *testing.B) {
	for _, n := range []int{16, 256, 4096} {
		b.Run(fmt.Sprintf("queued=%d", n), func(b *testing.B) {
			s, now, _ := newLoadedScheduler(n)
			for d := s.Next(now); d.Action != ActionNone; d = s.Next(now) {
			}
			b.ReportAllocs()
			for b.Loop() {
				s.Next(now)
			}
		})
	}
}

func BenchmarkOnTokens(b *testing.B) {
	s, now, _ := newLoadedScheduler(256)
	id := s.running[0].ID
	b.ReportAllocs()
	for b.Loop() {
		s.OnTokens(id, 1, now)
	}
}
