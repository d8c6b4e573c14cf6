package entry

import (
	"strings"
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/request/attempt"
	"github.com/dragonflypin/dragonflypin/internal/request/outcome"
)

// maxExplained is the number of latest requests that an entry can explain.
const maxExplained = 4096

// Explanation describes how one request was processed and why. It contains no request content.
type Explanation struct {
	RequestID    string    `json:"request_id"`
	Entry        string    `json:"entry"`
	Accepted     time.Time `json:"accepted"`
	Workspace    string    `json:"workspace,omitempty"`
	Owner        string    `json:"owner,omitempty"`
	Class        string    `json:"class,omitempty"`
	TableVersion uint64    `json:"table_version,omitempty"`
	Method       string    `json:"method"`
	Service      string    `json:"service,omitempty"`
	Model        string    `json:"model,omitempty"`
	// QueueMs is the time from acceptance to the start of the last attempt, or to the end when none started.
	QueueMs float64 `json:"queue_ms"`
	// FirstByteMs is the time from acceptance to the first byte of the response, or 0 if there was none.
	FirstByteMs float64 `json:"first_byte_ms,omitempty"`
	TotalMs     float64 `json:"total_ms"`
	// Upstream is the sidecar that ran the last attempt, Reason why it was chosen.
	Upstream         string          `json:"upstream,omitempty"`
	Reason           string          `json:"reason,omitempty"`
	Attempts         []Attempt       `json:"attempts,omitempty"`
	Outcome          outcome.Outcome `json:"outcome"`
	Code             outcome.Code    `json:"code,omitempty"`
	Status           int             `json:"status"`
	PromptTokens     uint32          `json:"prompt_tokens,omitempty"`
	CompletionTokens uint32          `json:"completion_tokens,omitempty"`
	// CallerGone reports that the caller closed its connection before the response ended.
	CallerGone bool `json:"caller_gone,omitempty"`
}

// Attempt is one round of asks for a request, with its result.
type Attempt struct {
	// AskedMs and StartedMs are times since acceptance; StartedMs is 0 when nothing started.
	AskedMs   float64  `json:"asked_ms"`
	StartedMs float64  `json:"started_ms,omitempty"`
	Asked     []string `json:"asked"`
	Reason    string   `json:"reason"`
	// Committed reports that the single ask carried the body.
	Committed bool     `json:"committed,omitempty"`
	Started   string   `json:"started,omitempty"`
	End       string   `json:"end"`
	Refusals  []string `json:"refusals,omitempty"`
	Detail    string   `json:"detail,omitempty"`
	Retry     string   `json:"retry,omitempty"`
}

var refuseReasonNames = map[wire.RefuseReason]string{
	wire.RefuseDraining: "draining", wire.RefuseSaturated: "saturated", wire.RefuseDeadline: "deadline",
	wire.RefuseUnhealthy: "unhealthy", wire.RefuseModel: "model", wire.RefuseInvalid: "invalid", wire.RefuseCancelled: "cancelled",
}

// addAttempts appends the attempts of a trace and sets the fields that describe the last one.
func (x *Explanation) addAttempts(trace *attempt.Trace) {
	for _, round := range trace.Rounds {
		a := Attempt{
			AskedMs: x.sinceAccepted(round.Asked), Asked: round.Targets, Reason: round.Reason, Committed: round.Committed,
			End: round.Result.End.String(), Detail: round.Result.Detail,
		}
		if !round.Result.Started.IsZero() {
			a.StartedMs, a.Started = x.sinceAccepted(round.Result.Started), round.Result.Upstream
			x.Upstream, x.Reason, x.QueueMs = a.Started, round.Reason, a.StartedMs
		}
		if !round.Result.FirstByte.IsZero() {
			x.FirstByteMs = x.sinceAccepted(round.Result.FirstByte)
		}
		for _, refusal := range round.Result.Refusals {
			reason := refuseReasonNames[refusal.Reason]
			if refusal.Unreachable {
				reason = "unreachable"
			}
			a.Refusals = append(a.Refusals, refusal.Upstream+": "+reason)
		}
		if round.Result.Verdict != 0 {
			a.Retry = round.Result.Verdict.String()
		}
		x.Attempts = append(x.Attempts, a)
	}
}

// sinceAccepted returns the milliseconds from acceptance to t.
func (x *Explanation) sinceAccepted(t time.Time) float64 {
	return float64(t.Sub(x.Accepted).Microseconds()) / 1000
}

// ring is a ring buffer of the latest explanations, indexed by request ID.
type ring struct {
	mu   sync.Mutex
	list [maxExplained]*Explanation
	next int
	byID map[string]*Explanation
}

func newRing() *ring { return &ring{byID: make(map[string]*Explanation, maxExplained)} }

func (r *ring) add(x *Explanation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.list[r.next]; old != nil {
		delete(r.byID, old.RequestID)
	}
	r.list[r.next] = x
	r.next = (r.next + 1) % maxExplained
	r.byID[x.RequestID] = x
}

func (r *ring) get(id string) (Explanation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.byID[id]
	if x == nil {
		return Explanation{}, false
	}
	return *x, true
}

// entryOf returns the entry instance that a request ID has as its prefix.
func entryOf(requestID string) (string, bool) {
	i := strings.LastIndexByte(requestID, '.')
	if i <= 0 {
		return "", false
	}
	return requestID[:i], true
}
