package upstream

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against events that are split, merged or dropped at the boundaries of the read buffer, and against a truncated body
// that looks complete.
func TestEventReader(t *testing.T) {
	long := `data: {"choices":[{"delta":{"content":"` + strings.Repeat("x", 8<<10) + `"}}]}` + "\r\n\r\n"
	whole := "data: {\"choices\":[{\"text\":\"a\"}]}\n\n" + long + "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}}\n\ndata: [DONE]\n\n"
	r := NewEventReader(iotest.OneByteReader(strings.NewReader(whole)))
	var raw strings.Builder
	var tokens uint32
	var usage *Usage
	for {
		ev, err := r.Next()
		if err != nil {
			t.Fatal(err)
		}
		raw.Write(ev.Raw)
		tokens += ev.Tokens
		if ev.Usage != nil {
			usage = ev.Usage
		}
		if ev.Done {
			break
		}
	}
	if raw.String() != whole || tokens != 2 || usage == nil || usage.PromptTokens != 3 {
		t.Errorf("%d of %d bytes, %d tokens, usage %+v", raw.Len(), len(whole), tokens, usage)
	}
	if _, err := r.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("after the end: %v", err)
	}
	truncated := NewEventReader(strings.NewReader("data: {\"cho"))
	if _, err := truncated.Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("truncated event: %v, want unexpected EOF", err)
	}
	if _, err := New("ftp://127.0.0.1"); err == nil {
		t.Error("a base URL with the scheme ftp was accepted")
	}
}
