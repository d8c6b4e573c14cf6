package overload

import (
	"fmt"
	"testing"
	"time"
)

var benchClasses = [8]string{"a", "b", "c", "d", "e", "f", "g", "h"}

func benchRequest(id uint64) *Request {
	return &Request{
		ID: id, Class: benchClasses[id%8], Priority: uint8(1 + id%4), Weight: uint16(1 + id%8), Protected: true,
		TTFTTarget: time.Second, MaxWait: time.Hour,
	}
}

// BenchmarkAdmit measures the admission cost of one request: Offer, one Next that sheds nothing, and Started.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{0, 256, 4000} {
		b.Run(fmt.Sprintf("queued=%d", n), func(b *testing.B) {
			c := New(Config{MaxQueue: 1 << 20})
			now, id := epoch, uint64(0)
			for range n {
				id++
				c.Offer(now, benchRequest(id))
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				id++
				c.Offer(now, benchRequest(id))
				c.Next(now)
				c.Started(now, id-uint64(n))
			}
		})
	}
}
