package retry

import (
	"math"
	"sync"
	"time"
)

// HedgeSettings of a Hedger. Zero fields take the defaults.
type HedgeSettings struct {
	// WasteRatio is the share of useful tokens that hedges may waste. Default 0.01.
	WasteRatio float64
	// Window is the time constant of the token counts. Default 60 s.
	Window time.Duration
	// ShortTokens is the largest prompt plus max_tokens of a request that may be hedged. Default 512.
	ShortTokens int
}

func (s HedgeSettings) withDefaults() HedgeSettings {
	if s.WasteRatio == 0 {
		s.WasteRatio = 0.01
	}
	if s.Window == 0 {
		s.Window = time.Minute
	}
	if s.ShortTokens == 0 {
		s.ShortTokens = 512
	}
	return s
}

// Hedge describes a request that has waited longer than usual for its first token.
type Hedge struct {
	// Allowed is the row's hedge column.
	Allowed    bool
	Idempotent bool
	// Sent is true once any byte of a response went to the caller.
	Sent bool
	// Tokens bounds the work of the second attempt: prompt plus max_tokens.
	Tokens int
	// Waited is the time since the first attempt started, After the class's usual time (p95) to the first token.
	Waited, After time.Duration
	// Deadline is the caller's deadline; the zero time means none.
	Deadline time.Time
	// Need is the usual time to complete such a request.
	Need time.Duration
}

// Hedger grants second attempts within a budget of wasted tokens. It is safe for concurrent use.
type Hedger struct {
	set HedgeSettings

	mu sync.Mutex
	// useful and wasted decay together, so that their ratio is that of recent work.
	useful, wasted decayed
	// reserved is the waste that running hedges can still cause.
	reserved float64
}

// NewHedger returns a Hedger without budget; completed work earns it.
func NewHedger(set HedgeSettings) *Hedger { return &Hedger{set: set.withDefaults()} }

// Allow reports whether a second attempt may start, and reserves its tokens until Settle.
func (h *Hedger) Allow(now time.Time, q Hedge) bool {
	if !q.Allowed || !q.Idempotent || q.Sent || q.Tokens <= 0 || q.Tokens > h.set.ShortTokens || q.Waited < q.After {
		return false
	}
	if !q.Deadline.IsZero() && now.Add(q.Need).After(q.Deadline) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.decay(now)
	if h.wasted.value+h.reserved+float64(q.Tokens) > h.set.WasteRatio*h.useful.value {
		return false
	}
	h.reserved += float64(q.Tokens)
	return true
}

// Settle ends a hedge that Allow reserved: wasted is what the losing attempt generated.
func (h *Hedger) Settle(now time.Time, reserved, wasted int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.decay(now)
	h.reserved = math.Max(0, h.reserved-float64(reserved))
	h.wasted.value += float64(wasted)
}

// OnUseful counts tokens of completed responses, which earn the budget.
func (h *Hedger) OnUseful(now time.Time, tokens int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.decay(now)
	h.useful.value += float64(tokens)
}

func (h *Hedger) decay(now time.Time) {
	h.useful.add(now, h.set.Window, 0)
	h.wasted.add(now, h.set.Window, 0)
}
