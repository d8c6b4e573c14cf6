package place

import (
	"sync"
	"time"
)

// Parameters of outlier ejection.
const (
	// failureDecayTime is the time constant of the exponential decay of outcomes.
	failureDecayTime = 3 * time.Second
	// ejectionMargin is the share of failed requests, above that of the service as a whole, at which a replica is
	// ejected. It is far above the error rates of healthy services (0.4 to 14 in 100 in the published deployment
	// specifications).
	ejectionMargin = 0.3
	// minOutcomes is the decayed number of recent outcomes needed to eject a replica.
	minOutcomes = 3
	// minBackoff and maxBackoff bound the time for which an unreachable replica gets no work.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// goneTime is how long a replica whose address belongs to another one gets no work. Its registration lapses sooner: the
	// platform removes it after three missing heartbeats (3.6 s).
	goneTime = 5 * time.Second
	// probeInterval is the time between probe requests to an ejected replica.
	probeInterval = 700 * time.Millisecond
	// resetDecayTime is the time constant of the exponential decay of resets, and minResets the decayed number of them at all entries
	// together at which a replica gets no work. Single lost responses of a replica that runs stay below it: at five a second the number
	// is 2.
	resetDecayTime = 300 * time.Millisecond
	minResets      = 2.5
)

// Health ejects replicas whose requests fail more often than those of the other replicas of their service. It is safe for
// concurrent use.
type Health struct {
	mu       sync.Mutex
	replicas map[Key]*replicaHealth
	services map[string]*decayingMean
}

type replicaHealth struct {
	// failures has a value for each request: 1 for a failed one, 0 otherwise.
	failures decayingMean
	// failedConnections counts consecutive failed connections.
	failedConnections int
	// backoffUntil is the time before which the replica gets no work.
	backoffUntil time.Time
	// resets has a value for each connection that ended without a response, at any entry.
	resets    decayingMean
	lastProbe time.Time
}

// Evidence is an observation of one entry that holds for all of them: no process accepts connections at the replica's
// address, or another replica does. An entry of a large fleet reaches each replica once in many seconds, so that each of them
// would find out by itself that a replica has crashed, with a request of a caller. Connections that time out are no evidence:
// the path from this entry alone may be broken.
type Evidence struct {
	Replica Key
	// Gone is set if another replica has the address.
	Gone bool
	// Reset is set if a connection to the replica ended without a response. One is no proof, because the replica may have closed the
	// connection while it was idle, or lost a response. Several at once are: the machine is up, and its process is not.
	Reset bool
}

// NewHealth returns a Health without recorded outcomes.
func NewHealth() *Health {
	return &Health{replicas: map[Key]*replicaHealth{}, services: map[string]*decayingMean{}}
}

// RecordOutcome records the outcome of a request that reached the replica. A failure is a response that is of no use to
// any caller, or none at all.
func (h *Health) RecordOutcome(service string, replica Key, failed bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.get(replica)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	r.failures.add(outcome, now, failureDecayTime)
	if !failed {
		r.failedConnections, r.backoffUntil = 0, time.Time{}
	}
	s := h.services[service]
	if s == nil {
		s = &decayingMean{}
		h.services[service] = s
	}
	s.add(outcome, now, failureDecayTime)
}

// RecordUnreachable records that the replica accepted no connection or stopped responding. It gets no work for a backoff
// that doubles with each consecutive failure.
func (h *Health) RecordUnreachable(replica Key, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.get(replica).backOff(now)
}

// backOff records a failed connection and the backoff that follows it.
func (r *replicaHealth) backOff(now time.Time) {
	backoff := min(maxBackoff, minBackoff<<min(r.failedConnections, 8))
	r.failedConnections++
	r.backoffUntil = now.Add(backoff)
}

// Apply records evidence, of this entry or of another one, and reports whether it is new, so that this entry should share it.
func (h *Health) Apply(e Evidence, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.get(e.Replica)
	known := now.Before(r.backoffUntil)
	switch {
	case e.Reset:
		return r.recordReset(now)
	case e.Gone:
		r.backoffUntil = now.Add(goneTime)
	case !known:
		r.backOff(now)
	}
	return !known
}

// recordReset records a connection that ended without a response, and reports whether the other entries should know. After a backoff that no
// success has followed, the first reset shows that the replica is still down.
func (r *replicaHealth) recordReset(now time.Time) bool {
	if now.Before(r.backoffUntil) {
		return false
	}
	r.resets.add(1, now, resetDecayTime)
	if r.resets.count >= minResets || r.failedConnections > 0 && now.Sub(r.backoffUntil) < maxBackoff {
		r.backOff(now)
		r.resets = decayingMean{}
	}
	return true
}

// Usable reports whether the replica should get work. A replica that is ejected for its failures gets one probe in each
// probeInterval, a request that may be repeated elsewhere.
func (h *Health) Usable(service string, replica Key, repeatable bool, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.replicas[replica]
	if r == nil {
		return true
	}
	if now.Before(r.backoffUntil) {
		return false
	}
	r.failures.decay(now, failureDecayTime)
	s := h.services[service]
	if r.failures.count < minOutcomes || s == nil || r.failures.mean() < s.mean()+ejectionMargin {
		return true
	}
	if repeatable && now.Sub(r.lastProbe) >= probeInterval {
		r.lastProbe = now
		return true
	}
	return false
}

// Expire deletes the records of replicas that have not been used for a long time.
func (h *Health) Expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for k, r := range h.replicas {
		if now.Sub(r.failures.updated) > 10*failureDecayTime && now.Sub(r.backoffUntil) > 10*maxBackoff {
			delete(h.replicas, k)
		}
	}
}

func (h *Health) get(replica Key) *replicaHealth {
	r := h.replicas[replica]
	if r == nil {
		r = &replicaHealth{}
		h.replicas[replica] = r
	}
	return r
}
