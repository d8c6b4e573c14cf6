package limit

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
)

var epoch = time.Unix(1_000_000, 0)

func scenario(entries int, l Limits, hold time.Duration, f Fault) Scenario {
	return Scenario{
		Entries: entries, Limits: l, Offered: 2, Tokens: 100, Hold: hold, Fault: f, Seed: 1,
		Delay: time.Millisecond, ListLag: 3 * time.Second, FaultTime: 6 * time.Second, Duration: 24 * time.Second,
	}
}

// Guards against limits exceeded over all entries when an owner dies, pauses or joins, or entries are cut off.
// Rates must hold after one burst. Concurrency may be exceeded by what runs on at entries that lost the owner, and by
// the shares of cut-off entries that the owner had not heard of.
func TestOvershootIsBounded(t *testing.T) {
	const limit = 20
	for _, f := range Faults {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			for _, c := range []struct {
				entries int
				skew    float64
			}{{2, 0.9}, {8, 0}, {8, 0.9}} {
				share := float64((limit+c.entries-1)/c.entries) / limit
				most := map[Fault]float64{FaultOwnerDies: 1, FaultOwnerPauses: 1, FaultPartition: 0.5, FaultEntryCutOff: share}
				sc := scenario(c.entries, Limits{Requests: 100, Tokens: 8000}, time.Second, f)
				sc.Skew = c.skew
				rates := Simulate(sc)
				if rates.Requests > 0.01 || rates.Tokens > 0.01 || rates.Utilization < 0.75 {
					t.Errorf("%+v: rates: %+v", c, rates)
				}
				sc.Limits, sc.Offered = Limits{Requests: 1000, Concurrency: limit}, 0.2
				permits := Simulate(sc)
				if permits.Concurrency > most[f] {
					t.Errorf("%+v: concurrency exceeded by more than %.2f: %+v", c, most[f], permits)
				}
				t.Logf("%+v: requests +%.3f, tokens +%.3f, concurrency +%.3f; used %.2f and %.2f",
					c, rates.Requests, rates.Tokens, permits.Concurrency, rates.Utilization, permits.Utilization)
			}
		})
	}
}

// network delivers the calls of a group of entries in a synctest bubble.
type network struct {
	locals map[string]*Local
	owners map[string]*Owner
	down   map[string]bool
}

var errDown = errors.New("unreachable")

type wire struct {
	net  *network
	from string
}

func (w wire) Call(ctx context.Context, instance, method string, payload []byte) ([]byte, error) {
	time.Sleep(time.Millisecond)
	if method != Method || w.net.down[instance] || w.net.down[w.from] {
		return nil, errDown
	}
	return w.net.owners[instance].Handle(ctx, w.from, payload)
}

// inNetwork runs f with the loops of n entries in a bubble of virtual time.
func inNetwork(t *testing.T, n int, limits Limits, f func(t *testing.T, ctx context.Context, net *network)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f(t, ctx, newNetwork(ctx, n, limits))
		cancel()
		time.Sleep(2 * callTimeout)
	})
}

func newNetwork(ctx context.Context, n int, limits Limits) *network {
	net := &network{locals: make(map[string]*Local), owners: make(map[string]*Owner), down: make(map[string]bool)}
	var m Members
	for i := range n {
		m.Live = append(m.Live, fmt.Sprintf("e%d", i))
	}
	codec := Codec{Marshal: cbor.Marshal, Unmarshal: cbor.Unmarshal}
	for _, name := range m.Live {
		o := NewOwner(name, time.Now, codec)
		o.AssumeFresh()
		o.SetMembers(time.Now(), m)
		l := NewLocal(LocalSettings{
			Self: name, Limits: func(Key) Limits { return limits }, Owner: o, Caller: wire{net, name}, Codec: codec, Clock: time.Now,
		})
		l.SetMembers(m)
		net.owners[name], net.locals[name] = o, l
		go l.Run(ctx)
	}
	return net
}

func (n *network) sizes(name string) (accounts, ledgers int) {
	l, o := n.locals[name], n.owners[name]
	l.mu.Lock()
	defer l.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(l.accounts), len(o.ledgers)
}

// Guards against a first request that waits for more than one call, over the encoded messages and the real loop.
func TestFirstRequestWaitsOneCall(t *testing.T) {
	inNetwork(t, 2, Limits{Requests: 10, Tokens: 1000, Concurrency: 3}, func(t *testing.T, ctx context.Context, net *network) {
		for name, l := range net.locals {
			k := Key{"chat", name}
			before := time.Now()
			if d := l.AdmitWait(ctx, k, 200); d.Result != Admitted {
				t.Fatalf("%s: %+v", name, d)
			}
			if waited := time.Since(before); waited > 2*time.Millisecond {
				t.Errorf("%s waited %v", name, waited)
			}
			l.Settle(k, 200, 150)
		}
	})
}

// Guards against a concurrency limit that leaks: permits must come back, and idle accounts must disappear everywhere.
func TestPermitsReturnAndStateIsForgotten(t *testing.T) {
	inNetwork(t, 3, Limits{Concurrency: 3}, func(t *testing.T, ctx context.Context, net *network) {
		k := Key{"orders", "w1"}
		for range 5 {
			for _, l := range net.locals {
				for range 3 {
					if d := l.AdmitWait(ctx, k, 1); d.Result != Admitted {
						t.Fatalf("%+v", d)
					}
				}
				if d := l.AdmitWait(ctx, k, 1); d.Result != Concurrency || d.RetryAfter <= 0 {
					t.Fatalf("fourth request: %+v", d)
				}
				for range 3 {
					l.Settle(k, 1, 1)
				}
				time.Sleep(3 * time.Second)
			}
		}
		time.Sleep(2 * time.Minute)
		for name := range net.locals {
			if a, g := net.sizes(name); a != 0 || g != 0 {
				t.Errorf("%s keeps %d accounts and %d ledgers", name, a, g)
			}
		}
	})
}

// Guards against a cut-off entry that admits nothing, or more than its share.
func TestCutOffEntryUsesItsShare(t *testing.T) {
	inNetwork(t, 4, Limits{Requests: 40}, func(t *testing.T, _ context.Context, net *network) {
		k := Key{"chat", "w1"}
		m := net.locals["e0"].members
		cut := m.Live[(m.rank(k, m.Live[0])+1)%4]
		for cut == m.owner(k) {
			cut = m.Live[(m.rank(k, cut)+1)%4]
		}
		net.down[cut] = true
		admitted := 0
		for range 1000 {
			if net.locals[cut].Admit(time.Now(), k, 1).Result == Admitted {
				admitted++
			}
			time.Sleep(10 * time.Millisecond)
		}
		if admitted < 90 || admitted > 100 {
			t.Errorf("%d requests admitted in 10 s, want a quarter of 400, from which the patience is taken", admitted)
		}
	})
}

// Guards against a fallback of all entries together above the limit, for every remainder of the division.
func TestSharesAddUpToTheLimit(t *testing.T) {
	for n := 1; n <= 9; n++ {
		var m Members
		for i := range n {
			m.Live = append(m.Live, fmt.Sprintf("e%d", i))
		}
		for limit := range 20 {
			sum := 0
			for _, name := range m.Live {
				sum += m.share(Limits{Concurrency: limit}, Key{"c", "w"}, name).Concurrency
			}
			if sum != limit {
				t.Errorf("%d entries share %d of %d", n, sum, limit)
			}
		}
	}
}

// Guards against keys that pile up at few owners, and against moving keys when an unrelated entry leaves.
func TestOwnersAreSpreadAndStable(t *testing.T) {
	var m Members
	for i := range 36 {
		m.Live = append(m.Live, fmt.Sprintf("entry-%d", i))
	}
	less := Members{Live: m.Live[1:]}
	counts := make(map[string]int)
	for i := range 3600 {
		k := Key{fmt.Sprintf("class-%d", i%8), fmt.Sprintf("workspace-%d", i)}
		counts[m.owner(k)]++
		if was := m.owner(k); was != m.Live[0] && less.owner(k) != was {
			t.Fatalf("key %v moved from %s although %s left", k, was, m.Live[0])
		}
	}
	for name, c := range counts {
		if c < 50 || c > 170 {
			t.Errorf("%s owns %d of 3600 keys, want about 100", name, c)
		}
	}
}

// Guards against a batch that a paused owner processes after a later one and that would free permits in use.
func TestOvertakenBatchIsIgnored(t *testing.T) {
	o := NewOwner("a", func() time.Time { return epoch }, Codec{})
	o.AssumeFresh()
	o.SetMembers(epoch, Members{Live: []string{"a"}})
	limits := Limits{Concurrency: 5}
	ask := func(from string, seq uint64, d Demand) Grant {
		d.Class, d.Workspace, d.Limits = "c", "w", limits
		return o.Grant(epoch, from, &AllowanceRequest{Seq: seq, Demands: []Demand{d}}).Grants[0]
	}
	if g := ask("b", 2, Demand{Waiting: 5}); g.Permits != 5 {
		t.Fatalf("grant %+v", g)
	}
	if g := ask("b", 1, Demand{}); g.Status != StatusStale {
		t.Errorf("overtaken batch: %+v", g)
	}
	if g := ask("c", 1, Demand{Waiting: 5}); g.Permits != 0 {
		t.Errorf("%d permits lent a second time", g.Permits)
	}
}

// Guards against buckets that a faulty entry empties or fills with values that are not numbers.
func TestInvalidDemandIsRefused(t *testing.T) {
	o := NewOwner("a", func() time.Time { return epoch }, Codec{})
	o.AssumeFresh()
	o.SetMembers(epoch, Members{Live: []string{"a"}})
	nan := 0.0
	nan /= nan
	for _, d := range []Demand{{WantRequests: nan}, {ReturnTokens: nan}, {InUse: -1}, {WantTokens: -1}, {HeldTokens: 1 / (nan * 0)}} {
		d.Limits = Limits{Requests: 1, Tokens: 1}
		if g := o.Grant(epoch, "b", &AllowanceRequest{Demands: []Demand{d}}).Grants[0]; g.Status != StatusNotOwner {
			t.Errorf("%+v: %+v", d, g)
		}
	}
}

// Guards against a reservation larger than one second of the limit that would wait for ever, and against a long-run
// rate above the limit through such reservations or through responses longer than reserved.
func TestLargeReservationsKeepTheRate(t *testing.T) {
	inNetwork(t, 2, Limits{Tokens: 1000}, func(t *testing.T, ctx context.Context, net *network) {
		used, start := 0, time.Now()
		for time.Since(start) < 2*time.Minute {
			for _, l := range net.locals {
				if l.AdmitWait(ctx, Key{"c", "w"}, 5000).Result == Admitted {
					used += 6000
					l.Settle(Key{"c", "w"}, 5000, 6000)
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		if used < 100_000 || used > 121_000+12_000 {
			t.Errorf("%d tokens in 120 s at 1,000 tokens/s", used)
		}
	})
}

// ownedBy returns a key that the instance owns.
func ownedBy(m Members, instance string) Key {
	for i := 0; ; i++ {
		if k := (Key{"c", fmt.Sprint(i)}); m.owner(k) == instance {
			return k
		}
	}
}

// Guards against a new owner that lends what the dead one still has outstanding.
func TestNewOwnerWaitsForTheOldOnesAllowances(t *testing.T) {
	before, after := Members{Live: []string{"a", "b", "c"}}, Members{Live: []string{"b", "c"}}
	k := Key{"c", "0"}
	for i := 1; before.owner(k) != "a" || after.owner(k) != "b"; i++ {
		k.Workspace = fmt.Sprint(i)
	}
	o := NewOwner("b", func() time.Time { return epoch }, Codec{})
	o.AssumeFresh()
	o.SetMembers(epoch, before)
	o.SetMembers(epoch.Add(time.Minute), after)
	ask := func(at time.Duration, from string, d Demand) Grant {
		d.Class, d.Workspace, d.Limits = k.Class, k.Workspace, Limits{Requests: 10, Concurrency: 4}
		return o.Grant(epoch.Add(time.Minute+at), from, &AllowanceRequest{Demands: []Demand{d}}).Grants[0]
	}
	if g := ask(time.Second, "c", Demand{InUse: 1, Permits: 3, Waiting: 2, WantRequests: 5}); g.Status != StatusTakingOver || g.Permits != 3 || g.Requests != 0 {
		t.Errorf("during the takeover: %+v, want 3 permits confirmed and nothing new", g)
	}
	if g := ask(Lifetime+10*time.Millisecond, "b", Demand{Waiting: 4, WantRequests: 5}); g.Permits != 1 || g.Requests != 0 {
		t.Errorf("after the takeover: %+v, want the one free permit and an empty bucket", g)
	}
	if g := ask(Lifetime+510*time.Millisecond, "b", Demand{WantRequests: 9}); g.Requests != 5 {
		t.Errorf("half a second later: %+v, want 5 requests", g)
	}
}

// Guards against lending permits to another entry before their holder has learned that it must give them up.
func TestPermitsAreRevokedInTwoSteps(t *testing.T) {
	m := Members{Live: []string{"a"}}
	o := NewOwner("a", func() time.Time { return epoch }, Codec{})
	o.AssumeFresh()
	o.SetMembers(epoch, m)
	ask := func(from string, d Demand) int {
		d.Class, d.Workspace, d.Limits = "c", "w", Limits{Concurrency: 5}
		return o.Grant(epoch, from, &AllowanceRequest{Demands: []Demand{d}}).Grants[0].Permits
	}
	for i, step := range []struct {
		from string
		d    Demand
		want int
	}{
		{"b", Demand{Waiting: 5}, 5},
		{"c", Demand{Waiting: 5}, 0},
		{"b", Demand{InUse: 1, Waiting: 4, Permits: 5}, 3},
		{"c", Demand{Waiting: 5}, 0},
		{"b", Demand{InUse: 3, Waiting: 2, Permits: 3}, 3},
		{"c", Demand{Waiting: 5}, 2},
	} {
		if got := ask(step.from, step.d); got != step.want {
			t.Errorf("step %d: %d permits for %s, want %d", i, got, step.from, step.want)
		}
	}
}

// Guards against refusals right after a start, when the first members of an entry make it wait for an unknown
// predecessor's allowances although the load is within the limits.
func TestStartWaitsInsteadOfRefusing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		net := newNetwork(ctx, 2, Limits{Requests: 2, Concurrency: 1})
		m := net.locals["e0"].members
		k := ownedBy(m, "e0")
		codec := Codec{Marshal: cbor.Marshal, Unmarshal: cbor.Unmarshal}
		fresh := NewOwner("e0", time.Now, codec)
		fresh.SetMembers(time.Now(), m)
		net.owners["e0"] = fresh
		net.down["e1"] = true // no handover
		l := NewLocal(LocalSettings{
			Self: "e0", Limits: func(Key) Limits { return Limits{Requests: 2, Concurrency: 1} }, Owner: fresh,
			Caller: wire{net, "e0"}, Codec: codec, Clock: time.Now,
		})
		l.SetMembers(m)
		go l.Run(ctx)
		before := time.Now()
		d := l.AdmitWait(ctx, k, 1)
		if waited := time.Since(before); d.Result != Admitted || waited > Lifetime+2*Interval {
			t.Errorf("%+v after %v", d, waited)
		}
		cancel()
		time.Sleep(2 * callTimeout)
	})
}

// Guards against an allowance that outlives what its owner assumes, when the answer was slow.
func TestAllowanceExpiresFromSending(t *testing.T) {
	m := Members{Live: []string{"a", "b"}}
	k := ownedBy(m, "a")
	l := NewLocal(LocalSettings{
		Self: "b", Limits: func(Key) Limits { return Limits{Requests: 10} }, Clock: func() time.Time { return epoch },
		Owner: NewOwner("b", func() time.Time { return epoch }, Codec{}),
	})
	l.SetMembers(m)
	if d := l.Admit(epoch, k, 1); d.Result != Wait {
		t.Fatalf("first request: %+v", d)
	}
	b := l.Collect(epoch)[0]
	l.Apply(epoch.Add(1900*time.Millisecond), &b, &AllowanceGrant{Grants: []Grant{{Status: StatusLent, Requests: 5}}})
	if d := l.Admit(epoch.Add(1950*time.Millisecond), k, 1); d.Result != Admitted {
		t.Errorf("before the expiry: %+v", d)
	}
	if d := l.Admit(epoch.Add(2001*time.Millisecond), k, 1); d.Result == Admitted {
		t.Errorf("after the expiry: %+v", d)
	}
}
