package duty

import "time"

const (
	// discoveryDelay is the time after its start after which an edge competes: by then it has heard of the other edges, which start
	// within 0.3 s of each other.
	discoveryDelay = 600 * time.Millisecond
	// rankDelay is the time by which each edge competes later than the one before it in the order of addresses. It is above a read
	// and a write of the store, so that the next one hears of a takeover.
	rankDelay = 150 * time.Millisecond
	// retryDelay is the time between attempts of the first candidate while the store fails.
	retryDelay = 400 * time.Millisecond
	// standBackTime is for how long an edge that could not reach the platform competes later than all others, and standBackDelay by
	// how much.
	standBackTime  = 15 * time.Second
	standBackDelay = 2 * time.Second
)

// election decides when an edge that does not hold the lease tries to acquire it. It makes no calls.
type election struct {
	// lease is the duration of the lease.
	lease time.Duration
	// due is when the first candidate competes.
	due time.Time
	// back is until when this edge competes later than all others.
	back time.Time
}

func newElection(lease time.Duration, now time.Time) election {
	return election{lease: lease, due: now.Add(discoveryDelay)}
}

// heard records a sign of a holder: its lease can't end before a whole duration has passed.
func (e *election) heard(now time.Time) { e.due = now.Add(e.lease) }

// released records that the holder has given the lease up, or that this edge held it last.
func (e *election) released(now time.Time) { e.due = now }

// standBack records that this edge can't reach the platform.
func (e *election) standBack(now time.Time) {
	e.back = now.Add(standBackTime)
	e.heard(now)
}

// failed records an attempt that the store did not answer. The later a candidate is in the order, the more seldom it tries.
func (e *election) failed(now time.Time, rank int) {
	e.due = now.Add(retryDelay * time.Duration(1+rank))
}

// wait returns the time until this edge competes, 0 or less for now. rank is the number of live edges before it in the order.
func (e *election) wait(now time.Time, rank int) time.Duration {
	wait := e.due.Sub(now) + time.Duration(rank)*rankDelay
	if now.Before(e.back) {
		wait += standBackDelay
	}
	return wait
}
