package wire

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"testing"
)

// Guards against fields that are lost or mixed up when a message is encoded and decoded.
func TestFrameRoundTrip(t *testing.T) {
	sent := []Message{
		&Hello{ProtocolVersion: ProtocolVersion, Role: RoleEntry, Instance: "e1"},
		&Ask{RequestID: "r1", Attempt: 2, Policy: Policy{Priority: 3, Weight: 5}, Body: []byte("{}"), Committed: true},
		&Head{Status: 200, Header: []HeaderField{{Name: "Content-Type", Value: "text/plain"}}},
		&Chunk{Seq: 1, Data: []byte("abc"), Tokens: 1},
		&Done{Outcome: DoneCompleted, Chunks: 1},
	}
	var buf bytes.Buffer
	for _, m := range sent {
		if err := Write(&buf, m); err != nil {
			t.Fatal(err)
		}
	}
	r := NewReader(&buf)
	for _, want := range sent {
		got, err := r.Read()
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
	if _, err := r.Read(); !errors.Is(err, io.EOF) {
		t.Errorf("after the last frame: %v, want EOF", err)
	}
}

// Guards against memory exhaustion by a false length in a frame header.
func TestRejectsFrameAboveLimit(t *testing.T) {
	r := NewReader(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, byte(TypeAsk)}))
	var size *FrameSizeError
	if _, err := r.Read(); !errors.As(err, &size) {
		t.Fatalf("got %v, want FrameSizeError", err)
	}
}

// Guards against treating a truncated frame as the regular end of a stream.
func TestTruncatedFrameIsUnexpectedEOF(t *testing.T) {
	frame, err := Append(nil, &Chunk{Seq: 1, Data: []byte("abc")})
	if err != nil {
		t.Fatal(err)
	}
	r := NewReader(bytes.NewReader(frame[:len(frame)-1]))
	if _, err := r.Read(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("got %v, want unexpected EOF", err)
	}
}
