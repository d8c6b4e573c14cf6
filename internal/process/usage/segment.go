package usage

import (
	"crypto/ed25519"
	"crypto/sha256"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Hash is a SHA-256 digest.
type Hash [sha256.Size]byte

// Segment is a signed batch of records of one writer; segments of a writer form a hash chain.
type Segment struct {
	// Writer is unique for each start of a process: INSTANCE.RANDOM.
	Writer string
	Side   Side
	// Seq starts at 1 and has no gaps.
	Seq uint64
	// PrevHash is the hash of the segment before, zero for the first.
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
	Body      []byte `cbor:"1,keyasint"`
	Signature []byte `cbor:"2,keyasint"`
}

var encMode = newEncMode()

// newEncMode returns the deterministic encoding, so that a segment rebuilt from an export has the same hash.
func newEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // constant options
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

// Encode returns the stored form.
func (s *Segment) Encode() ([]byte, error) {
	body, err := s.encodeBody()
	if err != nil {
		return nil, err
	}
	return encMode.Marshal(signedSegment{Body: body, Signature: s.Signature})
}

// DecodeSegment parses the stored form. It does not check the signature; Verify does.
func DecodeSegment(data []byte) (Segment, error) {
	var signed signedSegment
	if err := cbor.Unmarshal(data, &signed); err != nil {
		return Segment{}, fmt.Errorf("decode signed segment: %w", err)
	}
	var body segmentBody
	if err := cbor.Unmarshal(signed.Body, &body); err != nil {
		return Segment{}, fmt.Errorf("decode segment body: %w", err)
	}
	if len(body.PrevHash) != sha256.Size {
		return Segment{}, fmt.Errorf("segment %s/%d: previous hash of %d bytes, want %d", body.Writer, body.Seq, len(body.PrevHash), sha256.Size)
	}
	return Segment{
		Writer: body.Writer, Side: body.Side, Seq: body.Seq, PrevHash: Hash(body.PrevHash), Records: body.Records, Final: body.Final,
		Hash: sha256.Sum256(signed.Body), Signature: signed.Signature,
	}, nil
}
