// Package fault holds the faults that are injected into a stand-in by PUT /faults.
package fault

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Always is the Count of a fault that stays until it is cleared.
const Always Count = -1

// Count is the number of calls that a fault still affects. In JSON it is a number, or true for Always, or false for 0.
type Count int

// UnmarshalJSON implements json.Unmarshaler.
func (c *Count) UnmarshalJSON(data []byte) error {
	switch text := string(data); text {
	case "true":
		*c = Always
	case "false", "null":
		*c = 0
	default:
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return fmt.Errorf("%s must be true, false or a number of calls", text)
		}
		*c = Count(n)
	}
	return nil
}

// MarshalJSON implements json.Marshaler.
func (c Count) MarshalJSON() ([]byte, error) {
	if c < 0 {
		return []byte("true"), nil
	}
	return []byte(strconv.Itoa(int(c))), nil
}

// Set is the JSON body of PUT /faults. It replaces the faults set before; absent fields are cleared.
type Set struct {
	// DelayMs delays every answer, in milliseconds.
	DelayMs int `json:"delay_ms"`
	// Outage answers calls with 503 without applying them.
	Outage Count `json:"outage"`
	// LoseAnswers applies writes and then closes the connection instead of answering.
	LoseAnswers Count `json:"lose_answers"`
	// StaleMs is the age of reports and lists, in milliseconds, beyond the configured lag.
	StaleMs int `json:"stale_ms"`
	// SlowFactor multiplies the time of every unit of work; 0 and 1 mean normal speed.
	SlowFactor float64 `json:"slow_factor"`
	// Crash aborts every connection and refuses new ones until it is cleared.
	Crash Count `json:"crash"`
}

// Box holds the current faults of one stand-in. The zero value has none. It is safe for concurrent use.
type Box struct {
	mu      sync.Mutex
	set     Set
	crashed chan struct{}
}

// Put replaces the faults.
func (b *Box) Put(set Set) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set = set
	if b.crashed == nil {
		b.crashed = make(chan struct{})
	}
	if set.Crash != 0 {
		close(b.crashed)
		b.crashed = nil
	}
}

// Get returns the faults.
func (b *Box) Get() Set {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.set
}

// Crashed returns a channel that is closed at the next crash.
func (b *Box) Crashed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.crashed == nil {
		b.crashed = make(chan struct{})
	}
	return b.crashed
}

// SlowFactor returns the factor to apply to work, at least 1 unless a smaller positive one is set.
func (b *Box) SlowFactor() float64 {
	if f := b.Get().SlowFactor; f > 0 {
		return f
	}
	return 1
}

// Stale returns the additional age of reports.
func (b *Box) Stale() time.Duration { return time.Duration(b.Get().StaleMs) * time.Millisecond }

// TakeLoss tells whether the answer to an applied write is to be lost, and counts it.
func (b *Box) TakeLoss() bool { return b.take(func(s *Set) *Count { return &s.LoseAnswers }) }

func (b *Box) take(field func(*Set) *Count) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := field(&b.set)
	if *c == 0 {
		return false
	}
	if *c > 0 {
		*c--
	}
	return true
}

// Wrap serves GET and PUT /faults and applies crash, delay and outage to every other call.
func (b *Box) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/faults" {
			b.serveFaults(w, r)
			return
		}
		if b.Get().Crash != 0 {
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
		if !b.delay(r) {
			return
		}
		if b.take(func(s *Set) *Count { return &s.Outage }) {
			http.Error(w, `{"error":"outage"}`, http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (b *Box) delay(r *http.Request) bool {
	wait := time.Duration(b.Get().DelayMs) * time.Millisecond
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (b *Box) serveFaults(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
	case http.MethodPut:
		var set Set
		dec := json.NewDecoder(r.Body)
		dec.DisallowUnknownFields()
		if err := dec.Decode(&set); err != nil {
			http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
			return
		}
		b.Put(set)
	default:
		http.Error(w, "faults: GET or PUT", http.StatusMethodNotAllowed)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(b.Get())
}

// LoseAnswer closes the connection without an answer.
func LoseAnswer() { panic(http.ErrAbortHandler) }
