// Package outcome defines the outcomes and error codes of requests, and error responses in the OpenAI format.
package outcome

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Outcome is what is known about the execution of a request.
type Outcome string

// Outcomes, the values of the Dragonflypin-Outcome header.
const (
	// Completed means that the caller received the whole response.
	Completed Outcome = "completed"
	// NotRun means that no upstream started the request. It is reported only when that is certain.
	NotRun Outcome = "not_run"
	// Interrupted means that an upstream started the request and the response was truncated.
	Interrupted Outcome = "interrupted"
	// Unknown means that the request may have run. A non-idempotent call is then never retried.
	Unknown Outcome = "unknown"
)

// Names of the headers of every response.
const (
	HeaderRequestID = "Dragonflypin-Request-Id"
	HeaderOutcome   = "Dragonflypin-Outcome"
	HeaderClass     = "Dragonflypin-Class"
)

// Code is the stable, machine-readable reason of an error response.
type Code string

// Codes of error responses.
const (
	CodeInvalidRequest    Code = "invalid_request"
	CodeBodyTooLarge      Code = "body_too_large"
	CodeInvalidKey        Code = "invalid_key"
	CodeClassForbidden    Code = "class_forbidden"
	CodeModelNotFound     Code = "model_not_found"
	CodeServiceNotFound   Code = "service_not_found"
	CodeRateLimited       Code = "rate_limited"
	CodeTokenLimited      Code = "token_limited"
	CodeConcurrency       Code = "concurrency_limited"
	CodeSaturated         Code = "saturated"
	CodeDeadline          Code = "deadline_unreachable"
	CodeNoUpstream        Code = "no_upstream"
	CodeDraining          Code = "draining"
	CodeClaimUnavailable  Code = "claim_unavailable"
	CodeIdempotencyReuse  Code = "idempotency_key_reused"
	CodeIdempotencyActive Code = "idempotency_key_active"
	CodeIdempotencyNeeded Code = "idempotency_key_required"
	CodeUpstreamFailed    Code = "upstream_failed"
	CodeTimeout           Code = "timeout"
	CodeInternal          Code = "internal"
)

// Error is an error response. Handlers return it; it is never used with panic.
type Error struct {
	// Status is the HTTP status code.
	Status int
	// Code is the stable reason.
	Code Code
	// Message is one sentence for the caller.
	Message string
	// Outcome is what is known about the execution.
	Outcome Outcome
	// RetryAfter is sent in whole seconds, rounded up, when positive.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    Code    `json:"code"`
	Outcome Outcome `json:"outcome"`
}

// JSON returns the error in the OpenAI error format.
func (e *Error) JSON() []byte {
	body, err := json.Marshal(errorBody{errorDetail{Message: e.Message, Type: errorType(e.Status), Code: e.Code, Outcome: e.Outcome}})
	if err != nil {
		panic(err) // strings always marshal
	}
	return body
}

// Write writes the error as an HTTP response.
func (e *Error) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(e.Outcome))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(RetryAfterSeconds(e.RetryAfter)))
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(e.JSON())
}

// RetryAfterSeconds rounds up to whole seconds, the resolution of the Retry-After header.
func RetryAfterSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}
