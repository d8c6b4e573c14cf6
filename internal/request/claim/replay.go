package claim

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/dragonflypin/dragonflypin/internal/request/outcome"
)

// Kind is the store kind of the claim log.
const Kind = "claims"

// opKind is the type of a log record. Its values are stored and must not be reused.
type opKind uint8

const (
	opClaim opKind = iota + 1
	opFinish
	// opRelease abandons an attempt, before or after its claim was written. The attempt has not run the call and never will.
	opRelease
)

// logRecord is one operation in a batch.
type logRecord struct {
	Op      opKind `cbor:"1,keyasint"`
	Key     digest `cbor:"2,keyasint"`
	Attempt string `cbor:"3,keyasint"`
	// Body is the hash of the call; only set in a claim.
	Body [32]byte `cbor:"4,keyasint,omitempty"`
	// Claimant is INSTANCE/START of the process that may run the call; only set in a claim.
	Claimant string `cbor:"5,keyasint,omitempty"`
	// DeadlineMs is the time after which the call is no longer running, in Unix milliseconds; only set in a claim.
	DeadlineMs int64 `cbor:"6,keyasint,omitempty"`
	// Result is only set in a finish.
	Result *Result `cbor:"7,keyasint,omitempty"`
}

// batch is the value of one object of the log.
type batch struct {
	// ID is unique. A writer that did not receive the store's response recognizes its own batch by it.
	ID     string `cbor:"1,keyasint"`
	Writer string `cbor:"2,keyasint"`
	// TimeMs is informational; no decision depends on it.
	TimeMs int64 `cbor:"3,keyasint"`
	// Horizon is the first batch number within the retention: the claims of earlier batches are expired, and the batches
	// are deleted. It is part of the log, so that all readers expire the same claims at the same batch.
	Horizon uint64      `cbor:"4,keyasint,omitempty"`
	Records []logRecord `cbor:"5,keyasint"`
}

func objectName(shard int, number uint64) string { return fmt.Sprintf("%04d/%010d", shard, number) }

func shardPrefix(shard int) string { return fmt.Sprintf("%04d/", shard) }

func objectNumber(name string) (uint64, error) {
	_, digits, _ := strings.Cut(name, "/")
	number, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("claim log object %q has no batch number: %w", name, err)
	}
	return number, nil
}

// keyState is the state of one key.
type keyState struct {
	batch      uint64
	body       [32]byte
	attempt    string
	claimant   string
	deadlineMs int64
	finished   bool
	outcome    outcome.Outcome
	status     int
	// resultBatch and resultIndex locate the finish record; the result itself is only in the store.
	resultBatch uint64
	resultIndex int
}

// expiryItem is a key or an abandoned attempt that expires together with its batch.
type expiryItem struct {
	batch   uint64
	key     digest
	attempt string
}

// logState is the state of a shard after applying its log. Equal logs give equal states.
type logState struct {
	horizon uint64
	keys    map[digest]*keyState
	// abandoned maps each abandoned attempt to the batch of its release.
	abandoned   map[string]uint64
	expiryQueue []expiryItem
}

func newLogState() *logState {
	return &logState{keys: map[digest]*keyState{}, abandoned: map[string]uint64{}}
}

func (r *logState) apply(number uint64, b *batch) {
	r.expire(b.Horizon)
	for i := range b.Records {
		rec := &b.Records[i]
		switch rec.Op {
		case opClaim:
			r.claim(number, rec)
		case opFinish:
			r.finish(number, i, rec)
		case opRelease:
			r.release(number, rec)
		}
	}
}

func (r *logState) claim(number uint64, rec *logRecord) {
	if _, ok := r.abandoned[rec.Attempt]; ok || r.keys[rec.Key] != nil {
		return
	}
	r.keys[rec.Key] = &keyState{
		batch: number, body: rec.Body, attempt: rec.Attempt, claimant: rec.Claimant, deadlineMs: rec.DeadlineMs,
	}
	r.expiryQueue = append(r.expiryQueue, expiryItem{batch: number, key: rec.Key})
}

func (r *logState) finish(number uint64, index int, rec *logRecord) {
	ks := r.keys[rec.Key]
	if ks == nil || ks.attempt != rec.Attempt || ks.finished || rec.Result == nil {
		return
	}
	if rec.Result.Outcome == outcome.NotRun {
		r.release(number, rec)
		return
	}
	ks.finished, ks.outcome, ks.status = true, rec.Result.Outcome, rec.Result.Status
	ks.resultBatch, ks.resultIndex = number, index
}

func (r *logState) release(number uint64, rec *logRecord) {
	r.abandoned[rec.Attempt] = number
	r.expiryQueue = append(r.expiryQueue, expiryItem{batch: number, attempt: rec.Attempt})
	if ks := r.keys[rec.Key]; ks != nil && ks.attempt == rec.Attempt && !ks.finished {
		delete(r.keys, rec.Key)
	}
}

// expire removes the keys and abandoned attempts that were written before the horizon.
func (r *logState) expire(horizon uint64) {
	if horizon <= r.horizon {
		return
	}
	r.horizon = horizon
	n := 0
	for n < len(r.expiryQueue) && r.expiryQueue[n].batch < horizon {
		item := r.expiryQueue[n]
		if item.attempt != "" {
			delete(r.abandoned, item.attempt)
		} else if ks := r.keys[item.key]; ks != nil && ks.batch == item.batch {
			delete(r.keys, item.key)
		}
		n++
	}
	r.expiryQueue = append([]expiryItem(nil), r.expiryQueue[n:]...)
}
