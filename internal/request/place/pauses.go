package place

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/replicas"
)

const (
	// MaxPause bounds the pause that a replica may ask for. A wrong value would keep it from work for long.
	MaxPause = 10 * time.Minute
	// maxPauses bounds the replicas that pause. It is above the 7,600 replicas of the target scale.
	maxPauses = 8192
	// returnSpacing is the time between two callers that return after a pause, and maxReturnSpread the time over which all of
	// them are spread.
	returnSpacing   = 20 * time.Millisecond
	maxReturnSpread = 2 * time.Second
)

// Pauses has the replicas that have asked this entry for a pause. It answers overload of which only the replica knows: it refuses
// and says for how long it wants nothing. It is safe for concurrent use.
type Pauses struct {
	active atomic.Int32

	mu       sync.Mutex
	replicas map[Key]pause
	// returning is the number of callers that were told to return after a pause, by service.
	returning map[string]int
}

type pause struct {
	startUnixMs int64
	until       time.Time
}

// NewPauses returns Pauses without any.
func NewPauses() *Pauses {
	return &Pauses{replicas: map[Key]pause{}, returning: map[string]int{}}
}

// Apply records that a replica wants no request for the time, and reports whether its pause ends later than before.
func (p *Pauses) Apply(replica *replicas.Replica, duration time.Duration, now time.Time) bool {
	until := now.Add(min(duration, MaxPause))
	p.mu.Lock()
	defer p.mu.Unlock()
	key := KeyOf(replica.ID)
	old, ok := p.replicas[key]
	if ok && replicas.SameStart(old.startUnixMs, replica.StartUnixMs) && !until.After(old.until) {
		return false
	}
	if !ok && len(p.replicas) >= maxPauses {
		return false
	}
	p.replicas[key] = pause{replica.StartUnixMs, until}
	p.active.Store(int32(len(p.replicas)))
	return true
}

// Wait returns how long the replica still wants no request, or 0.
func (p *Pauses) Wait(m member, now time.Time) time.Duration {
	if p.active.Load() == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if paused, ok := p.replicas[m.key]; ok && replicas.SameStart(paused.startUnixMs, m.StartUnixMs) {
		return max(0, paused.until.Sub(now))
	}
	return 0
}

// Active returns the number of replicas that pause.
func (p *Pauses) Active() int { return int(p.active.Load()) }

// Expire deletes pauses that have ended.
func (p *Pauses) Expire(now time.Time) {
	if p.active.Load() == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, paused := range p.replicas {
		if !paused.until.After(now) {
			delete(p.replicas, key)
		}
	}
	p.active.Store(int32(len(p.replicas)))
	if len(p.replicas) == 0 {
		clear(p.returning)
	}
}

// returnDelay returns how long after the end of a pause the next caller of a service should return, so that they come one after
// the other.
func (p *Pauses) returnDelay(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.returning[service]
	p.returning[service] = n + 1
	return time.Duration(n) * returnSpacing % maxReturnSpread
}
