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

// Headers of a request.
const (
	// HeaderRequestID names the stream for pause and resume.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority orders waiting streams, lowest number first; it overrides the body's field priority.
	HeaderPriority = "X-Request-Priority"
)

// Answer lengths without max_tokens: uniform between shortestAnswer and shortestAnswer+answerSpread-1 tokens,
// and one answer in longAnswerEvery is longAnswerFactor times as long.
const (
	shortestAnswer   = 96
	answerSpread     = 416
	longAnswerEvery  = 50
	longAnswerFactor = 8
)

// maxBody bounds a request body, in bytes.
const maxBody = 8 << 20

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

// subject is the text that the answer's first word is the hash of.
func (q *completionRequest) subject() string {
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

// AnswerPrefix returns the word that the answer to a last user message or prompt begins with.
func AnswerPrefix(subject string) string {
	sum := sha256.Sum256([]byte(subject))
	return hex.EncodeToString(sum[:8])
}

// AnswerTokens returns the length of the answer in tokens; maxTokens 0 means no bound.
func AnswerTokens(subject string, maxTokens int) int {
	sum := sha256.Sum256([]byte(subject))
	tokens := shortestAnswer + int(binary.BigEndian.Uint32(sum[8:12])%answerSpread)
	if binary.BigEndian.Uint32(sum[12:16])%longAnswerEvery == 0 {
		tokens *= longAnswerFactor
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
	s := e.open(id)
	a := newAnswer(w, q, id, len(q.words()))
	err = e.generate(ctx, s, q, a)
	lost := err == nil && e.faults.TakeLoss()
	e.close(s, err)
	if err != nil || lost {
		panic(http.ErrAbortHandler) // a crash, a lost answer, or a connection that the caller has closed already
	}
	a.finish()
}

func (e *Engine) parse(r *http.Request, chat bool) (*completionRequest, int, error) {
	q := &completionRequest{chat: chat}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	if len(body) > maxBody {
		return nil, http.StatusRequestEntityTooLarge, errors.New("body exceeds " + strconv.Itoa(maxBody) + " bytes")
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

func (e *Engine) generate(ctx context.Context, s *stream, q *completionRequest, a *answer) error {
	if err := e.batch.acquire(ctx, q.Priority); err != nil {
		return err
	}
	defer func() {
		if s.held {
			e.batch.release()
		}
		e.report()
	}()
	s.held = true
	e.report()
	words := q.words()
	cached := e.cache.store(words)
	a.usage.Details.CachedTokens = cached
	if err := sleepUntil(ctx, time.Now().Add(e.prefill(len(words)-cached))); err != nil {
		return err
	}
	total := AnswerTokens(q.subject(), q.MaxTokens)
	a.length = total == q.MaxTokens
	next := time.Now()
	for i := range total {
		paused, err := e.awaitResume(ctx, s, q.Priority)
		if err != nil {
			return err
		}
		if paused {
			next = time.Now()
		}
		next = next.Add(e.step())
		if err := sleepUntil(ctx, next); err != nil {
			return err
		}
		e.count(s)
		if err := a.token(word(q, i)); err != nil {
			return err
		}
	}
	return nil
}

func word(q *completionRequest, i int) string {
	if i == 0 {
		return AnswerPrefix(q.subject())
	}
	return " " + filler[i%len(filler)]
}

// awaitResume gives the place in the batch back while the stream is paused; its cache entry is kept.
func (e *Engine) awaitResume(ctx context.Context, s *stream, priority int) (bool, error) {
	resumed := s.waitChannel()
	if resumed == nil {
		return false, nil
	}
	e.batch.release()
	s.held = false
	e.report()
	select {
	case <-resumed:
	case <-ctx.Done():
		return true, ctx.Err()
	}
	if err := e.batch.acquire(ctx, priority); err != nil {
		return true, err
	}
	s.held = true
	e.report()
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

type errorAnswer struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, errorAnswer{errorDetail{Message: text, Type: "invalid_request_error"}})
}
