package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/direct"
	"github.com/dragonflypin/dragonflypin/internal/request/place"
	"github.com/dragonflypin/dragonflypin/internal/request/retry"
	"github.com/dragonflypin/dragonflypin/internal/version/routes"
)

const (
	// maxConnectFailures is the number of failed connections after which the request is refused.
	maxConnectFailures = 6
	// minTimeLeft is the time until the deadline below which a send can't succeed: two round trips to a client and one
	// step of an engine.
	minTimeLeft = 20 * time.Millisecond
	// retryAfterFull is the Retry-After time when the replicas are full: about the prefill time of three long prompts.
	retryAfterFull = 600 * time.Millisecond
	// retryAfterMisdirected is the Retry-After time when other replicas have the addresses of those that were tried. The
	// entries exclude them from now on, so that the next choice is a sound one.
	retryAfterMisdirected = 50 * time.Millisecond
	// retryAfterUnreachable is the Retry-After time when no replica can be reached: about the time until the entry has an
	// updated list of replicas.
	retryAfterUnreachable = 300 * time.Millisecond
)

// serving is the state of one request.
type serving struct {
	f  *Forwarder
	r  *Request
	to Responder

	excluded        []string
	connectFailures int
	sends           int
	responseStarted bool
	// sequence has the events that the caller has received.
	sequence eventSequence
	// part describes the last send, without its LastEvent, which is that of the sequence.
	part StreamPart
	// mayHaveRun is set when a replica may have worked on the request.
	mayHaveRun bool
	// began is set once the request was reported as begun (see Forwarder.Began).
	began bool

	choice     place.Choice
	queued     time.Duration
	firstByte  time.Duration
	lastWrite  time.Time
	longestGap time.Duration
}

// step is the result of an attempt.
type step struct {
	retry bool
	end   End
}

func stop(e End) step { return step{end: e} }

func (s *serving) run(ctx context.Context) End {
	for {
		if err := ctx.Err(); err != nil {
			return s.endByContext(err)
		}
		if retryAfter, ok := s.f.Guard.Admit(s.r, false); !ok {
			return s.refuse(CodeQuarantined, retryAfter)
		}
		waiter, ok := s.f.Placer.Enqueue(s.job(), time.Now())
		if !ok {
			return s.refuse(CodeNoReplica, retryAfterUnreachable)
		}
		choice, result := s.wait(ctx, waiter)
		switch result {
		case waitContextDone:
			continue
		case waitTimedOut:
			if retryAfter, ok := s.f.Placer.ReturnAfterPause(waiter, time.Now()); ok {
				return s.refuseUntil(CodePaused, retryAfter)
			}
			s.choice = s.f.Placer.PendingChoice(waiter, time.Now())
			code := CodeNoCapacity
			if waiter.Unplaced() {
				code = CodeLimited
			}
			return s.refuse(code, s.f.Placer.RetryAfter(waiter, time.Now()))
		}
		next := s.attempt(ctx, choice)
		if !next.retry {
			return next.end
		}
	}
}

// waitResult is how a wait for capacity ended.
type waitResult uint8

const (
	waitGranted waitResult = iota
	// waitContextDone means that the request's context ended.
	waitContextDone
	// waitTimedOut means that the queue timeout passed.
	waitTimedOut
)

// wait returns the choice for the waiter once it is granted. A retried request is granted at once.
func (s *serving) wait(ctx context.Context, w *place.Waiter) (place.Choice, waitResult) {
	select {
	case c := <-w.Granted:
		return c, waitGranted
	default:
	}
	timeout := time.NewTimer(time.Until(w.QueueDeadline))
	defer timeout.Stop()
	result := waitContextDone
	select {
	case c := <-w.Granted:
		return c, waitGranted
	case <-timeout.C:
		result = waitTimedOut
	case <-ctx.Done():
	}
	s.f.Placer.Dequeue(w)
	select {
	case c := <-w.Granted: // granted while the wait ended
		if result == waitTimedOut {
			return c, waitGranted
		}
		s.f.Placer.Ended(c, false, time.Now())
	default:
		if result == waitTimedOut && s.f.Placer.ForcePlace(w, time.Now()) {
			return <-w.Granted, waitGranted
		}
	}
	return place.Choice{}, result
}

func (s *serving) job() *place.Job {
	r := s.r
	return &place.Job{
		Service: r.Service, Route: r.Route.Name, Parts: r.Parts, Tokens: r.PromptTokens,
		Target: r.Route.LatencyTarget, Repeatable: r.Route.Repeatable(), Excluded: s.excluded,
		Retried: s.sends > 0, Priority: r.Priority, Arrived: r.Arrived,
	}
}

// attempt sends the request to one replica.
func (s *serving) attempt(ctx context.Context, c place.Choice) step {
	r, sent := s.r, time.Now()
	tracker := &sendTracker{s: s, choice: c}
	defer tracker.end()
	left := r.Deadline.Sub(sent)
	if left < minTimeLeft {
		return stop(s.endByContext(context.DeadlineExceeded))
	}
	if retryAfter, ok := s.f.Guard.Admit(r, true); !ok {
		return stop(s.refuse(CodeQuarantined, retryAfter)) // quarantined while the request waited
	}
	s.choice = c
	request := &direct.Request{
		Address: c.Replica.Address, Method: r.Method, Target: r.Target, Host: r.Host,
		Header: s.f.Dialect.Headers(r, &c, left, string(s.sequence.last.id)),
		Body:   r.Body, Chunked: r.Chunked, NonIdempotent: !r.Route.Repeatable(),
		MaxIdle: s.f.maxIdle(r.Service),
		Leaving: func() bool { return s.f.IsLeaving != nil && s.f.IsLeaving(c.Replica.ID, c.Replica.StartUnixMs) },
		Health:  s.healthCheck(&c),
		Match:   func(status int, h http.Header) direct.Match { return s.f.Dialect.Match(r, status, h) },
	}
	tracker.sent = time.Now()
	s.part = StreamPart{ResumedAfter: string(s.sequence.last.id)}
	response, err := s.f.Pool.Do(ctx, request)
	if s.sends == 0 {
		s.queued = sent.Sub(r.Arrived)
	}
	attempt := Attempt{Choice: c, Number: s.sends + 1, Took: time.Since(sent), Err: err}
	if err != nil && ctx.Err() != nil {
		// The connection was closed because the context ended, so that the error of the connection is of no use.
		attempt.Err = context.Cause(ctx)
	}
	if errors.Is(err, direct.ErrNotSent) {
		s.reportAttempt(attempt)
		return s.handleNotSent(ctx, c, err)
	}
	s.sends++
	if err != nil {
		s.reportAttempt(attempt)
		return s.handleNoResponse(ctx, tracker, err)
	}
	defer response.Close()
	s.part.Framing = response.Framing
	attempt.Status, attempt.Verdict = response.Status, s.f.Dialect.Verdict(response.Status, response.Header)
	s.recordLeaving(c, response)
	s.recordPause(c, response)
	if attempt.Verdict != WrongReplica {
		s.recordLimit(tracker, response)
	}
	if attempt.Verdict != Ran {
		s.reportAttempt(attempt)
		return s.handleNotRun(c, attempt.Verdict)
	}
	return s.deliver(ctx, tracker, response, attempt)
}

// healthCheck returns a request that shows whether the replica still runs, or nil if none is known.
func (s *serving) healthCheck(c *place.Choice) *direct.HealthCheck {
	if s.f.HealthPath == nil {
		return nil
	}
	path := s.f.HealthPath(s.r.Service)
	if path == "" {
		return nil
	}
	header, misdirected := s.f.Dialect.HealthHeaders(c.Replica.ID)
	return &direct.HealthCheck{Target: path, Host: c.Replica.Address, Header: header, MisdirectedStatus: misdirected}
}

// maxIdle returns how many idle connections to a replica of the service are kept, or 0 if that is not known.
func (f *Forwarder) maxIdle(service string) int {
	if f.MaxIdle == nil {
		return 0
	}
	return f.MaxIdle(service)
}

// streamPart describes the last send.
func (s *serving) streamPart() StreamPart {
	part := s.part
	part.LastEvent = string(s.sequence.last.id)
	return part
}

// reportAttempt tells the observer of a send that did not produce the response.
func (s *serving) reportAttempt(a Attempt) {
	a.Stream = s.streamPart()
	s.f.Observer.Attempted(s.r, a)
}

// recordLeaving reports a replica that says that it leaves. Work that runs there goes on.
func (s *serving) recordLeaving(c place.Choice, response *direct.Response) {
	id, leaving := s.f.Dialect.Leaving(response.Status, response.Header)
	switch {
	case !leaving || s.f.Leaving == nil:
	case id != "":
		s.f.Leaving(id, 0)
	default:
		s.f.Leaving(c.Replica.ID, c.Replica.StartUnixMs)
	}
}

// recordPause applies the pause that a refusal asks for.
func (s *serving) recordPause(c place.Choice, response *direct.Response) {
	pause, ok := s.f.Dialect.Pause(response.Status, response.Header)
	if ok && s.f.Placer.Pauses.Apply(c.Replica, pause, time.Now()) && s.f.Paused != nil {
		s.f.Paused(c.Replica.ID, pause)
	}
}

// recordLimit applies the limit that a response names. A success that names none ends the replica's limit.
func (s *serving) recordLimit(tracker *sendTracker, response *direct.Response) {
	named := place.NamedLimit{Replica: tracker.choice.Key, Sent: tracker.sent, At: time.Now()}
	limit, ok := s.f.Dialect.Limit(response.Header)
	if !ok && response.Status >= http.StatusMultipleChoices {
		return
	}
	named.PerSecond, named.Withdrawn = limit, !ok
	if s.f.Placer.Limits.Apply(named, time.Now()) && s.f.ShareLimit != nil {
		s.f.ShareLimit(named)
	}
}

// handleNotSent continues at another replica: this one has not received anything.
func (s *serving) handleNotSent(ctx context.Context, c place.Choice, err error) step {
	if err := ctx.Err(); err != nil {
		return stop(s.endByContext(err))
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.record(place.Evidence{Replica: c.Key})
	} else {
		s.f.Placer.Health.RecordUnreachable(c.Key, time.Now())
	}
	s.excluded = append(s.excluded, c.Replica.ID)
	if s.connectFailures++; s.connectFailures >= maxConnectFailures {
		return stop(s.refuse(CodeUnreachable, retryAfterUnreachable))
	}
	return step{retry: true}
}

// record applies evidence about a replica and shares it if it is new.
func (s *serving) record(e place.Evidence) {
	if s.f.Placer.Health.Apply(e, time.Now()) && s.f.Share != nil {
		s.f.Share(e)
	}
}

// handleNotRun continues at another replica if attempts and budget allow; this one has not run the request.
func (s *serving) handleNotRun(c place.Choice, v Verdict) step {
	s.excluded = append(s.excluded, c.Replica.ID)
	retryAfter := retryAfterFull
	if v == WrongReplica {
		retryAfter = retryAfterMisdirected
		s.record(place.Evidence{Replica: c.Key, Gone: true})
	}
	if code, ok := s.mayRetry(retry.NotRun); !ok {
		if code != CodeRetryBudget {
			code = CodeReplicasFull
		}
		return stop(s.refuse(code, retryAfter))
	}
	return step{retry: true}
}

// handleNoResponse handles a send without a response: the replica may have worked on the request.
func (s *serving) handleNoResponse(ctx context.Context, tracker *sendTracker, err error) step {
	s.mayHaveRun = true
	if s.r.Route.Kind != routes.Streaming {
		tracker.began() // a stream begins with its first event, which has not arrived
	}
	if ctx.Err() != nil {
		return stop(s.endByContext(ctx.Err()))
	}
	s.f.Placer.Health.RecordOutcome(s.r.Service, tracker.choice.Key, true, time.Now())
	if direct.ConnectionEnded(err) {
		s.record(place.Evidence{Replica: tracker.choice.Key, Reset: true})
	}
	return s.retryInterrupted(ctx, tracker, err)
}

// mayRetry reports whether the route, the retry budget and the deadline allow another send after one with the given
// execution. If not, it returns the code of the refusal.
func (s *serving) mayRetry(execution retry.Execution) (Code, bool) {
	r := s.r
	if s.sends >= r.Route.MaxAttempts || s.responseStarted && !s.sequence.continuable() {
		return CodeMayHaveRun, false
	}
	verdict := s.f.Budgets.get(r.Service).Decide(time.Now(), retry.Failure{
		Execution: execution, Idempotent: r.Route.Repeatable(),
		ResponseStarted: s.responseStarted && r.Route.Kind != routes.Streaming,
		Attempts:        s.sends, Deadline: r.Deadline, MinAttemptTime: minTimeLeft,
	})
	switch verdict {
	case retry.Retry:
		return "", true
	case retry.OverBudget:
		return CodeRetryBudget, false
	default:
		return CodeMayHaveRun, false
	}
}

// refuse reports that the request has not run, unless a replica may have worked on it.
func (s *serving) refuse(code Code, retryAfter time.Duration) End {
	return s.refuseUntil(code, jitter(retryAfter))
}

// refuseUntil is refuse with the exact time after which the caller should return.
func (s *serving) refuseUntil(code Code, retryAfter time.Duration) End {
	if s.mayHaveRun || s.responseStarted {
		return s.fail(code, http.StatusBadGateway, nil)
	}
	s.to.Refuse(Refusal{Status: http.StatusServiceUnavailable, Code: code, RetryAfter: retryAfter})
	return End{Outcome: OutcomeRefused, Code: code, Status: http.StatusServiceUnavailable}
}

// jitter varies a Retry-After time by a quarter, so that callers who were refused together don't return together.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}

// fail ends a request that may have run.
func (s *serving) fail(code Code, status int, err error) End {
	if s.responseStarted {
		s.to.Abort()
		return End{Outcome: OutcomeCut, Code: code, Err: err}
	}
	s.to.Refuse(Refusal{Status: status, Code: code})
	return End{Outcome: OutcomeFailed, Code: code, Status: status, Err: err}
}

// abandon ends a request whose caller seems to have left. It may still read: a caller that closes only its sending side looks the
// same.
func (s *serving) abandon(err error) End {
	s.to.Abort()
	return End{Outcome: OutcomeAbandoned, Err: err}
}

// endByContext ends a request whose caller disconnected or whose deadline passed.
func (s *serving) endByContext(err error) End {
	if errors.Is(err, context.Canceled) {
		return s.abandon(err)
	}
	if s.mayHaveRun || s.responseStarted {
		return s.fail(CodeTimeout, http.StatusGatewayTimeout, err)
	}
	return s.refuse(CodeDeadline, 0)
}
