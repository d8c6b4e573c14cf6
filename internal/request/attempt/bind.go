package attempt

import (
	"context"
	"fmt"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
)

const (
	// confirmTime is how long the entry waits for a sidecar's word on a withdrawn ask that may have started.
	confirmTime = time.Second
	// firstReask is the wait without a grant after which one of the asks is replaced by an ask of another sidecar; it doubles
	// up to maxReask. A request keeps its place, because sidecars order by the arrival at the entry.
	firstReask = 25 * time.Millisecond
	maxReask   = time.Second
	// maxAsks is the number of sidecars asked at the same time.
	maxAsks = 2
)

// ask is one Ask sent to one sidecar.
type ask struct {
	up     Upstream
	st     Stream
	number uint32
	// handed is set once the sidecar may start: a committed ask was sent, or a Start.
	handed bool
	ended  bool
}

// detailClaim tells that the claim of a non-idempotent call was no longer valid when a slot was granted.
const detailClaim = "claim expired before the start"

func (r *Request) mayStart() bool { return r.MayStart == nil || r.MayStart() }

type event struct {
	ask *ask
	m   wire.Message
	err error
}

// binding waits for one of several asks to start.
type binding struct {
	req    *Request
	asks   []*ask
	events chan event
	// done is closed when nobody receives events any more.
	done chan struct{}
	// next proposes another sidecar than the named ones, or nil.
	next    func(except []string) Upstream
	number  *uint32
	granted *ask
	result  Result
	closing bool
}

// bind asks the choice's targets, and others while none grants a slot. It returns the ask that started, or nil with the
// result.
func (r *Request) bind(ctx context.Context, choice Choice, number *uint32, next func(except []string) Upstream) (*ask, Result) {
	if choice.Committed && len(choice.Targets) == 1 {
		*number++
		return r.bindOne(ctx, choice.Targets[0], *number)
	}
	b := &binding{req: r, events: make(chan event), done: make(chan struct{}), next: next, number: number}
	defer close(b.done)
	for _, up := range choice.Targets {
		*number++
		b.send(up, *number, choice.Committed)
	}
	won := b.wait(ctx)
	b.withdraw(won)
	return won, b.result
}

// bindOne sends a single committed ask and waits for its start without further goroutines, as this is the usual case.
func (r *Request) bindOne(ctx context.Context, up Upstream, number uint32) (*ask, Result) {
	b := &binding{req: r}
	b.send(up, number, true)
	if b.open() == 0 {
		return nil, b.ended()
	}
	a := b.asks[0]
	stop := context.AfterFunc(ctx, func() {
		_ = a.st.Send(&wire.Cancel{}) // on a broken stream the read fails
		time.AfterFunc(confirmTime, a.st.Abort)
	})
	m, err := a.st.Recv()
	if !stop() {
		b.closing = true
	}
	if err == nil {
		err = a.verify(m, r.Ask.RequestID)
	}
	if b.on(event{ask: a, m: m, err: err}) {
		return a, b.result
	}
	return nil, b.ended()
}

func (b *binding) send(up Upstream, number uint32, committed bool) {
	if !b.req.mayStart() {
		b.result.End, b.result.Detail = EndCancelled, detailClaim
		return
	}
	st, err := up.Open()
	if err != nil {
		b.unreachable(up)
		return
	}
	a := &ask{up: up, st: st, number: number, handed: committed}
	if err := st.Send(b.req.message(number, committed)); err != nil {
		b.broken(a, err) // a failed write may have sent everything, so a committed ask may have started
		return
	}
	b.asks = append(b.asks, a)
	if b.events != nil {
		go a.read(b.events, b.done, b.req.Ask.RequestID)
	}
}

func (r *Request) message(number uint32, committed bool) *wire.Ask {
	m := r.Ask
	m.Attempt, m.Committed = number, committed
	now := time.Now()
	// Rounded up, so that the entry's deadline passes before the sidecar's and the caller learns of a timeout.
	m.RemainingMs = millis(r.Deadline.Sub(now) + time.Millisecond - 1)
	m.WaitedMs = millis(now.Sub(r.Accepted))
	if committed {
		m.Body = r.Body
	}
	return &m
}

func millis(d time.Duration) uint32 { return uint32(max(0, d/time.Millisecond)) }

func (b *binding) unreachable(up Upstream) {
	b.result.Refusals = append(b.result.Refusals, Refusal{Upstream: up.Name(), Unreachable: true})
}

// read reports the messages up to the one that decides the ask; after Started the relay reads on.
func (a *ask) read(events chan<- event, done <-chan struct{}, requestID string) {
	for {
		m, err := a.st.Recv()
		if err == nil {
			err = a.verify(m, requestID)
		}
		select {
		case events <- event{ask: a, m: m, err: err}:
		case <-done:
			return
		}
		if _, granted := m.(*wire.Grant); err != nil || !granted {
			return
		}
	}
}

// verify checks that an answer belongs to this attempt and that at most one grant comes.
func (a *ask) verify(m wire.Message, requestID string) error {
	var id string
	var number uint32
	switch m := m.(type) {
	case *wire.Grant:
		id, number = m.RequestID, m.Attempt
	case *wire.Started:
		id, number = m.RequestID, m.Attempt
	case *wire.Refuse:
		id, number = m.RequestID, m.Attempt
	default:
		return fmt.Errorf("message type %d before the start", m.WireType())
	}
	if id != requestID || number != a.number {
		return fmt.Errorf("answer of attempt %s/%d on the stream of %s/%d", id, number, requestID, a.number)
	}
	return nil
}

// wait returns the ask that started, or nil when none can start any more.
func (b *binding) wait(ctx context.Context) *ask {
	done := ctx.Done()
	var confirm <-chan time.Time
	wait := firstReask
	reask := time.NewTimer(wait)
	defer reask.Stop()
	for b.open() > 0 {
		select {
		case <-reask.C:
			b.replace()
			wait = min(2*wait, maxReask)
			reask.Reset(wait)
		case <-done:
			done = nil
			b.cancel()
			timer := time.NewTimer(confirmTime)
			defer timer.Stop()
			confirm = timer.C
		case <-confirm:
			b.result.End, b.result.Detail = EndUnknown, "sidecar did not confirm the withdrawal"
			return nil
		case ev := <-b.events:
			if b.on(ev) {
				return ev.ask
			}
		}
	}
	b.ended()
	return nil
}

// ended completes the result of asks of which none started.
func (b *binding) ended() Result {
	if b.result.End == 0 {
		b.result.End = EndRefused
		if b.closing {
			b.result.End = EndCancelled
		}
	}
	return b.result
}

func (b *binding) open() int {
	n := 0
	for _, a := range b.asks {
		if !a.ended {
			n++
		}
	}
	return n
}

// replace asks another sidecar; with maxAsks open, the oldest ask is withdrawn for it.
func (b *binding) replace() {
	if b.closing || b.granted != nil {
		return
	}
	var open []*ask
	var names []string
	for _, a := range b.asks {
		if a.handed && !a.ended {
			return // it may start; nothing else may be started beside it
		}
		if !a.ended {
			open, names = append(open, a), append(names, a.up.Name())
		}
	}
	up := b.next(names)
	if up == nil {
		return
	}
	if len(open) >= maxAsks {
		open[0].drop()
	}
	b.asks = open
	*b.number++
	b.send(up, *b.number, false)
}

// cancel withdraws all asks; those that may have started stay open until the sidecar says so.
func (b *binding) cancel() {
	b.closing = true
	for _, a := range b.asks {
		switch {
		case a.ended:
		case a.handed:
			_ = a.st.Send(&wire.Cancel{}) // on a broken stream the reader reports the error
		default:
			a.drop()
		}
	}
}

// on handles one event and tells whether its ask has started.
func (b *binding) on(ev event) bool {
	a := ev.ask
	if a.ended {
		return false
	}
	if ev.err != nil {
		b.broken(a, ev.err)
		return false
	}
	switch m := ev.m.(type) {
	case *wire.Grant:
		b.onGrant(a)
	case *wire.Refuse:
		a.end()
		b.result.Refusals = append(b.result.Refusals, Refusal{
			Upstream: a.up.Name(), Reason: m.Reason, RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond,
		})
		if b.granted == a {
			b.granted = nil
		}
	case *wire.Started:
		b.result.Upstream, b.result.Number, b.result.Started = a.up.Name(), a.number, time.Now()
		return true
	}
	return false
}

// onGrant starts the first granted ask and withdraws the others, none of which can have started.
func (b *binding) onGrant(a *ask) {
	if b.closing || b.granted != nil {
		a.drop()
		return
	}
	if !b.req.mayStart() {
		b.result.End, b.result.Detail = EndCancelled, detailClaim
		b.cancel()
		return
	}
	b.granted, a.handed = a, true
	if err := a.st.Send(&wire.Start{Body: b.req.Body}); err != nil {
		return // the reader reports the broken stream
	}
	for _, o := range b.asks {
		if o != a && !o.ended {
			o.drop()
		}
	}
}

// broken ends an ask whose stream failed. If the sidecar may have started it, the result is unknown.
func (b *binding) broken(a *ask, err error) {
	a.st.Abort()
	a.ended = true
	b.unreachable(a.up)
	if b.granted == a {
		b.granted = nil
	}
	if a.handed {
		b.result.End, b.result.Upstream, b.result.Number = EndUnknown, a.up.Name(), a.number
		b.result.Detail = "session lost before the start was confirmed: " + err.Error()
	}
}

// withdraw ends every ask other than the one that started.
func (b *binding) withdraw(won *ask) {
	for _, a := range b.asks {
		if a != won && !a.ended {
			a.drop()
		}
	}
}

// drop cancels an ask.
func (a *ask) drop() {
	_ = a.st.Send(&wire.Cancel{}) // closing the stream says the same
	a.end()
}

func (a *ask) end() {
	a.ended = true
	a.st.Close()
}
