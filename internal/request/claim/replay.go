package claim

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/dragonflypin/dragonflypin/internal/request/outcome"
)

// Kind is the store kind of the claim log.
const Kind = "claims"

// opKind is the type of a log entry. Numbers are stored and never reused.
type opKind uint8

const (
	opClaim opKind = iota + 1
	opFinish
	// opRelease gives an attempt up, before or after its claim was written. The attempt did not run and never will.
	opRelease
)

// entry is one operation in a batch.
type entry struct {
	Op      opKind `cbor:"1,keyasint"`
	Key     digest `cbor:"2,keyasint"`
	Attempt string `cbor:"3,keyasint"`
	// Body is the hash of the call; only in a claim.
	Body [32]byte `cbor:"4,keyasint,omitempty"`
	// Claimant is INSTANCE/START of the process that may run the call; only in a claim.
	Claimant string `cbor:"5,keyasint,omitempty"`
	// DeadlineMs is when the call can no longer be running, in Unix milliseconds; only in a claim.
	DeadlineMs int64 `cbor:"6,keyasint,omitempty"`
	// Result is only in a finish.
	Result *Result `cbor:"7,keyasint,omitempty"`
}

// batch is the value of one object of the log.
type batch struct {
	// ID is unique; a writer that lost the store's answer recognizes its own batch by it.
	ID     string `cbor:"1,keyasint"`
	Writer string `cbor:"2,keyasint"`
	// TimeMs is for people; no decision depends on it.
	TimeMs int64 `cbor:"3,keyasint"`
	// Horizon is the first number that still counts: claims of earlier batches are forgotten, the batches deleted.
	// It is part of the log, so that all readers forget the same claims at the same number.
	Horizon uint64  `cbor:"4,keyasint,omitempty"`
	Entries []entry `cbor:"5,keyasint"`
}

func objectName(shard int, number uint64) string { return fmt.Sprintf("%04d/%010d", shard, number) }

func shardPrefix(shard int) string { return fmt.Sprintf("%04d/", shard) }

func objectNumber(name string) (uint64, error) {
	_, digits, _ := strings.Cut(name, "/")
	number, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("claim log object %q has no number: %w", name, err)
	}
	return number, nil
}

// record is the state of one key.
type record struct {
	batch      uint64
	body       [32]byte
	attempt    string
	claimant   string
	deadlineMs int64
	finished   bool
	outcome    outcome.Outcome
	status     int
	// resultBatch and resultIndex locate the finish entry; results stay in the store.
	resultBatch uint64
	resultIndex int
}

// mark is a key or attempt that is forgotten with its batch.
type mark struct {
	batch   uint64
	key     digest
	attempt string
}

// replay is the state of a shard after applying its log. Equal logs give equal states.
type replay struct {
	horizon uint64
	keys    map[digest]*record
	// given holds the attempts that were given up.
	given map[string]uint64
	order []mark
}

func newReplay() *replay {
	return &replay{keys: map[digest]*record{}, given: map[string]uint64{}}
}

func (r *replay) apply(number uint64, b *batch) {
	r.forget(b.Horizon)
	for i := range b.Entries {
		e := &b.Entries[i]
		switch e.Op {
		case opClaim:
			r.claim(number, e)
		case opFinish:
			r.finish(number, i, e)
		case opRelease:
			r.release(number, e)
		}
	}
}

func (r *replay) claim(number uint64, e *entry) {
	if _, ok := r.given[e.Attempt]; ok || r.keys[e.Key] != nil {
		return
	}
	r.keys[e.Key] = &record{
		batch: number, body: e.Body, attempt: e.Attempt, claimant: e.Claimant, deadlineMs: e.DeadlineMs,
	}
	r.order = append(r.order, mark{batch: number, key: e.Key})
}

func (r *replay) finish(number uint64, index int, e *entry) {
	rec := r.keys[e.Key]
	if rec == nil || rec.attempt != e.Attempt || rec.finished || e.Result == nil {
		return
	}
	if e.Result.Outcome == outcome.NotRun {
		r.release(number, e)
		return
	}
	rec.finished, rec.outcome, rec.status = true, e.Result.Outcome, e.Result.Status
	rec.resultBatch, rec.resultIndex = number, index
}

func (r *replay) release(number uint64, e *entry) {
	r.given[e.Attempt] = number
	r.order = append(r.order, mark{batch: number, attempt: e.Attempt})
	if rec := r.keys[e.Key]; rec != nil && rec.attempt == e.Attempt && !rec.finished {
		delete(r.keys, e.Key)
	}
}

// forget drops what was written before the horizon.
func (r *replay) forget(horizon uint64) {
	if horizon <= r.horizon {
		return
	}
	r.horizon = horizon
	n := 0
	for n < len(r.order) && r.order[n].batch < horizon {
		m := r.order[n]
		if m.attempt != "" {
			delete(r.given, m.attempt)
		} else if rec := r.keys[m.key]; rec != nil && rec.batch == m.batch {
			delete(r.keys, m.key)
		}
		n++
	}
	r.order = append([]mark(nil), r.order[n:]...)
}
