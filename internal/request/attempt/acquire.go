package attempt

import (
	"context"
	"fmt"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
)

const (
	// confirmTimeout is how long the entry waits for a sidecar's response to the cancellation of an ask that may have
	// started.
	confirmTimeout = time.Second
	// initialReaskDelay is how long the entry waits for a grant before it asks another sidecar; the delay doubles up to
	// maxReaskDelay. Asking again loses no queue position: sidecars order requests by their arrival at the entry.
	initialReaskDelay = 25 * time.Millisecond
	maxReaskDelay     = time.Second
	// maxAsks is the number of sidecars asked concurrently.
	maxAsks = 2
)

// ask is an Ask message sent to one sidecar, and its stream.
type ask struct {
	up     Upstream
	st     Stream
	number uint32
	// mayHaveStarted is set once a committed ask or a Start was sent.
	mayHaveStarted bool
	ended          bool
}

// detailClaimExpired states that the claim of a non-idempotent call was no longer valid at an ask or a grant.
const detailClaimExpired = "claim expired before the start"

func (r *Request) mayStart() bool { return r.MayStart == nil || r.MayStart() }

type event struct {
	ask *ask
	m   wire.Message
	err error
}

// acquisition is the state of one round of asks until one of them starts.
type acquisition struct {
	req    *Request
	asks   []*ask
	events chan event
	// done is closed when events are no longer received.
	done chan struct{}
	// next returns a sidecar other than the named ones, or nil.
	next      func(except []string) Upstream
	number    *uint32
	granted   *ask
	result    Result
	cancelled bool
}

// acquireSlot asks the choice's targets for a slot, and other sidecars while none grants one. It returns the ask that
// started, or nil if none did, and the result so far.
func (r *Request) acquireSlot(ctx context.Context, choice Choice, number *uint32, next func(except []string) Upstream) (*ask, Result) {
	if choice.Committed && len(choice.Targets) == 1 {
		*number++
		return r.acquireCommitted(ctx, choice.Targets[0], *number)
	}
	acq := &acquisition{req: r, events: make(chan event), done: make(chan struct{}), next: next, number: number}
	defer close(acq.done)
	for _, up := range choice.Targets {
		*number++
		acq.send(up, *number, choice.Committed)
	}
	started := acq.wait(ctx)
	acq.cancelOthers(started)
	return started, acq.result
}

// acquireCommitted sends a single committed ask and waits for its start. This is the usual case, so it avoids a reader
// goroutine.
func (r *Request) acquireCommitted(ctx context.Context, up Upstream, number uint32) (*ask, Result) {
	acq := &acquisition{req: r}
	acq.send(up, number, true)
	if acq.openAsks() == 0 {
		return nil, acq.notStarted()
	}
	a := acq.asks[0]
	stop := context.AfterFunc(ctx, func() {
		_ = a.st.Send(&wire.Cancel{}) // if the stream is broken, Recv returns an error
		time.AfterFunc(confirmTimeout, a.st.Abort)
	})
	m, err := a.st.Recv()
	if !stop() {
		acq.cancelled = true
	}
	if err == nil {
		err = a.verify(m, r.Ask.RequestID)
	}
	if acq.handle(event{ask: a, m: m, err: err}) {
		return a, acq.result
	}
	return nil, acq.notStarted()
}

func (acq *acquisition) send(up Upstream, number uint32, committed bool) {
	if !acq.req.mayStart() {
		acq.result.End, acq.result.Detail = EndCancelled, detailClaimExpired
		return
	}
	st, err := up.Open()
	if err != nil {
		acq.addUnreachable(up)
		return
	}
	a := &ask{up: up, st: st, number: number, mayHaveStarted: committed}
	if err := st.Send(acq.req.message(number, committed)); err != nil {
		acq.streamFailed(a, err) // a failed write may have sent the whole message, so a committed ask may have started
		return
	}
	acq.asks = append(acq.asks, a)
	if acq.events != nil {
		go a.read(acq.events, acq.done, acq.req.Ask.RequestID)
	}
}

func (r *Request) message(number uint32, committed bool) *wire.Ask {
	m := r.Ask
	m.Attempt, m.Committed = number, committed
	now := time.Now()
	// Rounded up so that the entry's deadline passes before the sidecar's and the caller receives a timeout error.
	m.RemainingMs = millis(r.Deadline.Sub(now) + time.Millisecond - 1)
	m.WaitedMs = millis(now.Sub(r.Accepted))
	if committed {
		m.Body = r.Body
	}
	return &m
}

func millis(d time.Duration) uint32 { return uint32(max(0, d/time.Millisecond)) }

func (acq *acquisition) addUnreachable(up Upstream) {
	acq.result.Refusals = append(acq.result.Refusals, Refusal{Upstream: up.Name(), Unreachable: true})
}

// read sends an event for each message up to the one that decides the ask; after Started, relay reads the stream.
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

// verify checks that a message belongs to this attempt and is allowed before its start.
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

// wait returns the ask that started, or nil when none can start anymore.
func (acq *acquisition) wait(ctx context.Context) *ask {
	done := ctx.Done()
	var confirm <-chan time.Time
	delay := initialReaskDelay
	reask := time.NewTimer(delay)
	defer reask.Stop()
	for acq.openAsks() > 0 {
		select {
		case <-reask.C:
			acq.replace()
			delay = min(2*delay, maxReaskDelay)
			reask.Reset(delay)
		case <-done:
			done = nil
			acq.cancel()
			timer := time.NewTimer(confirmTimeout)
			defer timer.Stop()
			confirm = timer.C
		case <-confirm:
			acq.result.End, acq.result.Detail = EndUnknown, "sidecar did not confirm the withdrawal"
			return nil
		case ev := <-acq.events:
			if acq.handle(ev) {
				return ev.ask
			}
		}
	}
	acq.notStarted()
	return nil
}

// notStarted returns the result of a round in which no ask started.
func (acq *acquisition) notStarted() Result {
	if acq.result.End == 0 {
		acq.result.End = EndRefused
		if acq.cancelled {
			acq.result.End = EndCancelled
		}
	}
	return acq.result
}

func (acq *acquisition) openAsks() int {
	n := 0
	for _, a := range acq.asks {
		if !a.ended {
			n++
		}
	}
	return n
}

// replace asks another sidecar. If maxAsks asks are open, it cancels the oldest one.
func (acq *acquisition) replace() {
	if acq.cancelled || acq.granted != nil {
		return
	}
	var open []*ask
	var names []string
	for _, a := range acq.asks {
		if a.mayHaveStarted && !a.ended {
			return // this ask may start, so no other may
		}
		if !a.ended {
			open, names = append(open, a), append(names, a.up.Name())
		}
	}
	up := acq.next(names)
	if up == nil {
		return
	}
	if len(open) >= maxAsks {
		open[0].cancel()
	}
	acq.asks = open
	*acq.number++
	acq.send(up, *acq.number, false)
}

// cancel cancels all asks; those that may have started stay open until the sidecar confirms.
func (acq *acquisition) cancel() {
	acq.cancelled = true
	for _, a := range acq.asks {
		switch {
		case a.ended:
		case a.mayHaveStarted:
			_ = a.st.Send(&wire.Cancel{}) // if the stream is broken, the reader reports the error
		default:
			a.cancel()
		}
	}
}

// handle processes one event and reports whether its ask has started.
func (acq *acquisition) handle(ev event) bool {
	a := ev.ask
	if a.ended {
		return false
	}
	if ev.err != nil {
		acq.streamFailed(a, ev.err)
		return false
	}
	switch m := ev.m.(type) {
	case *wire.Grant:
		acq.onGrant(a)
	case *wire.Refuse:
		a.end()
		acq.result.Refusals = append(acq.result.Refusals, Refusal{
			Upstream: a.up.Name(), Reason: m.Reason, RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond,
		})
		if acq.granted == a {
			acq.granted = nil
		}
	case *wire.Started:
		acq.result.Upstream, acq.result.Number, acq.result.Started = a.up.Name(), a.number, time.Now()
		return true
	}
	return false
}

// onGrant starts the first granted ask and cancels the others, none of which can have started.
func (acq *acquisition) onGrant(a *ask) {
	if acq.cancelled || acq.granted != nil {
		a.cancel()
		return
	}
	if !acq.req.mayStart() {
		acq.result.End, acq.result.Detail = EndCancelled, detailClaimExpired
		acq.cancel()
		return
	}
	acq.granted, a.mayHaveStarted = a, true
	if err := a.st.Send(&wire.Start{Body: acq.req.Body}); err != nil {
		return // the reader reports the error of the stream
	}
	for _, other := range acq.asks {
		if other != a && !other.ended {
			other.cancel()
		}
	}
}

// streamFailed ends an ask whose stream failed. If the sidecar may have started it, the result is EndUnknown.
func (acq *acquisition) streamFailed(a *ask, err error) {
	a.st.Abort()
	a.ended = true
	acq.addUnreachable(a.up)
	if acq.granted == a {
		acq.granted = nil
	}
	if a.mayHaveStarted {
		acq.result.End, acq.result.Upstream, acq.result.Number = EndUnknown, a.up.Name(), a.number
		acq.result.Detail = "session lost before the start was confirmed: " + err.Error()
	}
}

// cancelOthers cancels every ask other than the one that started.
func (acq *acquisition) cancelOthers(started *ask) {
	for _, a := range acq.asks {
		if a != started && !a.ended {
			a.cancel()
		}
	}
}

// cancel cancels the ask and closes its stream.
func (a *ask) cancel() {
	_ = a.st.Send(&wire.Cancel{}) // closing the stream also cancels the ask
	a.end()
}

func (a *ask) end() {
	a.ended = true
	a.st.Close()
}
