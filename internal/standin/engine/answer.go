package engine

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// answer writes one OpenAI answer, plain or as server-sent events.
type answer struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	q       *completionRequest
	id      string
	created int64
	text    strings.Builder
	started bool
	length  bool
	usage   usage
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

func newAnswer(w http.ResponseWriter, q *completionRequest, id string, promptTokens int) *answer {
	a := &answer{w: w, flush: http.NewResponseController(w), q: q, id: id, created: time.Now().Unix()}
	a.usage.PromptTokens = promptTokens
	return a
}

// token adds one token; a stream sends it at once.
func (a *answer) token(text string) error {
	a.usage.CompletionTokens++
	if !a.q.Stream {
		a.text.WriteString(text)
		return nil
	}
	c := choice{}
	if a.q.chat {
		c.Delta = &textMessage{Content: text}
		if !a.started {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &text
	}
	return a.event(a.completion([]choice{c}))
}

func (a *answer) finish() {
	a.usage.TotalTokens = a.usage.PromptTokens + a.usage.CompletionTokens
	reason := "stop"
	if a.length {
		reason = "length"
	}
	empty := ""
	c := choice{FinishReason: &reason}
	if !a.q.Stream {
		text := a.text.String()
		if a.q.chat {
			c.Message = &textMessage{Role: "assistant", Content: text}
		} else {
			c.Text = &text
		}
		body := a.completion([]choice{c})
		body.Usage = &a.usage
		writeJSON(a.w, http.StatusOK, body)
		return
	}
	if a.q.chat {
		c.Delta = &textMessage{}
	} else {
		c.Text = &empty
	}
	last := a.completion([]choice{c})
	last.Usage = &a.usage
	_ = a.event(last)
	if a.q.StreamOptions.IncludeUsage {
		total := a.completion([]choice{})
		total.Usage = &a.usage
		_ = a.event(total)
	}
	_, _ = a.w.Write([]byte("data: [DONE]\n\n"))
	_ = a.flush.Flush()
}

func (a *answer) completion(choices []choice) completion {
	c := completion{ID: "cmpl-" + a.id, Object: "text_completion", Created: a.created, Model: a.q.Model, Choices: choices}
	if a.q.chat {
		c.ID, c.Object = "chatcmpl-"+a.id, "chat.completion"
		if a.q.Stream {
			c.Object = "chat.completion.chunk"
		}
	}
	return c
}

func (a *answer) event(c completion) error {
	if !a.started {
		a.started = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-cache")
	}
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if _, err := a.w.Write(append(append([]byte("data: "), data...), '\n', '\n')); err != nil {
		return err
	}
	return a.flush.Flush()
}
