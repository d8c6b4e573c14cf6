package place

import (
	"sync"
	"time"
)

// Bounds of the search for replicas that fail.
const (
	// failureMemory is the time constant with which outcomes are forgotten.
	failureMemory = 3 * time.Second
	// failureShare is the share of failed requests, above that of the service as a whole, at which a replica is avoided.
	// It is far above the error rates of healthy services (0.4 to 14 in 100 on the sheets).
	failureShare = 0.3
	// failureEvidence is the weight of recent outcomes that a judgement needs.
	failureEvidence = 3
	// unreachableBase and unreachableMost bound the time for which a replica that can't be reached gets no work.
	unreachableBase = 250 * time.Millisecond
	unreachableMost = 2 * time.Second
	// probeInterval is the time between requests that try out a replica which is avoided for its failures.
	probeInterval = 700 * time.Millisecond
)

// Health finds replicas that fail by the answers they give, compared with the other replicas of their service. It is safe
// for concurrent use.
type Health struct {
	mu       sync.Mutex
	replicas map[Key]*record
	services map[string]*decaying
}

type record struct {
	// failures counts requests, with 1 for a failed one.
	failures decaying
	// refused counts failed connections in a row.
	refused int
	// until is the time before which no work is sent.
	until  time.Time
	probed time.Time
}

// NewHealth returns a Health that knows of no failures.
func NewHealth() *Health {
	return &Health{replicas: map[Key]*record{}, services: map[string]*decaying{}}
}

// Answered notes the outcome of a request that reached the replica. A failure is an answer that no caller can use, or none.
func (h *Health) Answered(service string, replica Key, failed bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(replica)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	r.failures.add(outcome, now, failureMemory)
	if !failed {
		r.refused, r.until = 0, time.Time{}
	}
	s := h.services[service]
	if s == nil {
		s = &decaying{}
		h.services[service] = s
	}
	s.add(outcome, now, failureMemory)
}

// Unreachable notes that the replica accepted no connection or fell silent. It gets no work for a while that doubles with
// each failure in a row.
func (h *Health) Unreachable(replica Key, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(replica)
	pause := min(unreachableMost, unreachableBase<<min(r.refused, 8))
	r.refused++
	r.until = now.Add(pause)
}

// Usable reports whether the replica should get work. A replica that is avoided for its failures is tried out once in
// each probeInterval, by requests that may be repeated elsewhere.
func (h *Health) Usable(service string, replica Key, repeatable bool, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.replicas[replica]
	if r == nil {
		return true
	}
	if now.Before(r.until) {
		return false
	}
	r.failures.decay(now, failureMemory)
	s := h.services[service]
	if r.failures.count < failureEvidence || s == nil || r.failures.mean() < s.mean()+failureShare {
		return true
	}
	if repeatable && now.Sub(r.probed) >= probeInterval {
		r.probed = now
		return true
	}
	return false
}

// Forget drops what is known of replicas that have not been used for long.
func (h *Health) Forget(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for k, r := range h.replicas {
		if now.Sub(r.failures.at) > 10*failureMemory && now.After(r.until) {
			delete(h.replicas, k)
		}
	}
}

func (h *Health) record(replica Key) *record {
	r := h.replicas[replica]
	if r == nil {
		r = &record{}
		h.replicas[replica] = r
	}
	return r
}
