package usage

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/process/store/storetest"
)

// usageOp is a put of one segment, or a read when segment is negative.
type usageOp struct{ segment int }

// segmentSet has one bit a segment.
type segmentSet uint64

func (s segmentSet) with(segment int) segmentSet { return s | 1<<segment }

// usageModel is a set that only grows: a confirmed segment is in every later read.
var usageModel = porcupine.Model{
	Init: func() any { return segmentSet(0) },
	Step: func(state, input, output any) (bool, any) {
		held, op := state.(segmentSet), input.(usageOp)
		if op.segment < 0 {
			return output.(segmentSet) == held, held
		}
		return true, held.with(op.segment)
	},
}

type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

func (h *history) now() int64 { return int64(time.Since(h.start)) }

// add records an operation. One that failed may still take effect at any later time.
func (h *history) add(client, call int64, op usageOp, out any, failed bool) {
	end := h.now()
	if failed {
		end = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: int(client), Input: op, Call: call, Output: out, Return: end})
}

const (
	historyPuts    = 5
	historyWriters = 4
)

// runUsageHistory lets several writers ship segments while faults come and go, with reads in between.
func runUsageHistory(t *testing.T, ship func(*storetest.Memory) Sink) []porcupine.Operation {
	t.Helper()
	memory := storetest.New()
	sink := ship(memory)
	h := &history{start: time.Now()}
	writers := make([]*Writer, historyWriters)
	for i := range writers {
		writers[i] = NewWriter("s"+string(rune('a'+i)), SideSidecar, testKey(byte(i)), 0)
	}
	faults := []storetest.Faults{{}, {LoseResponses: true}, {LoseRequests: true}, {Outage: true}, {}}
	for round, f := range faults {
		var wg sync.WaitGroup
		memory.SetFaults(f)
		for client, w := range writers {
			wg.Go(func() { putOne(h, sink, w, client, round) })
		}
		wg.Wait()
		memory.SetFaults(storetest.Faults{})
		readAll(t, h, memory)
	}
	return h.ops
}

func putOne(h *history, sink Sink, w *Writer, client, round int) {
	segment := client*historyPuts + round
	r := testRecord(segment)
	w.Add(r, testStart)
	w.mu.Lock()
	err := w.sealOne(false)
	w.mu.Unlock()
	if err != nil {
		panic(err)
	}
	offers := w.Unconfirmed()
	call := h.now()
	err = sink.Ship(context.Background(), w.Registration(), [][]byte{offers[len(offers)-1].Segment})
	h.add(int64(client), call, usageOp{segment}, nil, err != nil)
}

func readAll(t *testing.T, h *history, memory *storetest.Memory) {
	t.Helper()
	call := h.now()
	segments, err := Load(context.Background(), memory)
	if err != nil {
		t.Fatal(err)
	}
	var held segmentSet
	for i := range segments {
		client := int(segments[i].Writer[1] - 'a')
		held = held.with(client*historyPuts + int(segments[i].Seq) - 1)
	}
	h.add(historyWriters, call, usageOp{-1}, held, false)
}

// testCollector writes without gathering.
func testCollector(name string, client store.Client) *Collector {
	c := NewCollector(name, client)
	c.interval = 0
	return c
}

// Guards against a store write for each segment, which 7,600 sidecars would take beyond the store's rate.
func TestCollectorGathersSegments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := storetest.New()
		c := NewCollector("e1.1", memory)
		const seconds, perSecond = 20, 8
		var wg sync.WaitGroup
		for range seconds * perSecond {
			wg.Go(func() {
				if err := c.Put(t.Context(), [][]byte{make([]byte, 1024)}); err != nil {
					t.Error(err)
				}
			})
			time.Sleep(time.Second / perSecond)
		}
		wg.Wait()
		if n := memory.Counts().Writes; n > seconds/2+1 {
			t.Errorf("%d segments took %d writes in %d s", seconds*perSecond, n, seconds)
		}
	})
}

// Guards against a segment that is confirmed, and dropped by its writer, although the store does not hold it.
func TestConfirmedUsageIsNeverLost(t *testing.T) {
	ops := runUsageHistory(t, func(m *storetest.Memory) Sink { return testCollector("e1.1", m) })
	if !porcupine.CheckOperations(usageModel, ops) {
		t.Fatal("a confirmed segment is missing from a later read")
	}
}

// trustingSink is broken on purpose: it takes a lost answer for a write that took effect.
type trustingSink struct {
	client store.Client
	mu     sync.Mutex
	seq    uint64
}

func (s *trustingSink) Ship(ctx context.Context, _ Registration, segments [][]byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, err := encMode.Marshal(segments)
	if err != nil {
		return err
	}
	s.seq++
	_, err = s.client.Create(ctx, KindBundle, bundleName("broken", s.seq), value)
	if errors.Is(err, store.ErrUnknown) {
		return nil
	}
	return err
}

// Guards against a history checker that accepts everything.
func TestUsageHistoryRejectsTrustingSink(t *testing.T) {
	ops := runUsageHistory(t, func(m *storetest.Memory) Sink { return &trustingSink{client: m} })
	if porcupine.CheckOperations(usageModel, ops) {
		t.Fatal("the checker accepts a sink that confirms segments that the store does not hold")
	}
}

// Guards against a key taken over by another process, which could then sign as the first.
func TestWriterKeyCannotBeReplaced(t *testing.T) {
	c := testCollector("e1.1", storetest.New())
	w := NewWriter("s1", SideSidecar, testKey(1), 0)
	if err := c.Register(context.Background(), w.Registration()); err != nil {
		t.Fatal(err)
	}
	other := w.Registration()
	other.PublicKey = NewWriter("s1", SideSidecar, testKey(2), 0).Registration().PublicKey
	if err := testCollector("e2.1", c.store).Register(context.Background(), other); !errors.Is(err, ErrForeignKey) {
		t.Fatalf("got %v, want ErrForeignKey", err)
	}
	payload, err := encMode.Marshal(offerCall{Registration: w.Registration()})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.HandleOffer(context.Background(), "s2", payload); !errors.Is(err, ErrForeignWriter) {
		t.Fatalf("got %v, want ErrForeignWriter", err)
	}
}

// Measures store writes for the segments of many sidecars that arrive together; the metric is writes per segment.
func BenchmarkCollectorWrites(b *testing.B) {
	for _, sidecars := range []int{8, 64, 512} {
		b.Run(fmt.Sprintf("sidecars=%d", sidecars), func(b *testing.B) {
			memory := storetest.New()
			memory.SetFaults(storetest.Faults{Delay: 5 * time.Millisecond})
			c := testCollector("e1.1", memory)
			segment := make([]byte, 2048)
			var wg sync.WaitGroup
			for b.Loop() {
				for range sidecars {
					wg.Go(func() {
						if err := c.Put(context.Background(), [][]byte{segment}); err != nil {
							b.Error(err)
						}
					})
				}
				wg.Wait()
			}
			b.ReportMetric(float64(memory.Counts().Writes)/float64(b.N*sidecars), "writes/segment")
		})
	}
}
