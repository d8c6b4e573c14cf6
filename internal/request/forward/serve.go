package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/direct"
	"github.com/dragonflypin/dragonflypin/internal/request/place"
	"github.com/dragonflypin/dragonflypin/internal/request/retry"
	"github.com/dragonflypin/dragonflypin/internal/version/routes"
)

const (
	// maxUnsent bounds the replicas that are tried without a connection for one request.
	maxUnsent = 6
	// minLeft is the time below which a send can't succeed: two round trips to a client and one step of an engine.
	minLeft = 20 * time.Millisecond
	// retryAfterFull is when to come back to full replicas; about the time in which an engine reads three long prompts.
	retryAfterFull = 600 * time.Millisecond
	// retryAfterLost is when to come back when no replica can be reached; about the time to a new list of replicas.
	retryAfterLost = 300 * time.Millisecond
)

// serving is the state of one request.
type serving struct {
	f  *Forwarder
	r  *Request
	to Responder

	excluded []string
	unsent   int
	sends    int
	began    bool
	// resumeAfter is the last event that the caller has.
	resumeAfter string
	// mayRun tells that some replica may have worked on the request.
	mayRun bool

	choice     place.Choice
	queued     time.Duration
	first      time.Duration
	last       time.Time
	longestGap time.Duration
}

// step is what follows from an attempt.
type step struct {
	again bool
	end   End
}

func stop(e End) step { return step{end: e} }

func (s *serving) run(ctx context.Context) End {
	for {
		if err := ctx.Err(); err != nil {
			return s.expired(err)
		}
		ticket, ok := s.f.Placer.Enter(s.job(), time.Now())
		if !ok {
			return s.refuse(CodeNoReplica, retryAfterLost)
		}
		choice, waited := s.wait(ctx, ticket)
		switch waited {
		case waitEnded:
			continue
		case waitImpatient:
			s.choice = s.f.Placer.Considered(ticket, time.Now())
			return s.refuse(CodeNoRoom, s.f.Placer.ReturnAfter(ticket, time.Now()))
		}
		next := s.attempt(ctx, choice)
		if !next.again {
			return next.end
		}
	}
}

// waited is how a wait for room ended.
type waited uint8

const (
	waitGranted waited = iota
	// waitEnded means that the request's context ended.
	waitEnded
	// waitImpatient means that there was no room for too long.
	waitImpatient
)

// wait returns the choice for the ticket. A request that some replica may have worked on is granted at once.
func (s *serving) wait(ctx context.Context, t *place.Ticket) (place.Choice, waited) {
	select {
	case c := <-t.Granted:
		return c, waitGranted
	default:
	}
	patience := time.NewTimer(time.Until(t.Patience))
	defer patience.Stop()
	why := waitEnded
	select {
	case c := <-t.Granted:
		return c, waitGranted
	case <-patience.C:
		why = waitImpatient
	case <-ctx.Done():
	}
	s.f.Placer.Leave(t)
	select {
	case c := <-t.Granted: // granted in the moment in which the wait ended
		if why == waitImpatient {
			return c, waitGranted
		}
		s.f.Placer.Ended(c, false, time.Now())
	default:
		if why == waitImpatient && s.f.Placer.Insist(t, time.Now()) {
			return <-t.Granted, waitGranted
		}
	}
	return place.Choice{}, why
}

func (s *serving) job() *place.Job {
	r := s.r
	return &place.Job{
		Service: r.Service, Route: r.Route.Name, Parts: r.Parts, Tokens: r.PromptTokens,
		Target: r.Route.LatencyTarget, Repeatable: r.Route.Repeatable(), Excluded: s.excluded,
		Repeated: s.sends > 0, Priority: r.Priority, Arrived: r.Arrived,
	}
}

// attempt sends the request to one replica.
func (s *serving) attempt(ctx context.Context, c place.Choice) step {
	r, sent := s.r, time.Now()
	flow := &flow{s: s, choice: c}
	defer flow.end()
	left := r.Deadline.Sub(sent)
	if left < minLeft {
		return stop(s.expired(context.DeadlineExceeded))
	}
	s.choice = c
	call := &direct.Request{
		Address: c.Replica.Address, Method: r.Method, Target: r.Target, Host: r.Host,
		Header: s.f.Dialect.Headers(r, &c, left, s.resumeAfter),
		Body:   r.Body, Chunked: r.Chunked, NonIdempotent: !r.Route.Repeatable(),
		Matches: func(status int, h http.Header) bool { return s.f.Dialect.Names(r, status, h) },
	}
	answer, err := s.f.Pool.Do(ctx, call)
	if s.sends == 0 {
		s.queued = sent.Sub(r.Arrived)
	}
	note := Attempt{Choice: c, Number: s.sends + 1, Took: time.Since(sent), Err: err}
	if err != nil && ctx.Err() != nil {
		// The connection was closed for this; the error of the closed connection tells nothing.
		note.Err = context.Cause(ctx)
	}
	if errors.Is(err, direct.ErrNotSent) {
		s.f.Observer.Attempted(r, note)
		return s.notSent(ctx, c)
	}
	s.sends++
	if err != nil {
		s.f.Observer.Attempted(r, note)
		return s.noAnswer(ctx, c, err)
	}
	defer answer.Close()
	note.Status, note.Verdict = answer.Status, s.f.Dialect.Verdict(answer.Status, answer.Header)
	if note.Verdict != Ran {
		s.f.Observer.Attempted(r, note)
		return s.refused(c, note.Verdict)
	}
	return s.deliver(ctx, flow, answer, note)
}

// notSent continues elsewhere: the replica has not received anything.
func (s *serving) notSent(ctx context.Context, c place.Choice) step {
	if err := ctx.Err(); err != nil {
		return stop(s.expired(err))
	}
	s.f.Placer.Health.Unreachable(c.Key, time.Now())
	s.excluded = append(s.excluded, c.Replica.ID)
	if s.unsent++; s.unsent >= maxUnsent {
		return stop(s.refuse(CodeUnreachable, retryAfterLost))
	}
	return step{again: true}
}

// refused continues elsewhere if attempts and budget allow; the replica has not run the request.
func (s *serving) refused(c place.Choice, v Verdict) step {
	s.excluded = append(s.excluded, c.Replica.ID)
	if v == WrongReplica {
		s.f.Placer.Health.Unreachable(c.Key, time.Now())
	}
	if code, ok := s.mayRepeat(retry.NotRun); !ok {
		if code != CodeRetryBudget {
			code = CodeReplicasFull
		}
		return stop(s.refuse(code, retryAfterFull))
	}
	return step{again: true}
}

// noAnswer follows a send without an answer: the replica may have worked on the request.
func (s *serving) noAnswer(ctx context.Context, c place.Choice, err error) step {
	if ctx.Err() != nil {
		s.mayRun = true
		return stop(s.expired(ctx.Err()))
	}
	s.f.Placer.Health.Answered(s.r.Service, c.Key, true, time.Now())
	s.excluded = append(s.excluded, c.Replica.ID)
	s.mayRun = true
	if code, ok := s.mayRepeat(retry.MayHaveRun); !ok {
		return stop(s.fail(code, http.StatusBadGateway, err))
	}
	return step{again: true}
}

// mayRepeat asks the budget for one more send.
func (s *serving) mayRepeat(known retry.Known) (Code, bool) {
	r := s.r
	if s.sends >= r.Route.MaxAttempts {
		return CodeUnknown, false
	}
	verdict := s.f.Budgets.get(r.Service).Decide(time.Now(), retry.Failure{
		Known: known, Idempotent: r.Route.Repeatable(), Sent: s.began && r.Route.Kind != routes.Streaming,
		Attempts: s.sends, Deadline: r.Deadline, Need: minLeft,
	})
	switch verdict {
	case retry.Again:
		return "", true
	case retry.OverBudget:
		return CodeRetryBudget, false
	default:
		return CodeUnknown, false
	}
}

// refuse states that the request has not run, unless a replica may have worked on it.
func (s *serving) refuse(code Code, retryAfter time.Duration) End {
	if s.mayRun || s.began {
		return s.fail(code, http.StatusBadGateway, nil)
	}
	s.to.Refuse(Refusal{Status: http.StatusServiceUnavailable, Code: code, RetryAfter: spread(retryAfter)})
	return End{Outcome: OutcomeRefused, Code: code, Status: http.StatusServiceUnavailable}
}

// spread varies the time to come back by a quarter, so that callers who were refused together don't return together.
func spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}

// fail ends a request that may have run.
func (s *serving) fail(code Code, status int, err error) End {
	if s.began {
		s.to.Abort()
		return End{Outcome: OutcomeCut, Code: code, Err: err}
	}
	s.to.Refuse(Refusal{Status: status, Code: code})
	return End{Outcome: OutcomeFailed, Code: code, Status: status, Err: err}
}

// expired ends a request whose caller left or whose deadline passed.
func (s *serving) expired(err error) End {
	if errors.Is(err, context.Canceled) {
		if s.began {
			s.to.Abort()
		}
		return End{Outcome: OutcomeAbandoned, Err: err}
	}
	if s.mayRun || s.began {
		return s.fail(CodeTimeout, http.StatusGatewayTimeout, err)
	}
	return s.refuse(CodeDeadline, 0)
}
