package scale

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleet is a service whose replicas start after the boot time, driven by a planner.
type fleet struct {
	service Service
	planner Planner
	now     time.Time
	ready   map[string]int
	// starting are the times at which ordered replicas are ready, by zone.
	starting map[string][]time.Time
	// desired is the number that the platform has accepted, by zone.
	desired map[string]int
	// lost zones start no replicas, and a refusing platform accepts no orders.
	lost     map[string]bool
	refusing bool
	orders   []Order
	starts   int
}

const tick = 500 * time.Millisecond

func newFleet(perZone int) *fleet {
	f := &fleet{
		service: Service{Name: "lm", Min: 1, Max: 12, Boot: 4 * time.Second, Slots: 10},
		now:     time.Unix(1000, 0), ready: map[string]int{}, starting: map[string][]time.Time{}, desired: map[string]int{}, lost: map[string]bool{},
	}
	for _, zone := range []string{"a", "b", "c"} {
		f.ready[zone], f.desired[zone] = perZone, perZone
	}
	return f
}

// step passes one tick in which the given requests run, divided over the ready replicas.
func (f *fleet) step(requests int) {
	f.now = f.now.Add(tick)
	total := 0
	for zone, times := range f.starting {
		f.starting[zone] = slices.DeleteFunc(times, func(at time.Time) bool {
			if at.After(f.now) || f.lost[zone] {
				return false
			}
			f.ready[zone]++
			return true
		})
	}
	for _, n := range f.ready {
		total += n
	}
	o := Observation{Service: f.service, Target: time.Second}
	for _, zone := range []string{"a", "b", "c"} {
		o.Zones = append(o.Zones, Zone{Name: zone, Ready: f.ready[zone], Running: requests * f.ready[zone] / max(1, total)})
	}
	for _, order := range f.planner.Plan(f.now, o) {
		f.orders = append(f.orders, order)
		if f.refusing {
			continue
		}
		f.planner.Confirm(order)
		for f.desired[order.Zone] < order.Replicas {
			f.desired[order.Zone]++
			f.starts++
			f.starting[order.Zone] = append(f.starting[order.Zone], f.now.Add(f.service.Boot))
		}
		for f.desired[order.Zone] > order.Replicas {
			f.desired[order.Zone]--
			f.ready[order.Zone]--
		}
	}
}

func (f *fleet) run(d time.Duration, requests int) {
	for range int(d / tick) {
		f.step(requests)
	}
}

func (f *fleet) capacity() int {
	total := 0
	for _, n := range f.ready {
		total += n
	}
	return total * f.service.Slots
}

// Guards against a peak that is followed too late: replicas are ordered while the demand still rises.
func TestOrdersAheadOfARisingPeak(t *testing.T) {
	f := newFleet(2)
	for requests := 20; requests <= 120; requests += 5 {
		f.step(requests)
	}
	f.run(f.service.Boot+tick, 120)
	if f.capacity() < 120 {
		t.Errorf("%d requests at once fit after a start time at the peak, want 120", f.capacity())
	}
}

// Guards against replicas that are taken away in the trough of a wave whose next peak needs them, and against orders up and down.
func TestWavesKeepTheirReplicas(t *testing.T) {
	f := newFleet(3)
	for wave := range 8 {
		f.run(8*time.Second, 90)
		if wave > 0 && f.capacity() < 90 {
			t.Errorf("wave %d: %d requests at once fit at the peak, want 90", wave, f.capacity())
		}
		f.run(8*time.Second, 15)
	}
	before := f.starts
	f.run(8*time.Second, 90)
	if f.starts != before {
		t.Errorf("%d replicas were started for the ninth wave", f.starts-before)
	}
}

// Guards against replicas that stay after the demand has ended, and against a fleet that is halved at once.
func TestShrinksSlowlyAfterADrop(t *testing.T) {
	f := newFleet(8)
	f.run(20*time.Second, 150)
	largest := f.capacity()
	f.run(30*time.Second, 5)
	if f.capacity() < largest {
		t.Errorf("capacity %d 30 s after the drop, want %d: the peak may return", f.capacity(), largest)
	}
	f.run(5*time.Minute, 5)
	if f.capacity() != 30 {
		t.Errorf("capacity %d after five minutes without demand, want the minimum of 30", f.capacity())
	}
	for i := 1; i < len(f.orders); i++ {
		if a, b := f.orders[i-1], f.orders[i]; a.Zone == b.Zone && b.Replicas < a.Replicas-1 {
			t.Errorf("%+v follows %+v", b, a)
		}
	}
}

// Guards against a zone that is lost, or in which no replica starts, and whose replicas are made up nowhere.
func TestOtherZonesMakeUpForALostOne(t *testing.T) {
	f := newFleet(4)
	f.run(10*time.Second, 70)
	f.lost["b"], f.ready["b"] = true, 0
	f.run(overdueBoots*f.service.Boot+2*f.service.Boot, 70)
	if got := (f.ready["a"] + f.ready["c"]) * f.service.Slots; float64(got)*targetUse < 70 {
		t.Errorf("%d requests at once fit in the other zones, want 70 at %g of the capacity", got, targetUse)
	}
}

// Guards against an order that is given up after a refusal, and against one that is repeated after it was accepted.
func TestRefusedOrdersAreRepeatedUntilAccepted(t *testing.T) {
	f := newFleet(1)
	f.refusing = true
	f.run(3*time.Second, 60)
	if len(f.orders) == 0 || f.starts != 0 {
		t.Fatalf("%d orders, %d starts at a platform that refuses", len(f.orders), f.starts)
	}
	f.refusing = false
	f.step(60)
	accepted := len(f.orders)
	f.run(5*time.Second, 60)
	if len(f.orders) > accepted+3 {
		t.Errorf("%d orders after the accepted ones without a change of the demand", len(f.orders)-accepted)
	}
}

// Guards against a holder that takes over and orders fewer replicas than there are, because it has not seen the peak.
func TestNewHolderStartsFromWhatIsThere(t *testing.T) {
	f := newFleet(6)
	f.step(5)
	for _, o := range f.orders {
		t.Errorf("order %+v at the first observation", o)
	}
}

// Guards against a backlog of prompts that orders nothing, because few requests run.
func TestBacklogOfPromptsCounts(t *testing.T) {
	var p Planner
	service := Service{Name: "lm", Min: 1, Max: 12, Boot: 4 * time.Second, Slots: 64}
	orders := p.Plan(time.Unix(1000, 0), Observation{Service: service, Target: time.Second, Zones: []Zone{{Name: "a", Ready: 2, Running: 4, Backlog: 3 * time.Second}}})
	if len(orders) != 1 || orders[0].Replicas != 10 {
		t.Errorf("orders %+v, want 10 replicas: 3 s of prompts within 0.5 s at %g", orders, targetUse)
	}
}

// Guards against numbers outside the bounds of a zone, and against changes down by more than one, for any demand.
func TestOrdersStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 5).Draw(t, "replicas"))
		last := map[string]int{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			f.lost["a"] = rapid.IntRange(0, 9).Draw(t, "lost") == 0
			f.refusing = rapid.IntRange(0, 4).Draw(t, "refusing") == 0
			began := len(f.orders)
			f.step(rapid.IntRange(0, 500).Draw(t, "requests"))
			for _, o := range f.orders[began:] {
				if o.Replicas < f.service.Min || o.Replicas > f.service.Max {
					t.Fatalf("order %+v is outside %d to %d", o, f.service.Min, f.service.Max)
				}
				if before, ok := last[o.Zone]; ok && o.Replicas < before-1 {
					t.Fatalf("order %+v follows one of %d", o, before)
				}
				last[o.Zone] = o.Replicas
			}
		}
	})
}
