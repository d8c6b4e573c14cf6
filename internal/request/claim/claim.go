// Package claim keeps the idempotency claims of non-idempotent calls: whoever is granted the claim of a key may run the
// call once; nobody else ever runs it. Claims are an append-only log in the store, one sequence of batches per shard.
//
// A batch is appended by creating the next number, which the store allows once, and its writer has applied every
// earlier batch. So the log alone decides who holds a key. The entry that owns a shard collects the claims of all
// entries into one batch, which keeps the store's writes independent of the number of orders; ownership is only an
// optimization, and any entry may append.
package claim

import (
	"crypto/sha256"
	"errors"
	"strings"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/request/outcome"
)

// Bounds of keys and results.
const (
	// MaxKey bounds the Idempotency-Key, in bytes.
	MaxKey = 255
	// MaxResultBody bounds the response body that is kept, in bytes. Of a longer one only the outcome is kept.
	MaxResultBody = 16 << 10
	// maxResultHeader bounds the response header that is kept, in bytes.
	maxResultHeader = 2 << 10
)

// ErrUnavailable reports that the claim was not granted because the log could not be written. The call was not run.
var ErrUnavailable = errors.New("claim log unavailable")

// ErrAbandoned reports that the attempt was given up before; it must not run.
var ErrAbandoned = errors.New("claim attempt was given up")

// ErrNotHeld reports a result for a claim that the attempt does not hold.
var ErrNotHeld = errors.New("claim is not held by the attempt")

// Key identifies one non-idempotent call.
type Key struct {
	Workspace string
	Service   string
	// Value is the caller's Idempotency-Key.
	Value string
}

// digest is the form of keys in the log, so that the log holds no caller data but results.
type digest [16]byte

func (k Key) digest() digest {
	sum := sha256.Sum256([]byte(strings.Join([]string{k.Workspace, k.Service, k.Value}, "\x00")))
	return digest(sum[:16])
}

// BodyHash returns the hash that tells whether a key is used again for the same call.
func BodyHash(method, path string, body []byte) [32]byte {
	h := sha256.New()
	_, _ = h.Write([]byte(method + "\x00" + path + "\x00")) // never fails
	_, _ = h.Write(body)
	return [32]byte(h.Sum(nil))
}

// Status is the answer to a claim.
type Status uint8

// Statuses of a claim.
const (
	// Granted means that this attempt, and no other, may run the call, until State.ValidUntil.
	Granted Status = iota + 1
	// Active means that another attempt holds the claim and may still be running.
	Active
	// Finished means that another attempt finished; State.Result is what it returned.
	Finished
	// Unknown means that another attempt held the claim and died or ran out of time; the call may have run.
	Unknown
	// Mismatch means that the key was used for another body.
	Mismatch
)

// String returns the status's name.
func (s Status) String() string {
	names := [...]string{"invalid", "granted", "active", "finished", "unknown", "mismatch"}
	if int(s) >= len(names) {
		return names[0]
	}
	return names[s]
}

// State is what the log says about a key.
type State struct {
	Status Status
	// Attempt is the attempt that holds the claim.
	Attempt string
	// ValidUntil is set when Status is Granted: the call must not be started later.
	ValidUntil time.Time
	// Result is set when Status is Finished.
	Result Result
}

// MayStart tells whether the call of a granted claim may still be started. A process that was paused after the grant
// finds out here, whichever of its clocks went on.
func (s *State) MayStart(now time.Time) bool {
	return s.Status == Granted && now.Before(s.ValidUntil) && now.Round(0).Before(s.ValidUntil.Round(0))
}

// Result is what is kept of a finished call.
type Result struct {
	// Outcome NotRun gives the claim back: a later attempt may run the call.
	Outcome outcome.Outcome    `cbor:"1,keyasint"`
	Status  int                `cbor:"2,keyasint,omitempty"`
	Header  []wire.HeaderField `cbor:"3,keyasint,omitempty"`
	Body    []byte             `cbor:"4,keyasint,omitempty"`
	// Dropped is set when the response was too long to keep; then only Outcome and Status remain.
	Dropped bool `cbor:"5,keyasint,omitempty"`
}

// bounded returns the result without the response if that is too long to keep.
func (r Result) bounded() Result {
	if len(r.Body) <= MaxResultBody && r.headerSize() <= maxResultHeader {
		return r
	}
	return Result{Outcome: r.Outcome, Status: r.Status, Dropped: true}
}

func (r Result) headerSize() int {
	size := 0
	for _, f := range r.Header {
		size += len(f.Name) + len(f.Value)
	}
	return size
}
