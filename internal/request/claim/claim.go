// Package claim records the idempotency claims of non-idempotent calls: the attempt that is granted the claim of a key
// may run the call once, and no other attempt runs it. Claims are stored as an append-only log in the object store, one
// sequence of numbered batches per shard.
//
// A batch is appended by a conditional create of the object with the next number, which succeeds only once, and its
// writer has applied every earlier batch. The log alone therefore decides which attempt holds a key. The entry that owns
// a shard collects the claims of all entries into one batch, so that the number of store writes does not grow with the
// number of requests. Ownership is only an optimization: any entry may append.
package claim

import (
	"crypto/sha256"
	"errors"
	"strings"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/request/outcome"
)

// Size limits of keys and results.
const (
	// MaxKeyBytes is the maximum length of an Idempotency-Key, in bytes.
	MaxKeyBytes = 255
	// MaxResultBodyBytes is the maximum size of a stored response body, in bytes. For a larger response only the outcome and
	// the status are stored.
	MaxResultBodyBytes = 16 << 10
	// maxResultHeaderBytes is the maximum size of the stored response header.
	maxResultHeaderBytes = 2 << 10
)

// ErrUnavailable reports that the claim was not granted because the log could not be read or written. The call was not run.
var ErrUnavailable = errors.New("claim log unavailable")

// ErrAbandoned reports that the attempt was abandoned earlier and must not run.
var ErrAbandoned = errors.New("claim attempt was abandoned")

// ErrNotHeld reports a result for a claim that the attempt does not hold.
var ErrNotHeld = errors.New("claim is not held by the attempt")

// Key identifies one non-idempotent call.
type Key struct {
	Workspace string
	Service   string
	// Value is the caller's Idempotency-Key.
	Value string
}

// digest is the hash under which a key is stored, so that results are the only caller data in the log.
type digest [16]byte

func (k Key) digest() digest {
	sum := sha256.Sum256([]byte(strings.Join([]string{k.Workspace, k.Service, k.Value}, "\x00")))
	return digest(sum[:16])
}

// BodyHash returns the hash of a call. It detects the reuse of a key for a different call.
func BodyHash(method, path string, body []byte) [32]byte {
	h := sha256.New()
	_, _ = h.Write([]byte(method + "\x00" + path + "\x00")) // never fails
	_, _ = h.Write(body)
	return [32]byte(h.Sum(nil))
}

// Status is the result of a claim.
type Status uint8

// Statuses of a claim.
const (
	// Granted means that only this attempt may run the call, and must start it before State.ValidUntil.
	Granted Status = iota + 1
	// Active means that another attempt holds the claim and may still be running.
	Active
	// Finished means that another attempt finished the call; State.Result is its result.
	Finished
	// Unknown means that the attempt that held the claim crashed or timed out; the call may have run.
	Unknown
	// Mismatch means that the key was used for a different call.
	Mismatch
)

// String returns the name of the status.
func (s Status) String() string {
	names := [...]string{"invalid", "granted", "active", "finished", "unknown", "mismatch"}
	if int(s) >= len(names) {
		return names[0]
	}
	return names[s]
}

// State is the state of a key in the log.
type State struct {
	Status Status
	// Attempt is the attempt that holds the claim.
	Attempt string
	// ValidUntil is the latest time to start the call. It is set when Status is Granted.
	ValidUntil time.Time
	// Result is set when Status is Finished.
	Result Result
}

// MayStart reports whether the call of a granted claim may still be started. It compares both the monotonic and the wall
// clock, as either may have stopped while the process was paused after the grant.
func (s *State) MayStart(now time.Time) bool {
	return s.Status == Granted && now.Before(s.ValidUntil) && now.Round(0).Before(s.ValidUntil.Round(0))
}

// Result is the stored result of a finished call.
type Result struct {
	// Outcome NotRun releases the claim: a later attempt may run the call.
	Outcome outcome.Outcome    `cbor:"1,keyasint"`
	Status  int                `cbor:"2,keyasint,omitempty"`
	Header  []wire.HeaderField `cbor:"3,keyasint,omitempty"`
	Body    []byte             `cbor:"4,keyasint,omitempty"`
	// Dropped is set when the response was too large to store or could not be read; only Outcome and Status are set then.
	Dropped bool `cbor:"5,keyasint,omitempty"`
}

// bounded returns the result, without the response if that exceeds the size limits.
func (r Result) bounded() Result {
	if len(r.Body) <= MaxResultBodyBytes && r.headerSize() <= maxResultHeaderBytes {
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
