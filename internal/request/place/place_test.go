package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"github.com/dragonflypin/dragonflypin/internal/process/replicas"
	"github.com/dragonflypin/dragonflypin/internal/process/settings"
	"github.com/dragonflypin/dragonflypin/internal/request/place"
)

var epoch = time.Unix(1000, 0)

func newPlacer(t testing.TB, count int) *place.Placer {
	t.Helper()
	return newPlacerWithSeed(t, count, 1)
}

func newPlacerWithSeed(t testing.TB, count int, seed uint64) *place.Placer {
	t.Helper()
	cfg := settings.Edge{}
	settings.ApplyDefaults(&cfg)
	p := place.New("z", cfg.Placement, seed)
	p.Update(view(count), []string{"lm"})
	return p
}

func view(count int) *replicas.View {
	registry := replicas.NewRegistry()
	var list []replicas.Change
	for n := range count {
		id := fmt.Sprintf("replica-%04d", n)
		list = append(list, replicas.Change{ID: id, Replica: &replicas.Replica{ID: id, Service: "lm", Address: id, Zone: "z"}})
	}
	registry.Replace(list, epoch)
	return registry.View()
}

func prompt(sharedID string) *place.Job {
	return &place.Job{
		Service: "lm", Route: "long", Tokens: 17000, Target: 1500 * time.Millisecond, Arrived: epoch, Repeatable: true,
		Parts: []place.Part{{ID: sharedID, Tokens: 13300}, {ID: "own", Tokens: 3700}},
	}
}

func mustPlace(t testing.TB, p *place.Placer, job *place.Job) place.Choice {
	t.Helper()
	waiter, ok := p.Enqueue(job, epoch)
	if !ok {
		t.Fatal("no replica")
	}
	select {
	case c := <-waiter.Granted:
		return c
	default:
		t.Fatal("an idle replica has no capacity")
		return place.Choice{}
	}
}

// Guards against entries that disagree on the affinity replica of a prompt, and against a change of the replica list that
// moves most prompts to other replicas.
func TestAffinityIsConsistentAndStable(t *testing.T) {
	a, b, fewer := newPlacer(t, 20), newPlacer(t, 20), newPlacer(t, 19)
	moved := 0
	for n := range 200 {
		sharedID := fmt.Sprint("subject", n)
		one, two, three := mustPlace(t, a, prompt(sharedID)), mustPlace(t, b, prompt(sharedID)), mustPlace(t, fewer, prompt(sharedID))
		if one.Replica.ID != two.Replica.ID {
			t.Errorf("%s has affinity replicas %s and %s", sharedID, one.Replica.ID, two.Replica.ID)
		}
		if one.Replica.ID != three.Replica.ID {
			moved++
		}
		a.Ended(one, false, epoch)
		b.Ended(two, false, epoch)
		fewer.Ended(three, false, epoch)
	}
	if moved > 60 {
		t.Errorf("%d of 200 prompts changed their affinity replica when one of 20 replicas was removed", moved)
	}
}

// Guards against retried requests that wait until their deadline for replicas without capacity: they can't be refused as
// not run.
func TestRetriedJobsDoNotWait(t *testing.T) {
	p := newPlacer(t, 6)
	refused := 0
	for n := range 200 {
		job := prompt(fmt.Sprint("subject", n))
		job.Retried = n%2 == 1
		waiter, ok := p.Enqueue(job, epoch)
		if !ok {
			t.Fatal("no replica")
		}
		switch {
		case len(waiter.Granted) == 1:
		case job.Retried:
			t.Fatalf("retried request %d waits", n)
		default:
			refused++
		}
	}
	if refused == 0 {
		t.Error("the load was too small to make any request wait")
	}
}

// Guards against load that is still counted after requests ended or entries stopped reporting.
func TestLoadReturnsToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := place.NewLoadTracker()
		const key = place.Key(1)
		sum := 0
		for _, step := range rapid.SliceOf(rapid.IntRange(-3, 5)).Draw(t, "steps") {
			tracker.Add(key, place.Load{Running: step})
			sum += step
			from := fmt.Sprint(step % 3)
			tracker.Report(from, map[place.Key]place.Load{key: {Running: step * step}, 2: {Prefill: step}}, epoch)
		}
		tracker.Expire(epoch.Add(time.Minute))
		if got := tracker.Total(key, epoch).Running; got != sum {
			t.Fatalf("%d running, want %d", got, sum)
		}
		if got := tracker.Total(2, epoch); got != (place.Load{}) {
			t.Fatalf("%+v left of entries that stopped reporting", got)
		}
	})
}

// Guards against using replicas that fail requests while their health check passes, and against ejecting all replicas of
// a service that fails as a whole.
func TestFailingReplicaIsEjected(t *testing.T) {
	h := place.NewHealth()
	now := epoch
	for n := range 60 {
		now = now.Add(20 * time.Millisecond)
		h.RecordOutcome("svc", place.Key(n%4), n%4 == 0 && n%8 == 0, now)
		h.RecordOutcome("failing", place.Key(10+n%4), n%2 == 0, now)
	}
	if h.Usable("svc", 0, false, now) {
		t.Error("a replica that fails half of its requests is used for a request that must not be repeated")
	}
	if !h.Usable("svc", 0, true, now) || h.Usable("svc", 0, true, now) {
		t.Error("want one probe by a repeatable request")
	}
	for k := range 4 {
		if k > 0 && !h.Usable("svc", place.Key(k), false, now) {
			t.Errorf("healthy replica %d is ejected", k)
		}
	}
	if !h.Usable("failing", 11, false, now) {
		t.Error("a replica is ejected although it fails less than its service")
	}
	h.RecordUnreachable(1, now)
	if h.Usable("svc", 1, true, now.Add(100*time.Millisecond)) || !h.Usable("svc", 1, true, now.Add(400*time.Millisecond)) {
		t.Error("want a backoff of 250 ms after a failed connection")
	}
}

// Guards against decisions whose time grows with the number of replicas. The target is 5 us.
func BenchmarkChoice(b *testing.B) {
	for _, count := range []int{64, 7600} {
		p := newPlacer(b, count)
		jobs := make([]*place.Job, 256)
		for i := range jobs {
			jobs[i] = prompt(fmt.Sprint("subject", i))
		}
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				waiter, _ := p.Enqueue(jobs[i%len(jobs)], epoch)
				p.Ended(<-waiter.Granted, false, epoch)
			}
		})
	}
}

// Guards against prompts that wait for affinity replicas with a long backlog, or are prefilled again elsewhere, while another replica
// keeps their shared parts; and against leaving an affinity replica that keeps them too.
func TestOtherReplicasThatKeepThePartsAreConsidered(t *testing.T) {
	const keeping = "replica-0007"
	key := place.KeyOf(keeping)
	for seed := range uint64(8) {
		p := newPlacer(t, 12)
		job := prompt(fmt.Sprint("subject", seed))
		home := mustPlace(t, p, job)
		p.FirstEvent(home, epoch.Add(400*time.Millisecond))
		p.Ended(home, true, epoch.Add(time.Second))
		p.ApplyReport("other", place.ReportOf{Hints: []place.CacheHint{{Replica: key, Part: xxhash.Sum64String(job.Parts[0].ID), Tokens: 13300}}}, epoch)
		at := epoch.Add(2 * time.Second)
		job.Arrived = at
		first, _ := p.Enqueue(job, at)
		if c := <-first.Granted; c.Key != home.Key {
			t.Errorf("%s goes to %s although its affinity replica %s keeps its shared part and is idle", job.Parts[0].ID, c.Replica.ID, home.Replica.ID)
		}
		for n := range 12 {
			if k := place.KeyOf(fmt.Sprintf("replica-%04d", n)); k != key {
				p.Loads.Add(k, place.Load{Prefill: 60_000})
			}
		}
		again, _ := p.Enqueue(job, at)
		select {
		case c := <-again.Granted:
			if c.Replica.ID != keeping || c.Prefill != 3700 {
				t.Errorf("%s goes to %s with %d tokens to prefill, want %s, which keeps its shared part", job.Parts[0].ID, c.Replica.ID, c.Prefill, keeping)
			}
		default:
			t.Errorf("%s waits although %s keeps its shared part and is idle", job.Parts[0].ID, keeping)
		}
	}
}

// Guards against a fetch from a replica that can't have prefilled the parts yet, from the chosen one itself, or of parts
// that are prefilled sooner than fetched.
func TestSourceHasPrefilledTheSharedParts(t *testing.T) {
	for _, c := range []struct {
		name   string
		shared int
		after  time.Duration
		fetch  bool
	}{
		{"prefilled long ago", 13300, 1200 * time.Millisecond, true},
		{"still in prefill", 13300, 500 * time.Millisecond, false},
		{"expired", 13300, time.Minute, false},
		{"short parts", 400, 1200 * time.Millisecond, false},
	} {
		p := newPlacer(t, 12)
		job := prompt("subject")
		job.Parts[0].Tokens = c.shared
		first := mustPlace(t, p, job)
		p.FirstEvent(first, epoch)
		p.Ended(first, true, epoch)
		at := epoch.Add(c.after)
		again, _ := p.Enqueue(job, at)
		same := <-again.Granted
		p.Ended(same, false, at)
		if same.Key != first.Key || same.Source != nil {
			t.Errorf("%s: with idle replicas the prompt goes to %s with source %v, want its affinity replica %s", c.name, same.Replica.ID, same.Source, first.Replica.ID)
		}
		p.Loads.Add(first.Key, place.Load{Prefill: 200_000})
		waiter, _ := p.Enqueue(job, at)
		other := <-waiter.Granted
		switch {
		case other.Key == first.Key:
			t.Errorf("%s: the prompt goes to a replica with 3.5 s of work", c.name)
		case c.fetch && (other.Source == nil || other.Source.ID != first.Replica.ID || other.Prefill != 3700):
			t.Errorf("%s: %s prefills %d tokens with source %v, want a fetch from %s", c.name, other.Replica.ID, other.Prefill, other.Source, first.Replica.ID)
		case !c.fetch && (other.Source != nil || other.Prefill != c.shared+3700):
			t.Errorf("%s: %s prefills %d tokens with source %v, want no fetch", c.name, other.Replica.ID, other.Prefill, other.Source)
		}
	}
}

// Guards against a search for source replicas that uses up the probes of ejected replicas, which would delay their
// recovery. Only the prompt's affinity replicas are candidates and may be probed.
func TestSourcesAreNotProbed(t *testing.T) {
	p := newPlacer(t, 12)
	var hints []place.CacheHint
	var ejected []place.Key
	for n := range 12 {
		key := place.KeyOf(fmt.Sprintf("replica-%04d", n))
		hints = append(hints, place.CacheHint{Replica: key, Part: xxhash.Sum64String("subject")})
		if n%2 == 0 {
			ejected = append(ejected, key)
		}
		for range 40 {
			p.Health.RecordOutcome("lm", key, n%2 == 0, epoch)
		}
	}
	p.ApplyReport("other", place.ReportOf{Hints: hints}, epoch)
	at := epoch.Add(1200 * time.Millisecond)
	if _, ok := p.Enqueue(prompt("subject"), at); !ok {
		t.Fatal("no replica")
	}
	probed := 0
	for _, key := range ejected {
		if p.Health.Usable("lm", key, false, at) {
			t.Fatal("a replica that fails all requests is not ejected")
		}
		if !p.Health.Usable("lm", key, true, at) {
			probed++
		}
	}
	if probed > 4 {
		t.Errorf("%d of %d ejected replicas lost their probe to one request", probed, len(ejected))
	}
}
