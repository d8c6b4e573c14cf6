package upstream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// MaxEventBytes is the maximum size of one server-sent event.
const MaxEventBytes = 256 << 10

// ErrEventTooLarge reports a server-sent event above MaxEventBytes.
var ErrEventTooLarge = errors.New("server-sent event exceeds the size limit")

var (
	dataField  = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// Event is one received server-sent event.
type Event struct {
	// Raw is the event with its terminating blank line. It is valid until the next call of Next.
	Raw []byte
	// Tokens is 1 if the event contains text, 0 otherwise.
	Tokens uint32
	// Usage is set if the event contains a usage object.
	Usage *Usage
	// Done is true for the final event, data: [DONE].
	Done bool
}

// Usage is the OpenAI usage object.
type Usage struct {
	PromptTokens     uint32 `json:"prompt_tokens"`
	CompletionTokens uint32 `json:"completion_tokens"`
}

type streamChunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
}

// EventReader reads the server-sent events of an engine.
type EventReader struct {
	r   *bufio.Reader
	raw []byte
}

// NewEventReader returns an EventReader on r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, 8<<10)}
}

// Buffered reports whether buffered input remains. An event that is only partly buffered also counts.
func (e *EventReader) Buffered() bool { return e.r.Buffered() > 0 }

// Next returns the next event. io.EOF means that the body ended between two events;
// the response is complete only if the last event had Done set.
func (e *EventReader) Next() (Event, error) {
	e.raw = e.raw[:0]
	for continued := false; ; {
		line, err := e.r.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if len(e.raw) > MaxEventBytes {
			return Event{}, ErrEventTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continued = true
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		if !continued && isBlank(line) && len(e.raw) > len(line) {
			return parseEvent(e.raw)
		}
		continued = false
	}
}

func isBlank(line []byte) bool { return len(line) == 1 || (len(line) == 2 && line[0] == '\r') }

func parseEvent(raw []byte) (Event, error) {
	ev := Event{Raw: raw}
	for line := range bytes.Lines(raw) {
		data, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			ev.Done = true
			return ev, nil
		}
		var c streamChunk
		if err := json.Unmarshal(data, &c); err != nil {
			return ev, fmt.Errorf("server-sent event is not JSON: %w", err)
		}
		ev.Usage = c.Usage
		for _, choice := range c.Choices {
			if choice.Text != "" || choice.Delta.Content != "" {
				ev.Tokens = 1
			}
		}
	}
	return ev, nil
}

var usageKey = []byte(`"usage":{`)

// StreamUsage returns the last usage object in a sequence of complete server-sent events, if there is one.
func StreamUsage(events []byte) (Usage, bool) {
	if !bytes.Contains(events, usageKey) {
		return Usage{}, false
	}
	var usage Usage
	found := false
	reader := NewEventReader(bytes.NewReader(events))
	for {
		ev, err := reader.Next()
		if err != nil {
			return usage, found
		}
		if ev.Usage != nil {
			usage, found = *ev.Usage, true
		}
	}
}

// ParseUsage returns the usage object of a complete response; missing counts are 0.
func ParseUsage(body []byte) Usage {
	if !bytes.Contains(body, []byte(`"usage"`)) {
		return Usage{}
	}
	var response struct {
		Usage Usage `json:"usage"`
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return Usage{}
	}
	return response.Usage
}

func decode(body []byte, result any) error {
	if result == nil {
		return nil
	}
	return json.Unmarshal(body, result)
}
