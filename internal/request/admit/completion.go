package admit

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"

	"github.com/dragonflypin/dragonflypin/internal/request/outcome"
)

const (
	// bytesPerToken converts prompt bytes to estimated tokens; English text has about four bytes per token.
	bytesPerToken = 4
	// defaultMaxTokens is the output length assumed for limits when a request sets no maximum.
	defaultMaxTokens = 512
	// prefixBytes is the length of the prompt prefix that is hashed for prefix cache affinity: enough to distinguish system
	// prompts.
	prefixBytes = 1024
)

// Completion contains the properties of a completion request that routing and limits depend on.
type Completion struct {
	Model        string
	Stream       bool
	MaxTokens    int
	PromptTokens int
	PrefixHash   uint64
}

type completionBody struct {
	Model               *string           `json:"model"`
	Stream              bool              `json:"stream"`
	MaxTokens           *int              `json:"max_tokens"`
	MaxCompletionTokens *int              `json:"max_completion_tokens"`
	Messages            []json.RawMessage `json:"messages"`
	Prompt              json.RawMessage   `json:"prompt"`
}

// ParseChat parses and validates the body of POST /v1/chat/completions. maxTokens is the largest output length allowed.
func ParseChat(body []byte, maxTokens int) (Completion, *outcome.Error) {
	b, err := parseBody(body)
	if err != nil {
		return Completion{}, err
	}
	if len(b.Messages) == 0 {
		return Completion{}, Invalid("The field messages must be a non-empty array.")
	}
	h := fnv.New64a()
	unhashed, size := prefixBytes, 0
	for i, m := range b.Messages {
		var message struct {
			Role string `json:"role"`
		}
		if json.Unmarshal(m, &message) != nil || message.Role == "" {
			return Completion{}, Invalid(fmt.Sprintf("The field messages[%d] must be an object with a role.", i))
		}
		size += len(m)
		n := min(unhashed, len(m))
		_, _ = h.Write(m[:n])
		unhashed -= n
	}
	return b.completion(size, h.Sum64(), maxTokens)
}

// ParseText parses and validates the body of POST /v1/completions. maxTokens is the largest output length allowed.
func ParseText(body []byte, maxTokens int) (Completion, *outcome.Error) {
	b, err := parseBody(body)
	if err != nil {
		return Completion{}, err
	}
	if len(b.Prompt) == 0 || (b.Prompt[0] != '"' && b.Prompt[0] != '[') {
		return Completion{}, Invalid("The field prompt must be a string or an array.")
	}
	h := fnv.New64a()
	_, _ = h.Write(b.Prompt[:min(prefixBytes, len(b.Prompt))])
	return b.completion(len(b.Prompt), h.Sum64(), maxTokens)
}

func parseBody(body []byte) (*completionBody, *outcome.Error) {
	var b completionBody
	if err := json.Unmarshal(body, &b); err != nil {
		var field *json.UnmarshalTypeError
		if errors.As(err, &field) && field.Field != "" {
			return nil, Invalid(fmt.Sprintf("The field %s has the wrong type.", field.Field))
		}
		return nil, Invalid("The body is not a JSON object.")
	}
	if b.Model == nil || *b.Model == "" {
		return nil, Invalid("The field model must be a non-empty string.")
	}
	return &b, nil
}

func (b *completionBody) completion(promptBytes int, prefix uint64, maxTokens int) (Completion, *outcome.Error) {
	c := Completion{
		Model: *b.Model, Stream: b.Stream, MaxTokens: min(defaultMaxTokens, maxTokens),
		PromptTokens: promptBytes/bytesPerToken + 1, PrefixHash: prefix,
	}
	limit := b.MaxCompletionTokens
	if limit == nil {
		limit = b.MaxTokens
	}
	if limit == nil {
		return c, nil
	}
	if *limit < 1 || *limit > maxTokens {
		return Completion{}, Invalid(fmt.Sprintf("The field max_tokens is %d; 1 to %d are allowed.", *limit, maxTokens))
	}
	c.MaxTokens = *limit
	return c, nil
}

// Invalid returns the error for an invalid request.
func Invalid(message string) *outcome.Error {
	return refuse(http.StatusBadRequest, outcome.CodeInvalidRequest, message)
}
