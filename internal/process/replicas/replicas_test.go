package replicas_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflypin/dragonflypin/internal/process/replicas"
)

func registered(id string, draining bool) replicas.Change {
	return replicas.Change{ID: id, Replica: &replicas.Replica{ID: id, Service: "s", Address: "10.0.0.1:1", Draining: draining}}
}

// Guards against sending requests to removed or draining replicas, against removing expired registrations during a store outage,
// and against keeping them after it.
func TestRegistry(t *testing.T) {
	now := time.Unix(1000, 0)
	r := replicas.NewRegistry()
	usable := func(want ...string) {
		t.Helper()
		if r.View().Len() != len(want) {
			t.Fatalf("%d replicas, want %v", r.View().Len(), want)
		}
		for _, id := range want {
			if _, ok := r.View().Get(id); !ok {
				t.Fatalf("%s is missing", id)
			}
		}
	}
	r.Replace([]replicas.Change{registered("a", false), registered("b", false), registered("c", true), {ID: "garbage"}}, now)
	usable("a", "b")
	r.Apply([]replicas.Change{{ID: "a"}}, now)
	usable("b")
	r.StoreFailed(now, now)
	r.Apply([]replicas.Change{{ID: "b"}}, now)
	usable("b")
	r.StoreResponded(now)
	r.Expire(now.Add(2 * time.Second))
	usable("b")
	r.Expire(now.Add(3 * time.Second))
	usable()
	r.StoreFailed(now, now)
	r.StoreResponded(now.Add(4 * time.Second))
	r.Replace([]replicas.Change{registered("c", true)}, now.Add(4*time.Second))
	r.Apply([]replicas.Change{{ID: "c"}}, now.Add(4*time.Second))
	usable()
}

// Guards against reporting a change where nothing changed: it would cause store calls by other edges.
func TestOnlyChangesAreReported(t *testing.T) {
	now := time.Unix(1000, 0)
	r := replicas.NewRegistry()
	apply := func(what string, want bool, changes ...replicas.Change) {
		t.Helper()
		if got := len(r.Apply(changes, now)) > 0; got != want {
			t.Errorf("%s: changed %t, want %t", what, got, want)
		}
	}
	apply("a new registration", true, registered("a", false))
	apply("a renewal", false, registered("a", false))
	apply("a replica that drains", true, registered("a", true))
	apply("the removal of an unknown replica", false, replicas.Change{ID: "x"})
	apply("a second registration", true, registered("b", false), registered("a", true))
	r.StoreFailed(now, now)
	apply("a registration that expires during an outage", true, replicas.Change{ID: "b"})
	apply("the same expiry again", false, replicas.Change{ID: "b"})
	apply("a replica that registers again", true, registered("b", false))
	if r.Replace([]replicas.Change{registered("a", true), registered("b", false)}, now) {
		t.Error("an unchanged list is reported as a change")
	}
	if !r.Replace([]replicas.Change{registered("b", false)}, now) {
		t.Error("the removal of a draining replica is not reported as a change")
	}
}

// Guards against a view that depends on how registrations arrived: a list and the changes that lead to it give the same view.
func TestListAndChangesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		byChange, byList := replicas.NewRegistry(), replicas.NewRegistry()
		state := map[string]replicas.Change{}
		for _, step := range rapid.SliceOf(rapid.IntRange(0, 29)).Draw(t, "steps") {
			id := string(rune('a' + step%10))
			c := replicas.Change{ID: id}
			if step >= 10 {
				c = registered(id, step >= 20)
			}
			state[id] = c
			byChange.Apply([]replicas.Change{c}, now)
		}
		var list []replicas.Change
		for _, c := range state {
			if c.Replica != nil {
				list = append(list, c)
			}
		}
		byList.Replace(list, now)
		if byChange.View().Len() != byList.View().Len() {
			t.Fatalf("%d by changes, %d by list", byChange.View().Len(), byList.View().Len())
		}
		for id := range state {
			_, a := byChange.View().Get(id)
			_, b := byList.View().Get(id)
			if a != b {
				t.Fatalf("%s: %t by changes, %t by list", id, a, b)
			}
		}
	})
}

// Guards against a replica that has left and is kept for the time after an outage of the store, because some processes could not reach
// the store while it served the others (tilemend-tw-grown trouble-1, seed 379104803487: DRAIN); and against the reverse after
// a real outage.
func TestOutageOfOtherProcessesIsNoneHere(t *testing.T) {
	epoch := time.Unix(1000, 0)
	removed := func(responses []time.Duration, recovered time.Duration) bool {
		r := replicas.NewRegistry()
		r.Replace([]replicas.Change{{ID: "r-1", Replica: &replicas.Replica{ID: "r-1", Service: "s"}}}, epoch)
		for _, at := range responses {
			if at > recovered {
				break
			}
			r.StoreResponded(epoch.Add(at))
		}
		r.StoreRecovered(epoch.Add(recovered))
		r.Apply([]replicas.Change{{ID: "r-1"}}, epoch.Add(recovered+100*time.Millisecond))
		return r.View().Len() == 0
	}
	const ms = time.Millisecond
	if !removed([]time.Duration{0, 700 * ms, 1400 * ms, 2700 * ms, 3400 * ms}, 3500*ms) {
		t.Error("a replica that has left is kept although the store has served this process all the time")
	}
	if removed([]time.Duration{0, 700 * ms}, 4000*ms) {
		t.Error("a replica is removed after an outage that this process has not noticed")
	}
	if removed([]time.Duration{0, 700 * ms, 4010 * ms}, 4020*ms) {
		t.Error("a replica is removed because the first response after an outage came before the message about it")
	}
}

// Guards against a list that brings back a replica which has said that it leaves, and against a later start that stays out.
func TestLeavingReplicas(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := func(start int64, address string) []replicas.Change {
		return []replicas.Change{{ID: "a", Replica: &replicas.Replica{ID: "a", Service: "s", Address: address, StartUnixMs: start}}}
	}
	r := replicas.NewRegistry()
	used := func() bool { _, ok := r.View().Get("a"); return ok }
	r.Replace(entry(5, "10.0.0.1:80"), now)
	if !r.Leave("a", 5, now) || r.Leave("a", 5, now) || r.Leave("a", 0, now) || used() {
		t.Error("the replica leaves, which is new once")
	}
	for name, c := range map[string]struct {
		list []replicas.Change
		used bool
	}{
		"listed again": {entry(5, "10.0.0.1:80"), false}, "another address": {entry(5, "10.0.0.2:80"), false}, "unknown start": {entry(0, "10.0.0.1:80"), false},
		"another start": {entry(6, "10.0.0.1:80"), true}, "a start before a clock jumped": {entry(4, "10.0.0.1:80"), true},
	} {
		r.Replace(nil, now)
		r.Replace(c.list, now)
		if used() != c.used {
			t.Errorf("%s: used %t", name, used())
		}
	}
	r.Replace(entry(7, "10.0.0.1:80"), now)
	if !r.Leave("a", 0, now) || used() {
		t.Error("the registered start leaves")
	}
	r.Replace(nil, now)
	r.Expire(now.Add(time.Hour))
	r.Replace(entry(7, "10.0.0.1:80"), now)
	if !used() {
		t.Error("a replica that left is never forgotten")
	}
}

// Guards against a replica that never gets work again because another edge, or a response from its address, said that an unknown start
// of it leaves while it was not in the list.
func TestUnknownStartThatLeavesDoesNotStayAway(t *testing.T) {
	now := time.Unix(1000, 0)
	r := replicas.NewRegistry()
	if r.Leave("a", 0, now) {
		t.Error("a replica that is not in the list and of which no start is known leaves")
	}
	r.Replace([]replicas.Change{{ID: "a", Replica: &replicas.Replica{ID: "a", Service: "s", StartUnixMs: 9}}}, now)
	if _, ok := r.View().Get("a"); !ok {
		t.Error("the start that is registered later gets no work")
	}
}

// registryAt returns a Registry with a replica "a" at a time, and a function that turns times since then into absolute ones.
func registryAt() (*replicas.Registry, func(time.Duration) time.Time) {
	epoch := time.Unix(1000, 0)
	r := replicas.NewRegistry()
	r.Replace([]replicas.Change{registered("a", false)}, epoch)
	r.StoreResponded(epoch)
	return r, epoch.Add
}

// Guards against giving up live replicas that lapsed in an outage because the store was up for less than a heartbeat interval before the
// next outage, which this process notices after the grace (schedules 635 and 933 of the drawn outages).
func TestOutageSoonAfterAnotherKeepsReplicas(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		lastResponse time.Duration
		kept         bool
	}{{6900 * ms, true}, {7300 * ms, false}} {
		r, at := registryAt()
		r.StoreFailed(at(1000*ms), at(2000*ms))
		r.StoreFailed(at(4300*ms), at(5300*ms))
		r.StoreResponded(at(6000 * ms))
		r.Replace(nil, at(6000*ms))
		r.StoreResponded(at(c.lastResponse))
		r.Replace(nil, at(c.lastResponse))
		r.Expire(at(8700 * ms))
		if _, kept := r.View().Get("a"); kept != c.kept {
			t.Errorf("last response at %s, 6s being the first one: kept %t", c.lastResponse, kept)
		}
		r.Expire(at(9000 * ms))
		if r.View().Len() > 0 {
			t.Errorf("last response at %s: kept beyond the contact time", c.lastResponse)
		}
	}
}

// Guards against an outage whose end another process has reported, and which ends anew when a call that began before that end fails
// late: replicas that left were kept for the grace after the second end (schedule 2999 of the drawn outages).
func TestCallFromBeforeReportedEndDoesNotMoveIt(t *testing.T) {
	const ms = time.Millisecond
	r, at := registryAt()
	r.StoreFailed(at(1000*ms), at(2000*ms))
	r.StoreRecovered(at(6000 * ms))
	r.StoreFailed(at(5800*ms), at(6800*ms))
	r.StoreServedOther(at(7400 * ms))
	r.Replace(nil, at(7400*ms))
	r.Expire(at(8100 * ms))
	if r.View().Len() > 0 {
		t.Error("a replica that left is kept after the grace that follows the reported end")
	}
}

// Guards against counting the grace from the first response to a process that was cut off for longer than the outage lasted, though
// another one has reported since when the store is up (schedule 6175 of the drawn outages).
func TestReportedUptimeEndsOutage(t *testing.T) {
	const ms = time.Millisecond
	r, at := registryAt()
	r.StoreFailed(at(1000*ms), at(2000*ms))
	r.StoreFailed(at(4000*ms), at(5000*ms))
	r.StoreUp(2200*ms, at(5200*ms)) // up since 3 s
	r.StoreResponded(at(5700 * ms))
	r.Replace(nil, at(5700*ms))
	r.Expire(at(5800 * ms))
	if r.View().Len() > 0 {
		t.Error("a replica that left is kept longer than the grace after the reported return of the store")
	}
}

// Guards against the end of a cut of another process that is taken for the end of an outage: replicas that left were kept for the grace after
// it (schedules 28503, 49855 and 56919 of the drawn outages).
func TestEndOfACutOfAnotherProcessIsNoOutage(t *testing.T) {
	const ms = time.Millisecond
	for name, play := range map[string]func(r *replicas.Registry, at func(time.Duration) time.Time){
		"soon after the end of an outage": func(r *replicas.Registry, at func(time.Duration) time.Time) {
			r.StoreFailed(at(10_500*ms), at(11_500*ms))
			r.StoreResponded(at(14_600 * ms))
			r.StoreUp(200*ms, at(14_610*ms)) // the outage had ended by then
			r.StoreResponded(at(16_000 * ms))
			r.StoreRecovered(at(16_500 * ms))
		},
		"soon after the end of a cut of this one": func(r *replicas.Registry, at func(time.Duration) time.Time) {
			r.StoreResponded(at(9000 * ms))
			r.StoreFailed(at(9700*ms), at(10_700*ms))
			r.StoreUp(time.Minute, at(13_450*ms))
			r.StoreResponded(at(13_500 * ms))
			r.StoreUp(time.Minute, at(15_200*ms))
			r.StoreRecovered(at(15_400 * ms))
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, at := registryAt()
			play(r, at)
			r.Replace(nil, at(17_200*ms))
			if r.View().Len() > 0 {
				t.Error("a replica that left is kept")
			}
		})
	}
}
