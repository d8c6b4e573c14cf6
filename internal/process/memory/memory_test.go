package memory_test

import (
	"sync"
	"testing"

	"github.com/dragonflypin/dragonflypin/internal/process/memory"
)

// Guards against long bodies that leave no memory for short ones, and against memory that is not returned.
func TestShortBodiesGoOnBesideLongOnes(t *testing.T) {
	b := memory.NewBudget(100 << 20)
	var long []memory.Charge
	for {
		c := b.Charge()
		if !c.Grow(8 << 20) {
			break
		}
		long = append(long, c)
	}
	if len(long) != 1 || b.Refused() != 1 {
		t.Errorf("%d long bodies of 8 MiB, %d refused", len(long), b.Refused())
	}
	short := make([]memory.Charge, 100)
	for n := range short {
		short[n] = b.Charge()
		if !short[n].Grow(memory.ShortBytes) {
			t.Fatalf("the short body %d has no memory", n)
		}
	}
	for _, charges := range [][]memory.Charge{long, short} {
		for n := range charges {
			charges[n].Release()
			charges[n].Release()
		}
	}
	if b.Used() != 0 {
		t.Errorf("%d bytes are never returned", b.Used())
	}
}

// Guards against a budget that is exceeded, or wrong at the end, when many requests use it at the same time.
func TestConcurrentCharges(t *testing.T) {
	const limit = 10 << 20
	b := memory.NewBudget(limit)
	var requests sync.WaitGroup
	for n := range 32 {
		requests.Go(func() {
			for range 2000 {
				c := b.Charge()
				for size := int64(4096); size <= int64(n+1)<<14 && c.Grow(size); size *= 2 {
					if used := b.Used(); used > limit {
						t.Errorf("%d bytes in use", used)
					}
				}
				c.Release()
			}
		})
	}
	requests.Wait()
	if b.Used() != 0 {
		t.Errorf("%d bytes are left", b.Used())
	}
}

func BenchmarkCharge(b *testing.B) {
	budget := memory.NewBudget(100 << 20)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c := budget.Charge()
			c.Grow(17_000)
			c.Release()
		}
	})
}

// Guards against a small request that is refused, or takes memory from others, because a large one is being refused at that moment.
func TestRefusedTakeDoesNotRefuseOthers(t *testing.T) {
	b := memory.NewBudget(1 << 20)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		large := b.Charge()
		for {
			select {
			case <-stop:
				return
			default:
			}
			if large.TryGrow(1 << 20) {
				t.Error("a charge above the budget was taken")
				return
			}
		}
	}()
	small := b.Charge()
	for i := range 1_000_000 {
		if !small.TryGrow(1) {
			t.Errorf("attempt %d: one byte of an empty budget was refused", i)
			break
		}
		small.Release()
	}
	close(stop)
	<-stopped
}
