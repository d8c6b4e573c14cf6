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
	cfg := settings.Edge{}
	settings.ApplyDefaults(&cfg)
	p := place.New("z", cfg.Placement, 1)
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

func prompt(subject string) *place.Job {
	return &place.Job{
		Service: "lm", Route: "long", Tokens: 17000, Target: 1500 * time.Millisecond, Arrived: epoch, Repeatable: true,
		Parts: []place.Part{{ID: subject, Tokens: 13300}, {ID: "own", Tokens: 3700}},
	}
}

func enter(t testing.TB, p *place.Placer, job *place.Job) place.Choice {
	t.Helper()
	ticket, ok := p.Enter(job, epoch)
	if !ok {
		t.Fatal("no replica")
	}
	select {
	case c := <-ticket.Granted:
		return c
	default:
		t.Fatal("no room on an idle replica")
		return place.Choice{}
	}
}

// Guards against homes on which two entries do not agree, and against a change of the list that moves most homes.
func TestHomesAgreeAndStay(t *testing.T) {
	a, b, fewer := newPlacer(t, 20), newPlacer(t, 20), newPlacer(t, 19)
	moved := 0
	for n := range 200 {
		subject := fmt.Sprint("subject", n)
		one, two, three := enter(t, a, prompt(subject)), enter(t, b, prompt(subject)), enter(t, fewer, prompt(subject))
		if one.Replica.ID != two.Replica.ID {
			t.Errorf("%s has homes %s and %s", subject, one.Replica.ID, two.Replica.ID)
		}
		if one.Replica.ID != three.Replica.ID {
			moved++
		}
		a.Ended(one, false, epoch)
		b.Ended(two, false, epoch)
		fewer.Ended(three, false, epoch)
	}
	if moved > 60 {
		t.Errorf("%d of 200 homes moved with one of 20 replicas", moved)
	}
}

// Guards against repeated requests that hang until their deadline before replicas without room: they can't be refused.
func TestRepeatedJobsDoNotWait(t *testing.T) {
	p := newPlacer(t, 6)
	refused := 0
	for n := range 200 {
		job := prompt(fmt.Sprint("subject", n))
		job.Repeated = n%2 == 1
		ticket, ok := p.Enter(job, epoch)
		if !ok {
			t.Fatal("no replica")
		}
		switch {
		case len(ticket.Granted) == 1:
		case job.Repeated:
			t.Fatalf("repeated request %d waits", n)
		default:
			refused++
		}
	}
	if refused == 0 {
		t.Error("the load was too small to make anybody wait")
	}
}

// Guards against load that stays counted after requests ended or entries fell silent.
func TestBoardReturnsToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := place.NewBoard()
		const key = place.Key(1)
		sum := 0
		for _, step := range rapid.SliceOf(rapid.IntRange(-3, 5)).Draw(t, "steps") {
			b.Add(key, place.Load{Running: step})
			sum += step
			from := fmt.Sprint(step % 3)
			b.Report(from, map[place.Key]place.Load{key: {Running: step * step}, 2: {Prefill: step}}, epoch)
		}
		b.Expire(epoch.Add(time.Minute))
		if got := b.Total(key, epoch).Running; got != sum {
			t.Fatalf("%d running, want %d", got, sum)
		}
		if got := b.Total(2, epoch); got != (place.Load{}) {
			t.Fatalf("%+v left of silent entries", got)
		}
	})
}

// Guards against replicas that fail requests while their health check is good, and against avoiding all of a service that
// fails as a whole.
func TestFailingReplicaIsFoundByItsAnswers(t *testing.T) {
	h := place.NewHealth()
	now := epoch
	for n := range 60 {
		now = now.Add(20 * time.Millisecond)
		h.Answered("svc", place.Key(n%4), n%4 == 0 && n%8 == 0, now)
		h.Answered("sick", place.Key(10+n%4), n%2 == 0, now)
	}
	if h.Usable("svc", 0, false, now) {
		t.Error("a replica that fails half of its requests is used for what must not be repeated")
	}
	if !h.Usable("svc", 0, true, now) || h.Usable("svc", 0, true, now) {
		t.Error("want one probe by a repeatable request")
	}
	for k := range 4 {
		if k > 0 && !h.Usable("svc", place.Key(k), false, now) {
			t.Errorf("healthy replica %d is avoided", k)
		}
	}
	if !h.Usable("sick", 11, false, now) {
		t.Error("a replica is avoided although it fails less than its service")
	}
	h.Unreachable(1, now)
	if h.Usable("svc", 1, true, now.Add(100*time.Millisecond)) || !h.Usable("svc", 1, true, now.Add(400*time.Millisecond)) {
		t.Error("want a pause of 250 ms after a failed connection")
	}
}

// Guards against choices whose time grows with the number of replicas. The target is 5 us.
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
				ticket, _ := p.Enter(jobs[i%len(jobs)], epoch)
				p.Ended(<-ticket.Granted, false, epoch)
			}
		})
	}
}

// Guards against a fetch from a replica that can't have read the parts yet, from the chosen one itself, or of parts that
// are read sooner than fetched.
func TestSourceHasReadTheSharedParts(t *testing.T) {
	for _, c := range []struct {
		name   string
		shared int
		after  time.Duration
		fetch  bool
	}{
		{"read long ago", 13300, 1200 * time.Millisecond, true},
		{"still being read", 13300, 500 * time.Millisecond, false},
		{"forgotten", 13300, time.Minute, false},
		{"short parts", 400, 1200 * time.Millisecond, false},
	} {
		p := newPlacer(t, 12)
		job := prompt("subject")
		job.Parts[0].Tokens = c.shared
		first := enter(t, p, job)
		p.FirstEvent(first, epoch)
		p.Ended(first, true, epoch)
		at := epoch.Add(c.after)
		again, _ := p.Enter(job, at)
		same := <-again.Granted
		p.Ended(same, false, at)
		if same.Key != first.Key || same.Source != nil {
			t.Errorf("%s: with idle replicas the prompt goes to %s with source %v, want its home %s", c.name, same.Replica.ID, same.Source, first.Replica.ID)
		}
		p.Board.Add(first.Key, place.Load{Prefill: 200_000})
		ticket, _ := p.Enter(job, at)
		other := <-ticket.Granted
		switch {
		case other.Key == first.Key:
			t.Errorf("%s: the prompt goes to a replica with 3.5 s of work", c.name)
		case c.fetch && (other.Source == nil || other.Source.ID != first.Replica.ID || other.Prefill != 3700):
			t.Errorf("%s: %s reads %d tokens with source %v, want a fetch from %s", c.name, other.Replica.ID, other.Prefill, other.Source, first.Replica.ID)
		case !c.fetch && (other.Source != nil || other.Prefill != c.shared+3700):
			t.Errorf("%s: %s reads %d tokens with source %v, want no fetch", c.name, other.Replica.ID, other.Prefill, other.Source)
		}
	}
}

// Guards against a look for sources that uses up the probes of replicas that are avoided for their failures: they would
// come back later. Only the prompt's homes are candidates, and may be probed.
func TestSourcesAreNotProbed(t *testing.T) {
	p := newPlacer(t, 12)
	var holders []place.Note
	var avoided []place.Key
	for n := range 12 {
		key := place.KeyOf(fmt.Sprintf("replica-%04d", n))
		holders = append(holders, place.Note{Replica: key, Part: xxhash.Sum64String("subject")})
		if n%2 == 0 {
			avoided = append(avoided, key)
		}
		for range 40 {
			p.Health.Answered("lm", key, n%2 == 0, epoch)
		}
	}
	p.Reported("other", nil, holders, epoch)
	at := epoch.Add(1200 * time.Millisecond)
	if _, ok := p.Enter(prompt("subject"), at); !ok {
		t.Fatal("no replica")
	}
	probed := 0
	for _, key := range avoided {
		if p.Health.Usable("lm", key, false, at) {
			t.Fatal("a replica that fails all requests is not avoided")
		}
		if !p.Health.Usable("lm", key, true, at) {
			probed++
		}
	}
	if probed > 4 {
		t.Errorf("%d of %d avoided replicas lost their probe to one request", probed, len(avoided))
	}
}
