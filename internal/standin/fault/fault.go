// Package fault injects faults into a stand-in: errors, delays, lost responses and crashes. They are set by PUT /faults.
package fault

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Always is the Count of a fault that lasts until it is cleared.
const Always Count = -1

// Count is the number of further calls that a fault affects. In JSON it is a number, true for Always, or false for 0.
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

// Set is the JSON body of PUT /faults. It replaces all faults; those that are absent are cleared.
type Set struct {
	// DelayMs is the delay of every response, in milliseconds.
	DelayMs int `json:"delay_ms"`
	// Outage rejects calls with status 503 without executing them.
	Outage Count `json:"outage"`
	// LoseResponses executes calls and then closes the connection without a response. It affects writes of the
	// store, orders, and completions.
	LoseResponses Count `json:"lose_answers"`
	// StaleMs is the lag of reports and lists in addition to the configured one, in milliseconds.
	StaleMs int `json:"stale_ms"`
	// SlowFactor multiplies all processing times; 0 and 1 mean normal speed.
	SlowFactor float64 `json:"slow_factor"`
	// Crash aborts streams and watches in progress, and closes the connection of every new call until it is cleared.
	Crash Count `json:"crash"`
}

// Injector injects the current faults of one stand-in. The zero value injects none. It is safe for concurrent use.
type Injector struct {
	mu  sync.Mutex
	set Set
	// crashed is closed at the next crash; nil if a new channel has to be made.
	crashed chan struct{}
}

// Put replaces all faults.
func (i *Injector) Put(set Set) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.set = set
	if i.crashed == nil {
		i.crashed = make(chan struct{})
	}
	if set.Crash != 0 {
		close(i.crashed)
		i.crashed = nil
	}
}

// Get returns the current faults.
func (i *Injector) Get() Set {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.set
}

// Crashed returns a channel that is closed at the next crash.
func (i *Injector) Crashed() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.crashed == nil {
		i.crashed = make(chan struct{})
	}
	return i.crashed
}

// SlowFactor returns the factor of processing times: the one that is set if it is positive, otherwise 1.
func (i *Injector) SlowFactor() float64 {
	if f := i.Get().SlowFactor; f > 0 {
		return f
	}
	return 1
}

// Stale returns the additional lag of reports and lists.
func (i *Injector) Stale() time.Duration { return time.Duration(i.Get().StaleMs) * time.Millisecond }

// TakeLostResponse reports whether the response to an executed call must be lost, and counts that call.
func (i *Injector) TakeLostResponse() bool {
	return i.take(func(s *Set) *Count { return &s.LoseResponses })
}

// take reports whether a fault affects the current call, and decrements its count.
func (i *Injector) take(field func(*Set) *Count) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	c := field(&i.set)
	if *c == 0 {
		return false
	}
	if *c > 0 {
		*c--
	}
	return true
}

// Wrap returns a handler that serves GET and PUT /faults, and applies Crash, DelayMs and Outage to every other call.
func (i *Injector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/faults" {
			i.serveFaults(w, r)
			return
		}
		if i.Get().Crash != 0 {
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
		if !i.delay(r) {
			return
		}
		if i.take(func(s *Set) *Count { return &s.Outage }) {
			http.Error(w, `{"error":"outage"}`, http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// delay waits for DelayMs. It returns false if the request was cancelled in the meantime.
func (i *Injector) delay(r *http.Request) bool {
	wait := time.Duration(i.Get().DelayMs) * time.Millisecond
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

func (i *Injector) serveFaults(w http.ResponseWriter, r *http.Request) {
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
		i.Put(set)
	default:
		http.Error(w, "faults: GET or PUT", http.StatusMethodNotAllowed)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(i.Get())
}

// AbortResponse aborts the handler that calls it, which closes the connection without a response.
func AbortResponse() { panic(http.ErrAbortHandler) }
