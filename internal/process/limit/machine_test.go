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

// machine runs entries that share one membership under arbitrary message order, loss and delay, and records the
// requests that they admit.
type machine struct {
	now      time.Time
	limits   Limits
	members  Members
	limiters []*Limiter
	owners   []*Owner
	inFlight []pendingCall
	running  []int
	// fellBack marks the entries that fell back to their share and still run requests.
	fellBack []bool
	// admitted are the times at which requests were admitted, tokens the tokens that they used.
	admitted []time.Time
	tokens   []int
}

type pendingCall struct {
	from  int
	batch Batch
	// response is nil until the owner has processed the batch.
	response *AllowanceGrant
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
		l := NewLimiter(LimiterSettings{
			Self: name, Limits: func(Key) Limits { return m.limits }, Owner: o, Clock: func() time.Time { return m.now },
		})
		l.SetMembers(m.members)
		m.owners, m.limiters = append(m.owners, o), append(m.limiters, l)
	}
	m.running, m.fellBack = make([]int, n), make([]bool, n)
}

func (m *machine) entry(t *rapid.T) int { return rapid.IntRange(0, len(m.limiters)-1).Draw(t, "entry") }

func (m *machine) admit(t *rapid.T) {
	i := m.entry(t)
	const tokens = 50
	for range rapid.IntRange(1, 5).Draw(t, "arrivals") {
		d := m.limiters[i].Admit(m.now, machineKey, tokens)
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
		m.limiters[i].Settle(machineKey, 50, 50)
	}
}

func (m *machine) collect(t *rapid.T) {
	i := m.entry(t)
	for _, b := range m.limiters[i].Collect(m.now) {
		m.inFlight = append(m.inFlight, pendingCall{from: i, batch: b})
	}
}

func (m *machine) pick(t *rapid.T) (int, bool) {
	if len(m.inFlight) == 0 {
		return 0, false
	}
	return rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "message"), true
}

// deliver processes a call at its owner, or its response at the sender.
func (m *machine) deliver(t *rapid.T) {
	i, ok := m.pick(t)
	if !ok {
		return
	}
	c := &m.inFlight[i]
	if c.response != nil {
		m.limiters[c.from].Apply(m.now, &c.batch, c.response)
		m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
		return
	}
	for j, name := range m.members.Live {
		if name == c.batch.Owner {
			g := m.owners[j].Grant(m.now, m.members.Live[c.from], &c.batch.Request)
			c.response = &g
		}
	}
}

// exchange sends the pending batches of one entry and delivers every message.
func (m *machine) exchange(t *rapid.T) {
	m.collect(t)
	for len(m.inFlight) > 0 {
		m.deliver(t)
	}
}

// failCall fails a call, before or after the owner processed it.
func (m *machine) failCall(t *rapid.T) {
	if i, ok := m.pick(t); ok {
		m.limiters[m.inFlight[i].from].Fail(m.now, &m.inFlight[i].batch)
		m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
	}
}

// failThenProcess fails a call at the sender and lets the sender collect its next batches before the owner processes
// the failed call.
func (m *machine) failThenProcess(t *rapid.T) {
	i, ok := m.pick(t)
	if !ok || m.inFlight[i].response != nil {
		return
	}
	c := m.inFlight[i]
	m.limiters[c.from].Fail(m.now, &c.batch)
	m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
	m.collect(t)
	for j, name := range m.members.Live {
		if name == c.batch.Owner {
			m.owners[j].Grant(m.now, m.members.Live[c.from], &c.batch.Request)
		}
	}
}

func (m *machine) advanceTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
	for _, o := range m.owners {
		o.Tick(m.now)
	}
}

// check verifies the bounds of docs/design/limits.md. In any window, the requests and tokens admitted are at most the rate
// times the window plus two bursts, plus one request, or for tokens one reservation per entry. The requests in flight are
// at most the limit plus the shares of entries that are isolated or still run requests from then.
func (m *machine) check(t *rapid.T) {
	total, most := 0, m.limits.Concurrency
	for i, r := range m.running {
		total += r
		s := m.limiters[i].states[machineKey]
		isolated := s != nil && s.mode == modeIsolated
		m.fellBack[i] = isolated || m.fellBack[i] && r > 0
		if m.fellBack[i] {
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
		if most := m.limits.Tokens*(window+2) + float64(50*len(m.limiters)); float64(tokens) > most {
			t.Fatalf("%d tokens in %.3f s, at most %.1f", tokens, window, most)
		}
	}
}

// Guards against admission beyond the documented bounds, summed over all entries, when messages are reordered, lost or
// delayed.
func TestAllowancesStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m machine
		m.init(t)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check, "admit": m.admit, "settle": m.settle, "collect": m.collect, "deliver": m.deliver,
			"deliver more": m.deliver, "exchange": m.exchange, "lose": m.failCall, "late": m.failThenProcess, "wait": m.advanceTime,
		})
	})
}
