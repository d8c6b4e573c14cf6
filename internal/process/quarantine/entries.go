package quarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstTrial is the time after which one request with a quarantined part is sent again, to find out whether the part is
	// sound. The time is multiplied by trialFactor with each trial, up to maxTrials trials: a trial of a bad part costs all
	// requests at a replica.
	firstTrial  = time.Minute
	trialFactor = 4
	maxTrials   = 4
	// maxEntries bounds the quarantined and released parts that are known, the latest ones.
	maxEntries = 256
	// entryTime is how long an entry is kept after its last change.
	entryTime = 24 * time.Hour
	// minRetryAfter is the shortest time after which a caller is told to return.
	minRetryAfter = time.Second
)

// Reason says why the state of a part changed.
type Reason string

// Reasons for a change.
const (
	ReasonCrashes   Reason = "crashes"
	ReasonTrial     Reason = "trial"
	ReasonAnswered  Reason = "answered"
	ReasonExplained Reason = "explained"
	ReasonOperator  Reason = "operator"
)

// Entry is the state of one part on which all entries agree: the one with the highest version counts.
type Entry struct {
	_    struct{} `cbor:",toarray"`
	Part string   `json:"part"`
	// Version is the time of the last change in Unix milliseconds, and higher than that of the state before.
	Version uint64 `json:"version"`
	// Held is set while the part is quarantined.
	Held bool `json:"held"`
	// Trials is the number of requests that were sent again since the part was quarantined.
	Trials uint8 `json:"trials"`
	// Crashes is the number of crashes in a row for which the part was quarantined.
	Crashes uint8  `json:"crashes"`
	Reason  Reason `json:"reason"`
}

// Change is an entry that has changed.
type Change struct {
	Entry
	// Own is set if this entry of the fleet has decided it.
	Own bool
}

// Admission says whether a request may be sent.
type Admission struct {
	Allowed bool
	// Part is the quarantined part of a request that may not be sent, and RetryAfter the time until it may be tried again.
	Part       string
	RetryAfter time.Duration
}

// Admit decides whether a request with the shared parts may be sent. It allows the trials of quarantined parts; with sending set,
// the request is sent now and counts as the trial.
func (t *Tracker) Admit(parts []string, sending bool, now time.Time) Admission {
	if t.active.Load() == 0 {
		return Admission{Allowed: true}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var trials []Entry
	for _, part := range parts {
		e := t.entries[PartID(part)]
		if !e.Held {
			continue
		}
		if left := e.nextTrial().Sub(now); left > 0 || !t.opts.MayTry() {
			return Admission{Part: e.Part, RetryAfter: max(minRetryAfter, left)}
		}
		trials = append(trials, e)
	}
	for _, e := range trials {
		if !sending {
			break
		}
		e.Trials, e.Reason = min(e.Trials+1, maxTrials), ReasonTrial
		t.set(e, now)
	}
	return Admission{Allowed: true}
}

// nextTrial returns when a request with the part may be sent again.
func (e *Entry) nextTrial() time.Time {
	wait := firstTrial
	for range e.Trials {
		wait *= trialFactor
	}
	return time.UnixMilli(int64(e.Version)).Add(wait)
}

func (t *Tracker) hold(id string, crashes int, now time.Time) {
	e := t.entries[id]
	e.Part, e.Held, e.Trials, e.Crashes, e.Reason = id, true, 0, uint8(crashes), ReasonCrashes
	t.set(e, now)
}

// release ends the quarantine of a part, if it is quarantined.
func (t *Tracker) release(id string, reason Reason, now time.Time) bool {
	e := t.entries[id]
	if !e.Held {
		return false
	}
	e.Held, e.Reason = false, reason
	t.set(e, now)
	return true
}

// Lift ends the quarantine of a part by order of an operator, and forgets the evidence against it. It reports whether the part
// was quarantined.
func (t *Tracker) Lift(part string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.release(PartID(part), ReasonOperator, now)
}

// set records a change that this entry of the fleet has decided.
func (t *Tracker) set(e Entry, now time.Time) {
	e.Version = max(e.Version+1, uint64(now.UnixMilli()))
	t.apply(e, true)
}

// apply records a change.
func (t *Tracker) apply(e Entry, own bool) {
	if !e.Held && (!own || e.Reason != ReasonExplained) {
		delete(t.suspects, e.Part)
	}
	t.entries[e.Part] = e
	t.changed = append(t.changed, Change{e, own})
	if len(t.changed) > maxEntries {
		t.changed = t.changed[1:]
	}
	t.boundEntries()
	t.summarize()
}

// boundEntries drops the oldest entries above the bound.
func (t *Tracker) boundEntries() {
	if len(t.entries) <= maxEntries {
		return
	}
	for _, e := range t.sorted()[:len(t.entries)-maxEntries] {
		delete(t.entries, e.Part)
	}
}

// sorted returns the entries, the oldest first.
func (t *Tracker) sorted() []Entry {
	return slices.SortedFunc(maps.Values(t.entries), func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Part, b.Part))
	})
}

// Merge applies entries of another entry of the fleet or of the store. Of two states with the same version, the released one
// counts.
func (t *Tracker) Merge(list []Entry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range list {
		known, ok := t.entries[e.Part]
		newer := !ok || e.Version > known.Version || e.Version == known.Version && known.Held && !e.Held
		if newer && len(e.Part) <= maxIDBytes && !e.expired(now) {
			t.apply(e, false)
			t.lastReport = now // this entry may know better
		}
	}
}

// expired reports whether an entry is too old to be kept.
func (e *Entry) expired(now time.Time) bool {
	return now.Sub(time.UnixMilli(int64(e.Version))) > entryTime
}

func (t *Tracker) expireEntries(now time.Time) {
	for id, e := range t.entries {
		if e.expired(now) {
			delete(t.entries, id)
			t.summarize()
		}
	}
}

// Entries returns the known parts, the latest change first.
func (t *Tracker) Entries() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.sorted()
	slices.Reverse(list)
	return list
}

// Active returns the number of quarantined parts.
func (t *Tracker) Active() int { return int(t.active.Load()) }

// TakeChanges returns the changes since the last call.
func (t *Tracker) TakeChanges() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.changed
	t.changed = nil
	return list
}

// Digest identifies the entries: two of the fleet with the same entries have the same digest. It is 0 without entries.
func (t *Tracker) Digest() uint64 { return t.digest.Load() }

// DigestOf returns the digest of entries.
func DigestOf(list []Entry) uint64 {
	digest := uint64(0)
	for _, e := range list {
		b := binary.BigEndian.AppendUint64([]byte(e.Part), e.Version)
		if e.Held {
			b = append(b, 1)
		}
		digest ^= xxhash.Sum64(b)
	}
	return digest
}

// summarize computes what is read without a lock.
func (t *Tracker) summarize() {
	held := int32(0)
	for _, e := range t.entries {
		if e.Held {
			held++
		}
	}
	t.active.Store(held)
	t.digest.Store(DigestOf(slices.Collect(maps.Values(t.entries))))
}
