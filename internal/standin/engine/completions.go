package engine

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// Request headers.
const (
	// HeaderRequestID identifies the stream in pause and resume calls.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority is the priority of a waiting stream, lowest number first. It overrides the field priority of the body.
	HeaderPriority = "X-Request-Priority"
)

// Completion length without max_tokens: uniformly distributed from minCompletionTokens to
// minCompletionTokens+completionTokensRange-1 tokens. One completion in longCompletionEvery is longCompletionFactor times as
// long.
const (
	minCompletionTokens   = 96
	completionTokensRange = 416
	longCompletionEvery   = 50
	longCompletionFactor  = 8
)

// maxBodyBytes bounds a request body.
const maxBodyBytes = 8 << 20

var filler = strings.Fields("tile rack letter board lavender sachet bud harvest lot order stock blank score word page shop")

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func (m message) text() string {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text
	}
	var parts []struct {
		Text string `json:"text"`
	}
	_ = json.Unmarshal(m.Content, &parts)
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Text)
	}
	return b.String()
}

type completionRequest struct {
	Model               string    `json:"model"`
	Messages            []message `json:"messages"`
	Prompt              string    `json:"prompt"`
	MaxTokens           int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
	Priority            int       `json:"priority"`
	Stream              bool      `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	chat bool
}

// userPrompt returns the last user message of a chat request, or the prompt of a text completion request. The completion
// begins with its hash.
func (q *completionRequest) userPrompt() string {
	if !q.chat {
		return q.Prompt
	}
	for _, m := range slices.Backward(q.Messages) {
		if m.Role == "user" {
			return m.text()
		}
	}
	return ""
}

func (q *completionRequest) words() []string {
	if !q.chat {
		return strings.Fields(q.Prompt)
	}
	var words []string
	for _, m := range q.Messages {
		words = append(words, strings.Fields(m.text())...)
	}
	return words
}

// CompletionPrefix returns the first word of the completion for a user prompt (the last user message, or prompt).
func CompletionPrefix(userPrompt string) string {
	sum := sha256.Sum256([]byte(userPrompt))
	return hex.EncodeToString(sum[:8])
}

// CompletionTokens returns the length of the completion for a user prompt, in tokens; maxTokens 0 means no limit.
func CompletionTokens(userPrompt string, maxTokens int) int {
	sum := sha256.Sum256([]byte(userPrompt))
	tokens := minCompletionTokens + int(binary.BigEndian.Uint32(sum[8:12])%completionTokensRange)
	if binary.BigEndian.Uint32(sum[12:16])%longCompletionEvery == 0 {
		tokens *= longCompletionFactor
	}
	if maxTokens > 0 && tokens > maxTokens {
		return maxTokens
	}
	return tokens
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) { e.serve(w, r, true) }

func (e *Engine) serveCompletions(w http.ResponseWriter, r *http.Request) { e.serve(w, r, false) }

func (e *Engine) serve(w http.ResponseWriter, r *http.Request, chat bool) {
	q, status, err := e.parse(r, chat)
	if err != nil {
		writeError(w, status, err.Error())
		return
	}
	id := r.Header.Get(HeaderRequestID)
	if id == "" {
		id = uuid.NewString()
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go func() {
		select {
		case <-e.faults.Crashed():
			cancel()
		case <-ctx.Done():
		}
	}()
	s := e.startStream(id)
	resp := newResponse(w, q, id, len(q.words()))
	err = e.generate(ctx, s, q, resp)
	lost := err == nil && e.faults.TakeLostResponse()
	e.endStream(s, err)
	if err != nil || lost {
		panic(http.ErrAbortHandler) // a crash, a lost response, or a connection that the caller closed
	}
	resp.finish()
}

func (e *Engine) parse(r *http.Request, chat bool) (*completionRequest, int, error) {
	q := &completionRequest{chat: chat}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	if len(body) > maxBodyBytes {
		return nil, http.StatusRequestEntityTooLarge, errors.New("body exceeds " + strconv.Itoa(maxBodyBytes) + " bytes")
	}
	if err := json.Unmarshal(body, q); err != nil {
		return nil, http.StatusBadRequest, errors.New("body is not a valid request")
	}
	if q.MaxTokens == 0 {
		q.MaxTokens = q.MaxCompletionTokens
	}
	if q.MaxTokens < 0 || chat && len(q.Messages) == 0 {
		return nil, http.StatusBadRequest, errors.New("messages must not be empty and max_tokens not negative")
	}
	if p := r.Header.Get(HeaderPriority); p != "" {
		if q.Priority, err = strconv.Atoi(p); err != nil {
			return nil, http.StatusBadRequest, errors.New(HeaderPriority + " must be a number")
		}
	}
	if !e.hasModel(q.Model) {
		return nil, http.StatusNotFound, errors.New("the model " + strconv.Quote(q.Model) + " does not exist")
	}
	return q, 0, nil
}

func (e *Engine) hasModel(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.models, model)
}

func (e *Engine) generate(ctx context.Context, s *stream, q *completionRequest, resp *response) error {
	if err := e.batch.acquire(ctx, q.Priority); err != nil {
		return err
	}
	defer func() {
		if s.hasSlot {
			e.batch.release()
		}
		e.recordLoad()
	}()
	s.hasSlot = true
	e.recordLoad()
	words := q.words()
	cached := e.cache.store(words)
	resp.usage.Details.CachedTokens = cached
	if err := sleepUntil(ctx, time.Now().Add(e.prefillTime(len(words)-cached))); err != nil {
		return err
	}
	total := CompletionTokens(q.userPrompt(), q.MaxTokens)
	resp.truncated = total == q.MaxTokens
	next := time.Now()
	for i := range total {
		paused, err := e.awaitResume(ctx, s, q.Priority)
		if err != nil {
			return err
		}
		if paused {
			next = time.Now()
		}
		next = next.Add(e.decodeInterval())
		if err := sleepUntil(ctx, next); err != nil {
			return err
		}
		e.countToken(s)
		if err := resp.addToken(tokenText(q, i)); err != nil {
			return err
		}
	}
	return nil
}

func tokenText(q *completionRequest, i int) string {
	if i == 0 {
		return CompletionPrefix(q.userPrompt())
	}
	return " " + filler[i%len(filler)]
}

// awaitResume waits while the stream is paused, and reports whether it was. A paused stream releases its slot; its prompt stays
// in the cache.
func (e *Engine) awaitResume(ctx context.Context, s *stream, priority int) (bool, error) {
	resumed := s.resumeChannel()
	if resumed == nil {
		return false, nil
	}
	e.batch.release()
	s.hasSlot = false
	e.recordLoad()
	select {
	case <-resumed:
	case <-ctx.Done():
		return true, ctx.Err()
	}
	if err := e.batch.acquire(ctx, priority); err != nil {
		return true, err
	}
	s.hasSlot = true
	e.recordLoad()
	return true, nil
}

func sleepUntil(ctx context.Context, at time.Time) error {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, errorResponse{errorDetail{Message: text, Type: "invalid_request_error"}})
}
