// Package quarantine finds prompt parts that crash the replicas which begin to answer them, and holds back the requests with
// such a part. It has no input or output of its own: the entry hands in what it and the others have observed.
//
// A part is blamed by elimination. When a replica crashes, each shared part of the requests that it had just begun to answer, or
// had not answered yet, is a suspect. An answer that goes on clears its parts, because a bad part crashes each replica. A part
// that has been in several crashes in a row, each with a request that was sent after the crash before, is quarantined, unless
// another part explains these crashes.
package quarantine

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

const (
	// StartPeriod is the time after the first event of an answer in which a crash of its replica is attributed to its prompt. An
	// answer that goes on for longer shows that its parts are sound. A bad part crashes an engine within its first decode steps,
	// which take up to 100 ms under load.
	StartPeriod = 300 * time.Millisecond
	// minCrashes is the number of crashes in a row after which a part is quarantined. The platform requires it after five; two
	// can be a coincidence while replicas crash for another reason.
	minCrashes = 3
	// minWeakCrashes is that number for a part which was in a sound answer within provenTime, because many requests share it, and
	// for one which was in fewer than minShare of the crashes meanwhile.
	minWeakCrashes = 5
	provenTime     = time.Minute
	minShare       = 0.75
	// minSharedTime is the shortest time from the first to the last of these crashes of a shared part: in less time no other
	// request with the part can show that it is sound.
	minSharedTime = 3 * StartPeriod
	// settleTime is the time after a crash before parts are blamed for it, in which the reports of the other entries arrive.
	settleTime = 150 * time.Millisecond
	// sameCrash is the longest time between two reports of one crash. A replica needs longer to be back.
	sameCrash = time.Second
	// commonCauseTime is the time around a crash in which other replicas that crash have the same cause: a prompt part is only
	// blamed if it was beginning at all of them.
	commonCauseTime = 100 * time.Millisecond
	// evidenceTime is how long a crash counts.
	evidenceTime = 10 * time.Minute
	// maxSuspects bounds the parts with evidence, maxHits the crashes kept of each, and maxCrashes those to which further reports
	// are matched.
	maxSuspects, maxHits, maxCrashes = 1024, 64, 256
	// maxProven bounds the parts whose last sound answer is remembered.
	maxProven = 8192
	// maxIDBytes is the length up to which part IDs are used as they are; longer ones are replaced by a hash.
	maxIDBytes = 32
)

// Options of a Tracker.
type Options struct {
	// MayTry reports whether this entry is the one that tries quarantined parts again, at most one of all live entries.
	MayTry func() bool
}

// Suspect is a prompt part of requests that were beginning at a replica when it crashed.
type Suspect struct {
	Part string
	// Depth is the position of the part in its prompt.
	Depth int
	// Sent is when the last request with the part was sent to the replica.
	Sent time.Time
}

// Crash is the crash of a replica as one entry has seen it.
type Crash struct {
	// Replica is the hash of the replica's ID.
	Replica  uint32
	At       time.Time
	Suspects []Suspect
}

// Sound says that a replica went on with an answer to a request with the part.
type Sound struct {
	Part string
	// Begun is when the answer began.
	Begun time.Time
}

// crash is a crash as all entries together have seen it.
type crash struct {
	replica uint32
	at      time.Time
	// near are the other crashes within commonCauseTime.
	near []*crash
}

// suspect is a part with its crashes since the last sound answer.
type suspect struct {
	depth int
	// sent is when the last request with the part was sent to the replica, by crash.
	sent map[*crash]time.Time
}

// Tracker is the quarantine as one entry knows it. It is safe for concurrent use.
type Tracker struct {
	opts Options
	// active is the number of quarantined parts, so that requests need no lock while there are none.
	active atomic.Int32
	digest atomic.Uint64

	mu       sync.Mutex
	crashes  []*crash
	suspects map[string]*suspect
	proven   provenParts
	entries  map[string]Entry
	// explained are the crashes that blamed parts explain, as of the last evaluation.
	explained map[*crash]bool
	// lastReport is the time of the last report of a crash, or zero once all crashes are evaluated.
	lastReport time.Time
	// changed has the entries that have changed since TakeChanges.
	changed []Change
}

// New returns an empty Tracker.
func New(opts Options) *Tracker {
	if opts.MayTry == nil {
		opts.MayTry = func() bool { return true }
	}
	return &Tracker{opts: opts, suspects: map[string]*suspect{}, entries: map[string]Entry{}, proven: newProvenParts()}
}

// PartID returns the ID under which a part is known: its own, or a hash of one that is very long or not text.
func PartID(id string) string {
	if len(id) <= maxIDBytes && utf8.ValidString(id) {
		return id
	}
	return "xxh64-" + strconv.FormatUint(xxhash.Sum64String(id), 16)
}

// RecordCrash records a crash that this or another entry has seen.
func (t *Tracker) RecordCrash(c Crash, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.crash(c.Replica, c.At)
	for _, found := range c.Suspects {
		id := PartID(found.Part)
		s := t.suspects[id]
		if s == nil {
			if len(t.suspects) >= maxSuspects {
				t.dropOldestSuspect()
			}
			s = &suspect{sent: map[*crash]time.Time{}}
			t.suspects[id] = s
		}
		s.depth = max(s.depth, found.Depth)
		s.add(known, found.Sent)
		t.proven.suspected(id, now)
	}
	t.lastReport = now
}

// crash returns the record of a crash. The earliest report of it has the best time.
func (t *Tracker) crash(replica uint32, at time.Time) *crash {
	for _, c := range t.crashes {
		if c.replica == replica && c.at.Sub(at).Abs() < sameCrash {
			if at.Before(c.at) {
				c.at = at
			}
			return c
		}
	}
	c := &crash{replica: replica, at: at}
	for _, other := range t.crashes {
		if other.at.Sub(at).Abs() < commonCauseTime {
			c.near, other.near = append(c.near, other), append(other.near, c)
		}
	}
	if t.crashes = append(t.crashes, c); len(t.crashes) > maxCrashes {
		t.crashes = t.crashes[1:]
	}
	return c
}

// add records a crash with the part. The request that was sent last counts.
func (s *suspect) add(c *crash, sent time.Time) {
	if sent.After(s.sent[c]) {
		s.sent[c] = sent
	}
	if len(s.sent) > maxHits {
		delete(s.sent, slices.MinFunc(slices.Collect(maps.Keys(s.sent)), byTime))
	}
}

func byTime(a, b *crash) int { return a.at.Compare(b.at) }

func (t *Tracker) dropOldestSuspect() {
	oldest, at := "", time.Time{}
	for id, s := range t.suspects {
		if last := s.lastCrash(); oldest == "" || last.Before(at) {
			oldest, at = id, last
		}
	}
	delete(t.suspects, oldest)
}

// lastCrash returns the time of the last crash with the part.
func (s *suspect) lastCrash() time.Time {
	last := time.Time{}
	for c := range s.sent {
		if c.at.After(last) {
			last = c.at
		}
	}
	return last
}

// RecordSound records that an answer which began at the time has gone on. It returns the parts which that clears, for the other
// entries.
func (t *Tracker) RecordSound(parts []string, begun, now time.Time) []Sound {
	t.mu.Lock()
	defer t.mu.Unlock()
	var cleared []Sound
	for _, part := range parts {
		id := PartID(part)
		t.proven.record(id, begun)
		if t.clear(id, begun, now) {
			cleared = append(cleared, Sound{id, begun})
		}
	}
	return cleared
}

// ApplySound applies what another entry has found.
func (t *Tracker) ApplySound(list []Sound, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range list {
		t.proven.record(s.Part, s.Begun)
		t.proven.heard(s.Part, now)
		t.clear(s.Part, s.Begun, now)
	}
}

// TakeProven returns the suspect parts of which this entry knows a recent sound answer and the others may not: with many entries
// each sees few of the answers to a part that many requests share.
func (t *Tracker) TakeProven(now time.Time) []Sound {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Sound
	for id := range t.proven.unannounced {
		list = append(list, Sound{id, t.proven.at(id)})
		t.proven.heard(id, now)
	}
	return list
}

// clear removes the crashes before the time from the evidence against a part, and lifts its quarantine when no crash remains. It
// reports whether there were any.
func (t *Tracker) clear(id string, begun, now time.Time) bool {
	s := t.suspects[id]
	if s == nil {
		if e := t.entries[id]; e.Held && begun.After(time.UnixMilli(int64(e.Version))) {
			return t.release(id, ReasonAnswered, now) // the evidence was found by others
		}
		return false
	}
	known := len(s.sent)
	maps.DeleteFunc(s.sent, func(c *crash, _ time.Time) bool { return c.at.Before(begun) })
	if len(s.sent) == 0 {
		delete(t.suspects, id)
		t.release(id, ReasonAnswered, now)
	}
	return len(s.sent) < known
}

// crashesInRow returns the crashes with the part up to the time that are not explained by another one, each with a request that
// was sent after the crash before. Crashes that have another cause don't count.
func (s *suspect) crashesInRow(explained map[*crash]bool, until time.Time) []*crash {
	counted := make([]*crash, 0, len(s.sent))
	for c := range s.sent {
		if !explained[c] && !c.at.After(until) && !s.hasOtherCause(c, until) {
			counted = append(counted, c)
		}
	}
	slices.SortFunc(counted, byTime)
	row := counted[:0]
	for _, c := range counted {
		if len(row) == 0 || s.sent[c].After(row[len(row)-1].at) {
			row = append(row, c)
		}
	}
	return row
}

// hasOtherCause reports whether another replica crashed at the same moment at which the part was not beginning.
func (s *suspect) hasOtherCause(c *crash, until time.Time) bool {
	return slices.ContainsFunc(c.near, func(other *crash) bool {
		return !other.at.After(until) && s.sent[other].IsZero()
	})
}

// isShared reports whether the part was in a sound answer lately, so that many requests share it.
func (t *Tracker) isShared(id string, now time.Time) bool {
	return now.Sub(t.proven.at(id)) < provenTime
}

// neededCrashes returns the number of crashes in a row after which a part that was in the given ones is quarantined.
func (t *Tracker) neededCrashes(id string, row []*crash, now time.Time) int {
	shared := t.isShared(id, now)
	if shared && len(row) > 0 && row[len(row)-1].at.Sub(row[0].at) < minSharedTime {
		return max(minWeakCrashes, len(row)+1)
	}
	if shared || t.share(t.suspects[id], row) < minShare {
		return minWeakCrashes
	}
	return minCrashes
}

// share returns the share of the part in the crashes from the first to the last of the given ones.
func (t *Tracker) share(s *suspect, row []*crash) float64 {
	with, all := 0, 0
	for _, c := range t.crashes {
		if len(row) > 0 && !c.at.Before(row[0].at) && !c.at.After(row[len(row)-1].at) {
			all++
			if !s.sent[c].IsZero() {
				with++
			}
		}
	}
	return float64(with) / float64(max(1, all))
}

// MayRepeat reports whether an interrupted request with the parts may be sent to another replica: not when the next crash would
// quarantine one of them.
func (t *Tracker) MayRepeat(parts []string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		id := PartID(part)
		s := t.suspects[id]
		if s == nil {
			continue
		}
		if row := s.crashesInRow(t.explained, now); len(row) >= t.neededCrashes(id, row, now)-1 {
			return false
		}
	}
	return true
}

// Tick blames parts once the reports of a crash have arrived, and forgets old evidence.
func (t *Tracker) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.lastReport.IsZero() {
		t.evaluate(now)
		if now.Sub(t.lastReport) >= settleTime {
			t.lastReport = time.Time{}
		}
	}
	t.expire(now)
}

// evaluate quarantines the blamed parts, and releases those whose crashes others explain.
func (t *Tracker) evaluate(now time.Time) {
	blamed, explained := t.blame(now)
	t.explained = explained
	for id, crashes := range blamed {
		if !t.entries[id].Held {
			t.hold(id, crashes, now)
		}
	}
	for id, s := range t.suspects {
		if _, ok := blamed[id]; !ok && t.entries[id].Held && t.isExplained(s, blamed, now) {
			t.release(id, ReasonExplained, now)
		}
	}
}

// isExplained reports whether the crashes with a quarantined part are all explained by a blamed one that fewer requests share.
func (t *Tracker) isExplained(s *suspect, blamed map[string]int, now time.Time) bool {
	if len(s.crashesInRow(nil, now)) < minCrashes {
		return false
	}
	for id := range blamed {
		other := t.suspects[id]
		covers := !t.isShared(id, now) && other.depth >= s.depth
		for c := range s.sent {
			covers = covers && !other.sent[c].IsZero()
		}
		if covers {
			return true
		}
	}
	return false
}

// candidate is a part that was in enough crashes in a row.
type candidate struct {
	id     string
	shared bool
	// explains is the number of crashes with the part that no other part explains.
	explains int
	inRow    int
}

// blame returns the fewest parts that explain the crashes of which all reports have arrived, by a greedy choice, with their
// numbers of crashes in a row, and the crashes that they explain.
func (t *Tracker) blame(now time.Time) (blamed map[string]int, explained map[*crash]bool) {
	blamed, explained = map[string]int{}, map[*crash]bool{}
	until := now.Add(-settleTime)
	for {
		var best *candidate
		for id, s := range t.suspects {
			if _, ok := blamed[id]; ok || len(s.sent) < minCrashes {
				continue
			}
			row := s.crashesInRow(explained, until)
			if len(row) < t.neededCrashes(id, row, now) {
				continue
			}
			c := &candidate{id: id, shared: t.isShared(id, now), inRow: len(row)}
			for crash := range s.sent {
				if !explained[crash] && !crash.at.After(until) {
					c.explains++
				}
			}
			if best == nil || t.likelier(c, best) {
				best = c
			}
		}
		if best == nil {
			return blamed, explained
		}
		blamed[best.id] = best.inRow
		for crash := range t.suspects[best.id].sent {
			explained[crash] = true
		}
	}
}

// likelier orders candidates: parts that few requests share first, then those that explain more crashes, then quarantined ones,
// then the deeper ones, which fewer requests share.
func (t *Tracker) likelier(a, b *candidate) bool {
	if a.shared != b.shared {
		return b.shared
	}
	if a.explains != b.explains {
		return a.explains > b.explains
	}
	if heldA, heldB := t.entries[a.id].Held, t.entries[b.id].Held; heldA != heldB {
		return heldA
	}
	if depthA, depthB := t.suspects[a.id].depth, t.suspects[b.id].depth; depthA != depthB {
		return depthA > depthB
	}
	return a.id < b.id
}

func (t *Tracker) expire(now time.Time) {
	for len(t.crashes) > 0 && now.Sub(t.crashes[0].at) > evidenceTime {
		t.crashes = t.crashes[1:]
	}
	for id, s := range t.suspects {
		if now.Sub(s.lastCrash()) > evidenceTime {
			delete(t.suspects, id)
		}
	}
	t.expireEntries(now)
}
