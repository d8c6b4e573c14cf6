package truetime_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/truetime"
)

const (
	// tickInterval is the time between two updates of the estimate, and reportInterval that between two reports of a machine.
	tickInterval   = 100 * time.Millisecond
	reportInterval = time.Second
	// maxError is the largest error of an estimate: it covers the delay of messages, the same for all machines of the tests.
	maxError = 60 * time.Millisecond
	delay    = time.Millisecond
)

// epoch is the true time at which the tests begin.
var epoch = time.Unix(1_767_225_600, 0)

// machine is a simulated machine with a wrong time of day.
type machine struct {
	address netip.Addr
	// wrong is the error of its time of day, and booted how long it has been running at the start.
	wrong, booted time.Duration
	cut           bool
	clock         *truetime.Clock
}

// world has the true time and the machines.
type world struct {
	elapsed  time.Duration
	machines []*machine
}

func newWorld(wrong ...time.Duration) *world {
	w := &world{}
	address := netip.MustParseAddr("10.0.0.1")
	for i, d := range wrong {
		w.add(address, d, time.Duration(i)*time.Hour)
		address = address.Next()
	}
	return w
}

func (w *world) add(address netip.Addr, wrong, booted time.Duration) *machine {
	m := &machine{address: address, wrong: wrong, booted: booted}
	m.clock = truetime.New(
		func() time.Time { return time.Unix(0, 0).Add(w.elapsed + m.booted) },
		func() time.Time { return epoch.Add(w.elapsed + m.wrong) },
	)
	w.machines = append(w.machines, m)
	return m
}

// run lets time pass, in which the machines report their time of day to each other.
func (w *world) run(d time.Duration) {
	for end := w.elapsed + d; w.elapsed < end; w.elapsed += tickInterval {
		if w.elapsed%reportInterval == 0 {
			w.report()
		}
		for _, m := range w.machines {
			m.clock.Tick()
		}
	}
}

func (w *world) report() {
	for _, from := range w.machines {
		for _, to := range w.machines {
			if from != to && !from.cut && !to.cut {
				to.clock.Observe(from.address, epoch.Add(w.elapsed-delay+from.wrong))
			}
		}
	}
}

// estimates returns the error of each machine's estimate.
func (w *world) estimates() []time.Duration {
	list := make([]time.Duration, 0, len(w.machines))
	for _, m := range w.machines {
		list = append(list, m.clock.Now().Sub(epoch.Add(w.elapsed)))
	}
	return list
}

func (w *world) check(t *testing.T, when string) {
	t.Helper()
	for i, wrong := range w.estimates() {
		if wrong.Abs() > maxError {
			t.Errorf("%s: the estimate of machine %d is wrong by %v", when, i, wrong)
		}
	}
}

// Guards against counts in a wrong window at or because of an edge whose time of day is 2 s off.
func TestOneWrongClockChangesNothing(t *testing.T) {
	for _, machines := range []int{5, 21} {
		for _, wrong := range []time.Duration{2 * time.Second, -2 * time.Second, time.Hour} {
			w := newWorld(make([]time.Duration, machines)...)
			w.machines[2].wrong = wrong
			w.run(3 * time.Second)
			w.check(t, "after the start")
		}
	}
}

// Guards against an estimate that follows the jumps of a single time of day, forward, back, and beyond.
func TestJumpsOfOneClockChangeNothing(t *testing.T) {
	w := newWorld(0, 30*time.Millisecond, -20*time.Millisecond, 10*time.Millisecond, 0)
	w.run(3 * time.Second)
	for _, jump := range []time.Duration{2 * time.Second, 0, -2 * time.Second, 5 * time.Second, 0} {
		w.machines[0].wrong = jump
		for range 50 {
			w.run(tickInterval)
			w.check(t, "after a jump to "+jump.String())
		}
	}
}

// Guards against a machine that falls back to its own wrong clock while it is cut off from the others.
func TestEstimateOutlastsACut(t *testing.T) {
	w := newWorld(2*time.Second, 0, 0, 0, 0)
	w.run(3 * time.Second)
	w.machines[0].cut = true
	for range 60 {
		w.run(time.Second)
		w.check(t, "while it is cut off")
	}
}

// Guards against a machine alone that has no time, or that never accepts the correction of its clock.
func TestMachineAloneUsesItsOwnClock(t *testing.T) {
	w := newWorld(0)
	w.run(2 * time.Second)
	w.check(t, "alone")
	w.machines[0].wrong = 2 * time.Second
	w.run(500 * time.Millisecond)
	w.check(t, "shortly after a jump")
	w.run(2 * time.Second)
	if wrong := w.estimates()[0]; wrong != 2*time.Second {
		t.Errorf("the estimate differs from a clock that was set by 2 s by %v", 2*time.Second-wrong)
	}
}

// Guards against two machines that count the same moment in different windows.
func TestTwoMachinesThatDifferAgree(t *testing.T) {
	w := newWorld(2*time.Second, 0)
	w.run(3 * time.Second)
	estimates := w.estimates()
	if difference := (estimates[0] - estimates[1]).Abs(); difference > 2*delay {
		t.Errorf("the estimates differ by %v", difference)
	}
}

// Guards against a new machine that counts by its own wrong clock until the hold time is over.
func TestNewMachineAdoptsTheOthersTimeAtOnce(t *testing.T) {
	w := newWorld(0, 0, 0, 0)
	w.run(2 * time.Second)
	w.add(netip.MustParseAddr("10.0.1.1"), -2*time.Second, 0)
	w.run(2 * tickInterval)
	w.check(t, "0.2 s after the first reports")
}

// Guards against messages that waited for a suspended machine: they show times that have passed.
func TestMessagesFromBeforeASuspension(t *testing.T) {
	w := newWorld(make([]time.Duration, 5)...)
	w.run(3 * time.Second)
	old := epoch.Add(w.elapsed)
	w.elapsed += 6 * time.Second // the boot-time clock counts the suspension
	suspended := w.machines[0]
	for _, other := range w.machines[1:] {
		suspended.clock.Observe(other.address, old)
	}
	suspended.clock.Tick()
	w.check(t, "after the suspension")
	w.run(3 * time.Second)
	w.check(t, "later")
}
