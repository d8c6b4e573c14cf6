package load

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/request/outcome"
)

// maxResponseBytes is the maximum size of a response that is not streamed and of one line of a stream.
const maxResponseBytes = 16 << 20

// Outcomes of requests for which the router reported none.
const (
	outcomeNotSent = "not_sent"
	outcomeNone    = "no_outcome"
)

// result is the result of one request.
type result struct {
	classIndex int
	outcome    string
	code       string
	// late is the delay between the scheduled and the actual send time.
	late time.Duration
	// first and last are the times from the scheduled send time to the first and last token.
	first, last time.Duration
	gaps        []time.Duration
	tokens      int
	// wrong describes the error in the content of a completed response; it is empty if there is none.
	wrong string
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type modelRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages,omitempty"`
	Prompt    string        `json:"prompt,omitempty"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream,omitempty"`
}

type orderRequest struct {
	Item string `json:"item"`
}

// responseBody holds the fields of a response or stream event that are checked.
type responseBody struct {
	Choices []struct {
		Message struct{ Content string } `json:"message"`
		Delta   struct{ Content string } `json:"delta"`
		Text    string                   `json:"text"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Error *struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
	OrderID        string `json:"order_id"`
	IdempotencyKey string `json:"idempotency_key"`
}

func (b *responseBody) text() string {
	if len(b.Choices) == 0 {
		return ""
	}
	c := b.Choices[0]
	return c.Message.Content + c.Delta.Content + c.Text
}

func (r *request) build(ctx context.Context, target, key, idempotencyKey string) (*http.Request, error) {
	path, body := "/v1/chat/completions", any(nil)
	switch r.class.Kind {
	case KindChat:
		body = modelRequest{Model: r.class.Model, Messages: []chatMessage{{"user", r.prompt}}, MaxTokens: r.maxTokens, Stream: !r.class.Plain}
	case KindCompletion:
		path = "/v1/completions"
		body = modelRequest{Model: r.class.Model, Prompt: r.prompt, MaxTokens: r.maxTokens, Stream: !r.class.Plain}
	default:
		path, body = r.class.Path, orderRequest{Item: r.prompt}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimRight(target, "/")+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	out.Header.Set("Authorization", "Bearer "+key)
	out.Header.Set("Content-Type", "application/json")
	out.Header.Set(outcome.HeaderClass, r.class.Class)
	if r.class.Kind == KindOrder {
		out.Header.Set("Idempotency-Key", idempotencyKey)
	}
	return out, nil
}

// send sends one request and reads its response; scheduled is the time at which it should have been sent.
func (g *generator) send(ctx context.Context, r *request, n int, scheduled time.Time) result {
	res := result{classIndex: r.classIndex, outcome: outcomeNone, late: time.Since(scheduled)}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(g.workload.Timeout))
	defer cancel()
	idempotencyKey := fmt.Sprintf("load-%s-%d", g.runID, n)
	call, err := r.build(ctx, g.targets[n%len(g.targets)], g.keys[r.workspace], idempotencyKey)
	if err != nil {
		res.code = "invalid_target"
		return res
	}
	resp, err := g.client.Do(call)
	if err != nil {
		res.code = transportCode(err)
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	if value := resp.Header.Get(outcome.HeaderOutcome); value != "" {
		res.outcome = value
	}
	streamed := strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	switch {
	case resp.StatusCode != http.StatusOK:
		res.readError(resp.Body)
	case streamed:
		res.readStream(resp, r, scheduled)
	default:
		res.readPlain(resp, r, scheduled, idempotencyKey)
	}
	return res
}

func transportCode(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "client_timeout"
	}
	return "connection_failed"
}

func (res *result) readError(body io.Reader) {
	var parsed responseBody
	data, _ := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	res.code = "unreadable_error"
	if json.Unmarshal(data, &parsed) == nil && parsed.Error != nil {
		res.code = parsed.Error.Code
	}
}

func (res *result) readPlain(resp *http.Response, r *request, scheduled time.Time, idempotencyKey string) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	res.first = time.Since(scheduled)
	res.last = res.first
	var parsed responseBody
	if err != nil || json.Unmarshal(data, &parsed) != nil {
		res.markTruncated("cut_answer")
		return
	}
	if r.class.Kind == KindOrder {
		if parsed.OrderID == "" || parsed.IdempotencyKey != idempotencyKey {
			res.wrong = fmt.Sprintf("order response %q has idempotency key %q", parsed.OrderID, parsed.IdempotencyKey)
		}
		return
	}
	res.tokens = len(strings.Fields(parsed.text()))
	res.check(r, parsed.text(), usageOf(&parsed))
}

func (res *result) readStream(resp *http.Response, r *request, scheduled time.Time) {
	var text strings.Builder
	usage, done := -1, false
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 4096), maxResponseBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var parsed responseBody
		if json.Unmarshal([]byte(data), &parsed) != nil {
			res.markTruncated("unreadable_event")
			return
		}
		if parsed.Error != nil {
			res.outcome, res.code = parsed.Error.Outcome, parsed.Error.Code
			return
		}
		if parsed.Usage != nil {
			usage = parsed.Usage.CompletionTokens
		}
		if piece := parsed.text(); piece != "" {
			text.WriteString(piece)
			res.addToken(time.Since(scheduled))
		}
	}
	if value := resp.Trailer.Get(outcome.HeaderOutcome); value != "" {
		res.outcome = value
	}
	if lines.Err() != nil || !done {
		res.markTruncated("cut_stream")
		return
	}
	if res.outcome == outcomeNone {
		res.outcome = string(outcome.Completed)
	}
	res.check(r, text.String(), usage)
}

// markTruncated records a response that ended early, even if its header reported success.
func (res *result) markTruncated(code string) {
	res.code = code
	if res.outcome == string(outcome.Completed) || res.outcome == outcomeNone {
		res.outcome = string(outcome.Interrupted)
	}
}

func (res *result) addToken(at time.Duration) {
	if res.tokens == 0 {
		res.first = at
	} else {
		res.gaps = append(res.gaps, at-res.last)
	}
	res.last = at
	res.tokens++
}

func usageOf(parsed *responseBody) int {
	if parsed.Usage == nil {
		return -1
	}
	return parsed.Usage.CompletionTokens
}

// check compares the content with the response of an engine stand-in to the prompt, which begins with a hash of the
// prompt. usage is -1 if the response has none.
func (res *result) check(r *request, text string, usage int) {
	words := strings.Fields(text)
	sum := sha256.Sum256([]byte(r.prompt))
	switch want := hex.EncodeToString(sum[:8]); {
	case len(words) == 0:
		res.wrong = "the response is empty"
	case words[0] != want:
		res.wrong = fmt.Sprintf("the response begins with %q, not with %q", words[0], want)
	case usage >= 0 && usage != len(words):
		res.wrong = fmt.Sprintf("the response has %d words, but its usage reports %d", len(words), usage)
	case len(words) > r.maxTokens:
		res.wrong = fmt.Sprintf("the response has %d words, max_tokens is %d", len(words), r.maxTokens)
	}
}
