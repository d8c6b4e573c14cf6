package usage

import (
	"bytes"
	"compress/flate"
	"crypto/ed25519"
	"crypto/sha256"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// maxBodyBytes limits the uncompressed size of a segment; 1,000 records with the longest names take about 2 MB.
const maxBodyBytes = 8 << 20

// Hash is a SHA-256 digest.
type Hash [sha256.Size]byte

// Segment is a signed batch of records of one writer; the segments of a writer form a hash chain.
type Segment struct {
	// Writer is INSTANCE.RANDOM, unique for each process start.
	Writer string
	Side   Side
	// Seq starts at 1 and has no gaps.
	Seq uint64
	// PrevHash is the hash of the previous segment, zero for the first.
	PrevHash Hash
	Records  []Record
	// Final marks the last segment of a graceful shutdown.
	Final bool
	// Hash is the SHA-256 of the encoded fields above.
	Hash Hash
	// Signature is the writer's Ed25519 signature of Hash.
	Signature []byte
}

type segmentBody struct {
	Writer   string   `cbor:"1,keyasint"`
	Side     Side     `cbor:"2,keyasint"`
	Seq      uint64   `cbor:"3,keyasint"`
	PrevHash []byte   `cbor:"4,keyasint"`
	Records  []Record `cbor:"5,keyasint"`
	Final    bool     `cbor:"6,keyasint,omitempty"`
}

type signedSegment struct {
	// Packed is the body, compressed with DEFLATE; the signed hash covers the uncompressed body.
	Packed    []byte `cbor:"1,keyasint"`
	Signature []byte `cbor:"2,keyasint"`
}

var encMode = newEncMode()

// newEncMode returns a deterministic CBOR encoding, so that a segment rebuilt from an export has the same hash.
func newEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // unreachable: the options are constant
	}
	return mode
}

func (s *Segment) encodeBody() ([]byte, error) {
	return encMode.Marshal(segmentBody{
		Writer: s.Writer, Side: s.Side, Seq: s.Seq, PrevHash: s.PrevHash[:], Records: s.Records, Final: s.Final,
	})
}

// sign sets Hash and Signature.
func (s *Segment) sign(key ed25519.PrivateKey) error {
	body, err := s.encodeBody()
	if err != nil {
		return fmt.Errorf("encode segment %s/%d: %w", s.Writer, s.Seq, err)
	}
	s.Hash = sha256.Sum256(body)
	s.Signature = ed25519.Sign(key, s.Hash[:])
	return nil
}

// Encode returns the stored form of the segment.
func (s *Segment) Encode() ([]byte, error) {
	body, err := s.encodeBody()
	if err != nil {
		return nil, err
	}
	packed, err := deflate(body)
	if err != nil {
		return nil, fmt.Errorf("compress segment %s/%d: %w", s.Writer, s.Seq, err)
	}
	return encMode.Marshal(signedSegment{Packed: packed, Signature: s.Signature})
}

// deflate compresses a body. The records of a segment repeat the names of workspaces, classes and upstreams.
func deflate(body []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// inflate decompresses a body. It rejects one above maxBodyBytes, so that a small stored segment cannot exhaust memory.
func inflate(packed []byte) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxBodyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress segment: %w", err)
	}
	if len(body) > maxBodyBytes {
		return nil, fmt.Errorf("segment has more than %d bytes", maxBodyBytes)
	}
	return body, nil
}

// DecodeSegment parses the stored form. It does not check the signature; Verify does.
func DecodeSegment(data []byte) (Segment, error) {
	var signed signedSegment
	if err := cbor.Unmarshal(data, &signed); err != nil {
		return Segment{}, fmt.Errorf("decode signed segment: %w", err)
	}
	encoded, err := inflate(signed.Packed)
	if err != nil {
		return Segment{}, err
	}
	var body segmentBody
	if err := cbor.Unmarshal(encoded, &body); err != nil {
		return Segment{}, fmt.Errorf("decode segment body: %w", err)
	}
	if len(body.PrevHash) != sha256.Size {
		return Segment{}, fmt.Errorf("segment %s/%d: previous hash of %d bytes, want %d", body.Writer, body.Seq, len(body.PrevHash), sha256.Size)
	}
	return Segment{
		Writer: body.Writer, Side: body.Side, Seq: body.Seq, PrevHash: Hash(body.PrevHash), Records: body.Records, Final: body.Final,
		Hash: sha256.Sum256(encoded), Signature: signed.Signature,
	}, nil
}
