// Package wire defines the messages between the processes of the router and their framing.
//
// A frame is a 4-byte big-endian length, one byte with the message type, and one CBOR value with integer keys.
// Unknown keys are ignored, so that a newer process can add fields; ProtocolVersion changes for incompatible changes.
package wire

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// ProtocolVersion is sent in Hello; sessions between different versions are refused.
const ProtocolVersion = 1

// ALPN is the TLS application protocol of the sessions.
const ALPN = "dragonflypin/1"

// MaxPayloadBytes is the maximum payload of one frame.
const MaxPayloadBytes = 1 << 20

const frameHeaderBytes = 5

// Type identifies the message in a frame.
type Type uint8

// Message is implemented by every message of the protocol.
type Message interface {
	// WireType returns the type byte of the message's frame.
	WireType() Type
}

// FrameSizeError reports a frame whose payload exceeds MaxPayloadBytes.
type FrameSizeError struct {
	// Size is the length of the payload in bytes.
	Size int
}

// Error implements error.
func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("frame of %d bytes exceeds the limit of %d", e.Size, MaxPayloadBytes)
}

// UnknownTypeError reports a message type that this protocol version does not define.
type UnknownTypeError struct {
	// Type is the received type byte.
	Type Type
}

// Error implements error.
func (e *UnknownTypeError) Error() string { return fmt.Sprintf("unknown message type %d", e.Type) }

var encMode, decMode = newModes()

func newModes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // constant options
	}
	dec, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  8,
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      1 << 12,
	}.DecMode()
	if err != nil {
		panic(err) // constant options
	}
	return enc, dec
}

// Append appends the frame of m to buf.
func Append(buf []byte, m Message) ([]byte, error) {
	payload, err := encMode.Marshal(m)
	if err != nil {
		return buf, fmt.Errorf("encode message type %d: %w", m.WireType(), err)
	}
	if len(payload) > MaxPayloadBytes {
		return buf, &FrameSizeError{Size: len(payload)}
	}
	var head [frameHeaderBytes]byte
	binary.BigEndian.PutUint32(head[:], uint32(len(payload)))
	head[4] = byte(m.WireType())
	return append(append(buf, head[:]...), payload...), nil
}

// Write writes the frame of m to w with a single call of w.Write.
func Write(w io.Writer, m Message) error {
	frame, err := Append(nil, m)
	if err != nil {
		return err
	}
	_, err = w.Write(frame)
	return err
}

// Reader reads frames from one stream. It is not safe for concurrent use.
type Reader struct {
	r   *bufio.Reader
	buf []byte
}

// readBufferBytes is large enough for a few messages of a token stream; larger payloads bypass the buffer. With the default
// of 4096 bytes, the two buffers of a request were 28% of the bytes allocated for it.
const readBufferBytes = 1024

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, readBufferBytes)} }

// Read returns the next message. It returns io.EOF only between frames.
func (r *Reader) Read() (Message, error) {
	var head [frameHeaderBytes]byte
	if _, err := io.ReadFull(r.r, head[:]); err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint32(head[:]))
	if size > MaxPayloadBytes {
		return nil, &FrameSizeError{Size: size}
	}
	if cap(r.buf) < size {
		r.buf = make([]byte, size)
	}
	payload := r.buf[:size]
	if _, err := io.ReadFull(r.r, payload); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return Decode(Type(head[4]), payload)
}

// Decode decodes one payload. The result does not alias payload.
func Decode(t Type, payload []byte) (Message, error) {
	m := newMessage(t)
	if m == nil {
		return nil, &UnknownTypeError{Type: t}
	}
	if err := decMode.Unmarshal(payload, m); err != nil {
		return nil, fmt.Errorf("decode message type %d: %w", t, err)
	}
	return m, nil
}
