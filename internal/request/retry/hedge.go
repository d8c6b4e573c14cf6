package retry

import (
	"math"
	"sync"
	"time"
)

// HedgeSettings configures a Hedger. Zero fields take the defaults.
type HedgeSettings struct {
	// WasteRatio is the maximum ratio of tokens wasted by hedges to useful tokens. Default 0.01.
	WasteRatio float64
	// Window is the time constant of the exponential decay of the token counts. Default 60 s.
	Window time.Duration
	// MaxTokens is the maximum of prompt plus max_tokens of a request that may be hedged. Default 512.
	MaxTokens int
}

func (s HedgeSettings) withDefaults() HedgeSettings {
	if s.WasteRatio == 0 {
		s.WasteRatio = 0.01
	}
	if s.Window == 0 {
		s.Window = time.Minute
	}
	if s.MaxTokens == 0 {
		s.MaxTokens = 512
	}
	return s
}

// HedgeRequest describes a request without a first token that a second attempt is considered for.
type HedgeRequest struct {
	// Allowed is the hedge column of the request's table row.
	Allowed    bool
	Idempotent bool
	// ResponseStarted is true once any byte of a response was sent to the caller.
	ResponseStarted bool
	// Tokens is the maximum number of tokens of the second attempt: prompt plus max_tokens.
	Tokens int
	// Waited is the time since the first attempt started. HedgeDelay is the minimum of Waited for a hedge: the class's p95
	// time to the first token.
	Waited, HedgeDelay time.Duration
	// Deadline is the caller's deadline; the zero time means none.
	Deadline time.Time
	// CompletionTime is the typical time to complete such a request.
	CompletionTime time.Duration
}

// Hedger decides about second attempts within a budget of wasted tokens. It is safe for concurrent use.
type Hedger struct {
	settings HedgeSettings

	mu sync.Mutex
	// useful and wasted decay at the same rate, so that their ratio is that of recent requests.
	useful, wasted decayingSum
	// reserved is the number of tokens that running hedges can still waste.
	reserved float64
}

// NewHedger returns a Hedger with an empty budget, which completed responses increase.
func NewHedger(settings HedgeSettings) *Hedger { return &Hedger{settings: settings.withDefaults()} }

// Allow reports whether a second attempt may start, and reserves its tokens until Settle.
func (h *Hedger) Allow(now time.Time, q HedgeRequest) bool {
	if !q.Allowed || !q.Idempotent || q.ResponseStarted || q.Tokens <= 0 ||
		q.Tokens > h.settings.MaxTokens || q.Waited < q.HedgeDelay {
		return false
	}
	if !q.Deadline.IsZero() && now.Add(q.CompletionTime).After(q.Deadline) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.decay(now)
	if h.wasted.value+h.reserved+float64(q.Tokens) > h.settings.WasteRatio*h.useful.value {
		return false
	}
	h.reserved += float64(q.Tokens)
	return true
}

// Settle ends a hedge. It releases the tokens that Allow reserved and counts as wasted those that the losing attempt
// generated.
func (h *Hedger) Settle(now time.Time, reserved, wasted int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.decay(now)
	h.reserved = math.Max(0, h.reserved-float64(reserved))
	h.wasted.value += float64(wasted)
}

// OnUsefulTokens counts tokens of completed responses, which increase the budget.
func (h *Hedger) OnUsefulTokens(now time.Time, tokens int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.decay(now)
	h.useful.value += float64(tokens)
}

func (h *Hedger) decay(now time.Time) {
	h.useful.add(now, h.settings.Window, 0)
	h.wasted.add(now, h.settings.Window, 0)
}
