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

// usageOp is a write of one segment, or a read if segment is negative.
type usageOp struct{ segment int }

// segmentSet has one bit per segment.
type segmentSet uint64

func (s segmentSet) with(segment int) segmentSet { return s | 1<<segment }

// usageModel is a set that only grows: every read returns all segments confirmed before it.
var usageModel = porcupine.Model{
	Init: func() any { return segmentSet(0) },
	Step: func(state, input, output any) (bool, any) {
		stored, op := state.(segmentSet), input.(usageOp)
		if op.segment < 0 {
			return output.(segmentSet) == stored, stored
		}
		return true, stored.with(op.segment)
	},
}

type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

func (h *history) now() int64 { return int64(time.Since(h.start)) }

// add records an operation. A failed one may still take effect at any later time.
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

// runUsageHistory sends segments of several writers concurrently in rounds, each with another store fault, and reads after
// each round.
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

// putOne seals one record as a segment and sends it.
func putOne(h *history, sink Sink, w *Writer, client, round int) {
	number := client*historyPuts + round
	r := testRecord(number)
	w.Add(r, testStart)
	w.mu.Lock()
	err := w.sealOne(false)
	w.mu.Unlock()
	if err != nil {
		panic(err)
	}
	segments := w.Unconfirmed()
	call := h.now()
	err = sink.Ship(context.Background(), w.Registration(), [][]byte{segments[len(segments)-1].Segment})
	h.add(int64(client), call, usageOp{number}, nil, err != nil)
}

func readAll(t *testing.T, h *history, memory *storetest.Memory) {
	t.Helper()
	call := h.now()
	segments, err := Load(context.Background(), memory)
	if err != nil {
		t.Fatal(err)
	}
	var stored segmentSet
	for i := range segments {
		client := int(segments[i].Writer[1] - 'a')
		stored = stored.with(client*historyPuts + int(segments[i].Seq) - 1)
	}
	h.add(historyWriters, call, usageOp{-1}, stored, false)
}

// testCollector returns a collector without a minimum interval between bundles.
func testCollector(name string, client store.Client) *Collector {
	c := NewCollector(name, client)
	c.interval = 0
	return c
}

// Guards against one store write per segment, which with 7,600 sidecars would exceed the store's write rate.
func TestCollectorBatchesSegments(t *testing.T) {
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

// Guards against a segment that is confirmed, and then dropped by its writer, although it was not stored.
func TestConfirmedUsageIsNeverLost(t *testing.T) {
	ops := runUsageHistory(t, func(m *storetest.Memory) Sink { return testCollector("e1.1", m) })
	if !porcupine.CheckOperations(usageModel, ops) {
		t.Fatal("a confirmed segment is missing from a later read")
	}
}

// unverifiedSink is broken on purpose: it confirms a write of unknown outcome without reading it back.
type unverifiedSink struct {
	client store.Client
	mu     sync.Mutex
	seq    uint64
}

func (s *unverifiedSink) Ship(ctx context.Context, _ Registration, segments [][]byte) error {
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
func TestUsageHistoryRejectsUnverifiedWrites(t *testing.T) {
	ops := runUsageHistory(t, func(m *storetest.Memory) Sink { return &unverifiedSink{client: m} })
	if porcupine.CheckOperations(usageModel, ops) {
		t.Fatal("the checker accepts a sink that confirms segments that were not stored")
	}
}

// Guards against a process that replaces another writer's key or sends segments under its name, and so could sign as that
// writer.
func TestWriterKeyCannotBeReplaced(t *testing.T) {
	c := testCollector("e1.1", storetest.New())
	w := NewWriter("s1", SideSidecar, testKey(1), 0)
	if err := c.Register(context.Background(), w.Registration()); err != nil {
		t.Fatal(err)
	}
	other := w.Registration()
	other.PublicKey = NewWriter("s1", SideSidecar, testKey(2), 0).Registration().PublicKey
	if err := testCollector("e2.1", c.store).Register(context.Background(), other); !errors.Is(err, ErrKeyConflict) {
		t.Fatalf("got %v, want ErrKeyConflict", err)
	}
	payload, err := encMode.Marshal(offerRequest{Registration: w.Registration()})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.HandleOffer(context.Background(), "s2", payload); !errors.Is(err, ErrWriterMismatch) {
		t.Fatalf("got %v, want ErrWriterMismatch", err)
	}
}

// Measures store writes for segments of many sidecars that arrive at the same time; the metric is writes per segment.
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
