package engine

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// response writes one response of the OpenAI API, as one JSON object or as server-sent events.
type response struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	q       *completionRequest
	id      string
	created int64
	text    strings.Builder
	// streaming is true after the first event.
	streaming bool
	// truncated is true if the completion reached max_tokens.
	truncated bool
	usage     usage
}

type choice struct {
	Index        int          `json:"index"`
	Message      *textMessage `json:"message,omitempty"`
	Delta        *textMessage `json:"delta,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type textMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func newResponse(w http.ResponseWriter, q *completionRequest, id string, promptTokens int) *response {
	resp := &response{w: w, flush: http.NewResponseController(w), q: q, id: id, created: time.Now().Unix()}
	resp.usage.PromptTokens = promptTokens
	return resp
}

// addToken adds one token; a streamed response sends it immediately.
func (resp *response) addToken(text string) error {
	resp.usage.CompletionTokens++
	if !resp.q.Stream {
		resp.text.WriteString(text)
		return nil
	}
	c := choice{}
	if resp.q.chat {
		c.Delta = &textMessage{Content: text}
		if !resp.streaming {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &text
	}
	return resp.sendEvent(resp.newCompletion([]choice{c}))
}

func (resp *response) finish() {
	resp.usage.TotalTokens = resp.usage.PromptTokens + resp.usage.CompletionTokens
	reason := "stop"
	if resp.truncated {
		reason = "length"
	}
	emptyText := ""
	c := choice{FinishReason: &reason}
	if !resp.q.Stream {
		text := resp.text.String()
		if resp.q.chat {
			c.Message = &textMessage{Role: "assistant", Content: text}
		} else {
			c.Text = &text
		}
		body := resp.newCompletion([]choice{c})
		body.Usage = &resp.usage
		writeJSON(resp.w, http.StatusOK, body)
		return
	}
	if resp.q.chat {
		c.Delta = &textMessage{}
	} else {
		c.Text = &emptyText
	}
	last := resp.newCompletion([]choice{c})
	last.Usage = &resp.usage
	_ = resp.sendEvent(last)
	if resp.q.StreamOptions.IncludeUsage {
		total := resp.newCompletion([]choice{})
		total.Usage = &resp.usage
		_ = resp.sendEvent(total)
	}
	_, _ = resp.w.Write([]byte("data: [DONE]\n\n"))
	_ = resp.flush.Flush()
}

func (resp *response) newCompletion(choices []choice) completion {
	c := completion{ID: "cmpl-" + resp.id, Object: "text_completion", Created: resp.created, Model: resp.q.Model, Choices: choices}
	if resp.q.chat {
		c.ID, c.Object = "chatcmpl-"+resp.id, "chat.completion"
		if resp.q.Stream {
			c.Object = "chat.completion.chunk"
		}
	}
	return c
}

func (resp *response) sendEvent(c completion) error {
	if !resp.streaming {
		resp.streaming = true
		resp.w.Header().Set("Content-Type", "text/event-stream")
		resp.w.Header().Set("Cache-Control", "no-cache")
	}
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if _, err := resp.w.Write(append(append([]byte("data: "), data...), '\n', '\n')); err != nil {
		return err
	}
	return resp.flush.Flush()
}
