package limit

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "150"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// machine runs entries under arbitrary message order, loss and delay, with one membership that all entries share, and
// counts what they admit.
type machine struct {
	now     time.Time
	limits  Limits
	members Members
	locals  []*Local
	owners  []*Owner
	flying  []flight
	running []int
	// fell are the entries that fell back to their share and still run requests.
	fell []bool
	// admitted are the times of admission of requests, and the tokens they used.
	admitted []time.Time
	tokens   []int
}

type flight struct {
	from  int
	batch Batch
	// answer is nil until the owner has processed the batch.
	answer *AllowanceGrant
}

var machineKey = Key{"class", "workspace"}

func (m *machine) init(t *rapid.T) {
	m.now = epoch
	m.limits = Limits{
		Requests: float64(rapid.IntRange(1, 50).Draw(t, "requests/s")), Tokens: float64(rapid.IntRange(100, 5000).Draw(t, "tokens/s")),
		Concurrency: rapid.IntRange(1, 12).Draw(t, "concurrency"),
	}
	n := rapid.IntRange(1, 4).Draw(t, "entries")
	for i := range n {
		m.members.Live = append(m.members.Live, fmt.Sprintf("e%d", i))
	}
	for _, name := range m.members.Live {
		o := NewOwner(name, func() time.Time { return m.now }, Codec{})
		o.AssumeFresh()
		o.SetMembers(m.now, m.members)
		l := NewLocal(LocalSettings{
			Self: name, Limits: func(Key) Limits { return m.limits }, Owner: o, Clock: func() time.Time { return m.now },
		})
		l.SetMembers(m.members)
		m.owners, m.locals = append(m.owners, o), append(m.locals, l)
	}
	m.running, m.fell = make([]int, n), make([]bool, n)
}

func (m *machine) entry(t *rapid.T) int { return rapid.IntRange(0, len(m.locals)-1).Draw(t, "entry") }

func (m *machine) admit(t *rapid.T) {
	i := m.entry(t)
	const tokens = 50
	for range rapid.IntRange(1, 5).Draw(t, "arrivals") {
		d := m.locals[i].Admit(m.now, machineKey, tokens)
		if d.Result == Admitted {
			m.running[i]++
			m.admitted = append(m.admitted, m.now)
			m.tokens = append(m.tokens, tokens)
		}
		if d.RetryAfter < 0 {
			t.Fatalf("negative Retry-After: %+v", d)
		}
	}
}

func (m *machine) settle(t *rapid.T) {
	if i := m.entry(t); m.running[i] > 0 {
		m.running[i]--
		m.locals[i].Settle(machineKey, 50, 50)
	}
}

func (m *machine) collect(t *rapid.T) {
	i := m.entry(t)
	for _, b := range m.locals[i].Collect(m.now) {
		m.flying = append(m.flying, flight{from: i, batch: b})
	}
}

func (m *machine) pick(t *rapid.T) (int, bool) {
	if len(m.flying) == 0 {
		return 0, false
	}
	return rapid.IntRange(0, len(m.flying)-1).Draw(t, "message"), true
}

// deliver processes a call at its owner, or its answer at the sender.
func (m *machine) deliver(t *rapid.T) {
	i, ok := m.pick(t)
	if !ok {
		return
	}
	f := &m.flying[i]
	if f.answer != nil {
		m.locals[f.from].Apply(m.now, &f.batch, f.answer)
		m.flying = append(m.flying[:i], m.flying[i+1:]...)
		return
	}
	for j, name := range m.members.Live {
		if name == f.batch.Owner {
			g := m.owners[j].Grant(m.now, m.members.Live[f.from], &f.batch.Request)
			f.answer = &g
		}
	}
}

// exchange sends what is due and delivers every message.
func (m *machine) exchange(t *rapid.T) {
	m.collect(t)
	for len(m.flying) > 0 {
		m.deliver(t)
	}
}

// lose fails a call, before or after the owner processed it.
func (m *machine) lose(t *rapid.T) {
	if i, ok := m.pick(t); ok {
		m.locals[m.flying[i].from].Fail(m.now, &m.flying[i].batch)
		m.flying = append(m.flying[:i], m.flying[i+1:]...)
	}
}

// late fails a call at the sender while the owner still processes it afterwards.
func (m *machine) late(t *rapid.T) {
	i, ok := m.pick(t)
	if !ok || m.flying[i].answer != nil {
		return
	}
	f := m.flying[i]
	m.locals[f.from].Fail(m.now, &f.batch)
	m.flying = append(m.flying[:i], m.flying[i+1:]...)
	m.collect(t)
	for j, name := range m.members.Live {
		if name == f.batch.Owner {
			m.owners[j].Grant(m.now, m.members.Live[f.from], &f.batch.Request)
		}
	}
}

func (m *machine) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
	for _, o := range m.owners {
		o.Tick(m.now)
	}
}

// check holds the bounds of docs/design/limits.md: in any window, the rate, two bursts and, for tokens, one more
// reservation per entry; in flight, the limit and the shares of cut-off entries.
func (m *machine) check(t *rapid.T) {
	total, most := 0, m.limits.Concurrency
	for i, r := range m.running {
		total += r
		a := m.locals[i].accounts[machineKey]
		cutOff := a != nil && a.mode == modeCutOff
		m.fell[i] = cutOff || m.fell[i] && r > 0
		if m.fell[i] {
			most += m.members.share(m.limits, machineKey, m.members.Live[i]).Concurrency
		}
	}
	if total > most {
		t.Fatalf("%d in flight, limit %d, at most %d", total, m.limits.Concurrency, most)
	}
	requests, tokens := 0, 0
	for i := len(m.admitted) - 1; i >= 0; i-- {
		requests++
		tokens += m.tokens[i]
		window := m.now.Sub(m.admitted[i]).Seconds()
		burst := max(1, m.limits.Requests)
		if most := m.limits.Requests*window + 2*burst + 1; float64(requests) > most {
			t.Fatalf("%d requests in %.3f s, at most %.1f", requests, window, most)
		}
		if most := m.limits.Tokens*(window+2) + float64(50*len(m.locals)); float64(tokens) > most {
			t.Fatalf("%d tokens in %.3f s, at most %.1f", tokens, window, most)
		}
	}
}

// Guards against any order, loss or delay of messages that lets the entries together exceed the stated bounds.
func TestAllowancesStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m machine
		m.init(t)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check, "admit": m.admit, "settle": m.settle, "collect": m.collect, "deliver": m.deliver,
			"deliver more": m.deliver, "exchange": m.exchange, "lose": m.lose, "late": m.late, "wait": m.wait,
		})
	})
}
