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

func scenario(entries int, l Limits, requestDuration time.Duration, f Fault) Scenario {
	return Scenario{
		Entries: entries, Limits: l, Offered: 2, Tokens: 100, RequestDuration: requestDuration, Fault: f, Seed: 1,
		Delay: time.Millisecond, ListLag: 3 * time.Second, FaultTime: 6 * time.Second, Duration: 24 * time.Second,
	}
}

// Guards against exceeding the limits over all entries when an owner dies, pauses or joins, or entries are isolated.
// Beyond one burst, the rate limits must not be exceeded. Concurrency may be exceeded by requests that continue at
// entries that lost the owner, and by the shares of isolated entries that had not sent the owner a demand.
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
				maxExcess := map[Fault]float64{FaultOwnerDies: 1, FaultOwnerPauses: 1, FaultPartition: 0.5, FaultEntryIsolated: share}
				sc := scenario(c.entries, Limits{Requests: 100, Tokens: 8000}, time.Second, f)
				sc.Skew = c.skew
				rates := Simulate(sc)
				if rates.Requests > 0.01 || rates.Tokens > 0.01 || rates.Utilization < 0.75 {
					t.Errorf("%+v: rates: %+v", c, rates)
				}
				sc.Limits, sc.Offered = Limits{Requests: 1000, Concurrency: limit}, 0.2
				permits := Simulate(sc)
				if permits.Concurrency > maxExcess[f] {
					t.Errorf("%+v: concurrency exceeded by more than %.2f: %+v", c, maxExcess[f], permits)
				}
				t.Logf("%+v: requests +%.3f, tokens +%.3f, concurrency +%.3f; used %.2f and %.2f",
					c, rates.Requests, rates.Tokens, permits.Concurrency, rates.Utilization, permits.Utilization)
			}
		})
	}
}

// network delivers the calls between entries in a synctest bubble.
type network struct {
	limiters    map[string]*Limiter
	owners      map[string]*Owner
	unreachable map[string]bool
}

var errUnreachable = errors.New("unreachable")

type networkClient struct {
	net  *network
	from string
}

func (w networkClient) Call(ctx context.Context, instance, method string, payload []byte) ([]byte, error) {
	time.Sleep(time.Millisecond)
	if method != Method || w.net.unreachable[instance] || w.net.unreachable[w.from] {
		return nil, errUnreachable
	}
	return w.net.owners[instance].Handle(ctx, w.from, payload)
}

// withNetwork runs f with n running entries in a bubble of virtual time.
func withNetwork(t *testing.T, n int, limits Limits, f func(t *testing.T, ctx context.Context, net *network)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f(t, ctx, newNetwork(ctx, n, limits))
		cancel()
		time.Sleep(2 * callTimeout)
	})
}

func newNetwork(ctx context.Context, n int, limits Limits) *network {
	net := &network{limiters: make(map[string]*Limiter), owners: make(map[string]*Owner), unreachable: make(map[string]bool)}
	var m Members
	for i := range n {
		m.Live = append(m.Live, fmt.Sprintf("e%d", i))
	}
	codec := Codec{Marshal: cbor.Marshal, Unmarshal: cbor.Unmarshal}
	for _, name := range m.Live {
		o := NewOwner(name, time.Now, codec)
		o.AssumeFresh()
		o.SetMembers(time.Now(), m)
		l := NewLimiter(LimiterSettings{
			Self: name, Limits: func(Key) Limits { return limits }, Owner: o, Client: networkClient{net, name}, Codec: codec, Clock: time.Now,
		})
		l.SetMembers(m)
		net.owners[name], net.limiters[name] = o, l
		go l.Run(ctx)
	}
	return net
}

func (n *network) stateCounts(name string) (local, owned int) {
	l, o := n.limiters[name], n.owners[name]
	l.mu.Lock()
	defer l.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(l.states), len(o.states)
}

// Guards against a first request that waits for more than one call. Uses encoded messages and Limiter.Run.
func TestFirstRequestWaitsOneCall(t *testing.T) {
	withNetwork(t, 2, Limits{Requests: 10, Tokens: 1000, Concurrency: 3}, func(t *testing.T, ctx context.Context, net *network) {
		for name, l := range net.limiters {
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

// Guards against permits that are never returned and against state of idle keys that is never deleted.
func TestPermitsReturnAndIdleStateIsDeleted(t *testing.T) {
	withNetwork(t, 3, Limits{Concurrency: 3}, func(t *testing.T, ctx context.Context, net *network) {
		k := Key{"orders", "w1"}
		for range 5 {
			for _, l := range net.limiters {
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
		for name := range net.limiters {
			if local, owned := net.stateCounts(name); local != 0 || owned != 0 {
				t.Errorf("%s still has the state of %d local and %d owned keys", name, local, owned)
			}
		}
	})
}

// Guards against an isolated entry that admits no request, or more than its share.
func TestIsolatedEntryUsesItsShare(t *testing.T) {
	withNetwork(t, 4, Limits{Requests: 40}, func(t *testing.T, _ context.Context, net *network) {
		k := Key{"chat", "w1"}
		m := net.limiters["e0"].members
		isolated := m.Live[(m.rank(k, m.Live[0])+1)%4]
		for isolated == m.owner(k) {
			isolated = m.Live[(m.rank(k, isolated)+1)%4]
		}
		net.unreachable[isolated] = true
		admitted := 0
		for range 1000 {
			if net.limiters[isolated].Admit(time.Now(), k, 1).Result == Admitted {
				admitted++
			}
			time.Sleep(10 * time.Millisecond)
		}
		if admitted < 90 || admitted > 100 {
			t.Errorf("%d requests admitted in 10 s, want a quarter of 400, less those during the owner timeout", admitted)
		}
	})
}

// Guards against shares that add up to more or less than the limit, for every remainder of the division.
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

// Guards against a few entries that own most keys, and against keys that change their owner when another entry leaves.
func TestOwnersAreSpreadAndStable(t *testing.T) {
	var m Members
	for i := range 36 {
		m.Live = append(m.Live, fmt.Sprintf("entry-%d", i))
	}
	remaining := Members{Live: m.Live[1:]}
	counts := make(map[string]int)
	for i := range 3600 {
		k := Key{fmt.Sprintf("class-%d", i%8), fmt.Sprintf("workspace-%d", i)}
		counts[m.owner(k)]++
		if before := m.owner(k); before != m.Live[0] && remaining.owner(k) != before {
			t.Fatalf("key %v moved from %s although %s left", k, before, m.Live[0])
		}
	}
	for name, c := range counts {
		if c < 50 || c > 170 {
			t.Errorf("%s owns %d of 3600 keys, want about 100", name, c)
		}
	}
}

// Guards against freeing permits in use when a resumed owner processes a batch after a later one.
func TestOutOfOrderBatchIsIgnored(t *testing.T) {
	o := NewOwner("a", func() time.Time { return epoch }, Codec{})
	o.AssumeFresh()
	o.SetMembers(epoch, Members{Live: []string{"a"}})
	limits := Limits{Concurrency: 5}
	grant := func(from string, seq uint64, d Demand) Grant {
		d.Class, d.Workspace, d.Limits = "c", "w", limits
		return o.Grant(epoch, from, &AllowanceRequest{Seq: seq, Demands: []Demand{d}}).Grants[0]
	}
	if g := grant("b", 2, Demand{Waiting: 5}); g.Permits != 5 {
		t.Fatalf("grant %+v", g)
	}
	if g := grant("b", 1, Demand{}); g.Status != StatusStale {
		t.Errorf("batch out of order: %+v", g)
	}
	if g := grant("c", 1, Demand{Waiting: 5}); g.Permits != 0 {
		t.Errorf("%d permits granted a second time", g.Permits)
	}
}

// Guards against a faulty entry that corrupts the buckets with NaN, infinite or negative values.
func TestInvalidDemandIsRefused(t *testing.T) {
	o := NewOwner("a", func() time.Time { return epoch }, Codec{})
	o.AssumeFresh()
	o.SetMembers(epoch, Members{Live: []string{"a"}})
	nan := 0.0
	nan /= nan
	for _, d := range []Demand{{WantRequests: nan}, {ReturnTokens: nan}, {InUse: -1}, {WantTokens: -1}, {UnusedTokens: 1 / (nan * 0)}} {
		d.Limits = Limits{Requests: 1, Tokens: 1}
		if g := o.Grant(epoch, "b", &AllowanceRequest{Demands: []Demand{d}}).Grants[0]; g.Status != StatusNotOwner {
			t.Errorf("%+v: %+v", d, g)
		}
	}
}

// Guards against a reservation larger than the bucket's capacity that waits forever, and against an average rate above
// the limit due to such reservations or to responses longer than reserved.
func TestLargeReservationsStayWithinTheRate(t *testing.T) {
	withNetwork(t, 2, Limits{Tokens: 1000}, func(t *testing.T, ctx context.Context, net *network) {
		used, start := 0, time.Now()
		for time.Since(start) < 2*time.Minute {
			for _, l := range net.limiters {
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

// Guards against a new owner that grants allowances while those of the failed owner are still valid.
func TestNewOwnerWaitsForPreviousAllowances(t *testing.T) {
	before, after := Members{Live: []string{"a", "b", "c"}}, Members{Live: []string{"b", "c"}}
	k := Key{"c", "0"}
	for i := 1; before.owner(k) != "a" || after.owner(k) != "b"; i++ {
		k.Workspace = fmt.Sprint(i)
	}
	o := NewOwner("b", func() time.Time { return epoch }, Codec{})
	o.AssumeFresh()
	o.SetMembers(epoch, before)
	o.SetMembers(epoch.Add(time.Minute), after)
	grant := func(at time.Duration, from string, d Demand) Grant {
		d.Class, d.Workspace, d.Limits = k.Class, k.Workspace, Limits{Requests: 10, Concurrency: 4}
		return o.Grant(epoch.Add(time.Minute+at), from, &AllowanceRequest{Demands: []Demand{d}}).Grants[0]
	}
	if g := grant(time.Second, "c", Demand{InUse: 1, Permits: 3, Waiting: 2, WantRequests: 5}); g.Status != StatusTakingOver || g.Permits != 3 || g.Requests != 0 {
		t.Errorf("during the takeover: %+v, want 3 permits confirmed and nothing new", g)
	}
	if g := grant(Lifetime+10*time.Millisecond, "b", Demand{Waiting: 4, WantRequests: 5}); g.Permits != 1 || g.Requests != 0 {
		t.Errorf("after the takeover: %+v, want the one free permit and an empty bucket", g)
	}
	if g := grant(Lifetime+510*time.Millisecond, "b", Demand{WantRequests: 9}); g.Requests != 5 {
		t.Errorf("half a second later: %+v, want 5 requests", g)
	}
}

// Guards against granting permits to another entry before the entry that has them has received their revocation.
func TestPermitsAreRevokedInTwoSteps(t *testing.T) {
	m := Members{Live: []string{"a"}}
	o := NewOwner("a", func() time.Time { return epoch }, Codec{})
	o.AssumeFresh()
	o.SetMembers(epoch, m)
	grant := func(from string, d Demand) int {
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
		if got := grant(step.from, step.d); got != step.want {
			t.Errorf("step %d: %d permits for %s, want %d", i, got, step.from, step.want)
		}
	}
}

// Guards against refusing requests within the limits right after the owner starts, while it waits for allowances of an
// unknown earlier owner to expire.
func TestStartWaitsInsteadOfRefusing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		net := newNetwork(ctx, 2, Limits{Requests: 2, Concurrency: 1})
		m := net.limiters["e0"].members
		k := ownedBy(m, "e0")
		codec := Codec{Marshal: cbor.Marshal, Unmarshal: cbor.Unmarshal}
		restarted := NewOwner("e0", time.Now, codec)
		restarted.SetMembers(time.Now(), m)
		net.owners["e0"] = restarted
		net.unreachable["e1"] = true // no handover
		l := NewLimiter(LimiterSettings{
			Self: "e0", Limits: func(Key) Limits { return Limits{Requests: 2, Concurrency: 1} }, Owner: restarted,
			Client: networkClient{net, "e0"}, Codec: codec, Clock: time.Now,
		})
		l.SetMembers(m)
		go l.Run(ctx)
		before := time.Now()
		d := l.AdmitWait(ctx, k, 1)
		if waited := time.Since(before); d.Result != Admitted || waited > Lifetime+2*BatchInterval {
			t.Errorf("%+v after %v", d, waited)
		}
		cancel()
		time.Sleep(2 * callTimeout)
	})
}

// Guards against using an allowance after its owner considers it expired, when the response was slow.
func TestAllowanceExpiresFromSending(t *testing.T) {
	m := Members{Live: []string{"a", "b"}}
	k := ownedBy(m, "a")
	l := NewLimiter(LimiterSettings{
		Self: "b", Limits: func(Key) Limits { return Limits{Requests: 10} }, Clock: func() time.Time { return epoch },
		Owner: NewOwner("b", func() time.Time { return epoch }, Codec{}),
	})
	l.SetMembers(m)
	if d := l.Admit(epoch, k, 1); d.Result != Wait {
		t.Fatalf("first request: %+v", d)
	}
	b := l.Collect(epoch)[0]
	l.Apply(epoch.Add(1900*time.Millisecond), &b, &AllowanceGrant{Grants: []Grant{{Status: StatusGranted, Requests: 5}}})
	if d := l.Admit(epoch.Add(1950*time.Millisecond), k, 1); d.Result != Admitted {
		t.Errorf("before the expiry: %+v", d)
	}
	if d := l.Admit(epoch.Add(2001*time.Millisecond), k, 1); d.Result == Admitted {
		t.Errorf("after the expiry: %+v", d)
	}
}
