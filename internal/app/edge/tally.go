package edge

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dragonflypin/dragonflypin/internal/process/boottime"
	"github.com/dragonflypin/dragonflypin/internal/process/metrics"
	"github.com/dragonflypin/dragonflypin/internal/process/settings"
	"github.com/dragonflypin/dragonflypin/internal/process/tally"
	"github.com/dragonflypin/dragonflypin/internal/process/truetime"
)

// stopSends is how often all counts are sent at the stop of the process, because datagrams may be lost.
const stopSends = 2

// tallyExchange counts the requests that begin, and exchanges the counts with the other edges. It is nil where no usage is reported: then
// nothing is counted, kept or sent.
type tallyExchange struct {
	edge    *Edge
	clock   *truetime.Clock
	counter *tally.Counter
	// messages and bytes are what was sent.
	messages, bytes atomic.Uint64
}

func newTallyExchange(e *Edge, run uint64) *tallyExchange {
	if !e.node.Duties.ReportUsage {
		return nil
	}
	clock := truetime.New(boottime.Now, time.Now)
	return &tallyExchange{edge: e, clock: clock, counter: tally.New(tally.Options{
		Edge: e.node.Address, Run: run, Window: e.node.Duties.Window, ReportBound: e.node.Duties.ReportBound, Clock: clock,
	})}
}

// reportedClock returns what reports to the other edges tell of the time of day: nothing where no usage is reported.
func reportedClock(d settings.Duties) func() uint64 {
	if !d.ReportUsage {
		return nil
	}
	return func() uint64 { return uint64(time.Now().UnixMilli()) }
}

// began counts a request. It is called for each one and does not allocate.
func (t *tallyExchange) began(workspace string, ago time.Duration) {
	t.counter.Began(workspace, boottime.Now().Add(-ago))
}

// onClock applies the time of day of another edge.
func (t *tallyExchange) onClock(from netip.Addr, unixMs uint64) {
	if t != nil && unixMs > 0 {
		t.clock.Observe(from, time.UnixMilli(int64(unixMs)))
	}
}

// setHolder sets the edge that holds the duties; the zero value means that it is not known.
func (t *tallyExchange) setHolder(holder netip.Addr) {
	if t != nil {
		t.counter.SetHolder(holder)
	}
}

// tick updates the estimate of the true time and sends the counts that are due.
func (t *tallyExchange) tick() {
	if t == nil {
		return
	}
	t.clock.Tick()
	t.send(t.counter.Due(boottime.Now(), t.edge.gossip.LiveEpochs()))
}

// flush sends all counts, at the stop of the process. With last set no more requests are served.
func (t *tallyExchange) flush(last bool) {
	if t == nil {
		return
	}
	for range stopSends {
		t.send(t.counter.Flush(boottime.Now(), t.edge.gossip.LiveEpochs(), last))
	}
}

// stats returns the state for the metrics.
func (t *tallyExchange) stats() metrics.UsageCounts {
	s := t.counter.Stats(boottime.Now(), t.edge.gossip.LiveEpochs())
	return metrics.UsageCounts{
		Counted: s.Counted, Windows: s.Windows, Age: s.OldestNews, Messages: t.messages.Load(), Bytes: t.bytes.Load(), ClockError: t.clock.Error(),
	}
}

func (t *tallyExchange) send(sends []tally.Send) {
	for _, s := range sends {
		data := t.edge.encode(tallyBroadcast, &s.Message)
		if data == nil {
			continue
		}
		t.messages.Add(uint64(len(s.To)))
		t.bytes.Add(uint64(len(s.To) * len(data)))
		for _, to := range s.To {
			t.edge.gossip.Send(to, data)
		}
	}
}

// onTally applies counts of another edge.
func (e *Edge) onTally(from netip.Addr, payload []byte) error {
	if e.tally == nil {
		return nil
	}
	var m tally.Message
	if err := cbor.Unmarshal(payload, &m); err != nil {
		return err
	}
	e.tally.counter.Merge(from, &m, boottime.Now())
	return nil
}
