package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflypin/dragonflypin/internal/process/replicas"
)

func keptReplica(start int64) *replicas.Replica {
	return &replicas.Replica{ID: "r", Service: "lm", StartUnixMs: start}
}

func keptPrompt(n int) []Part {
	return []Part{{ID: fmt.Sprint("shared", n), Tokens: 1000}, {ID: "own", Tokens: 200}}
}

// Guards against estimates that count on parts for which the replica's memory is too small: the least recently used ones yield to other
// shared parts and to what runs.
func TestPartsYieldWhenMemoryIsFull(t *testing.T) {
	k, key, now := newKeptParts(), KeyOf("r"), time.Unix(1000, 0)
	k.update(keptReplica(1), 5000)
	for n := range 4 {
		k.recordSent(key, keptPrompt(n), now)
	}
	if missing := k.missingTokens(key, keptPrompt(0), now); missing != 200 {
		t.Fatalf("%d tokens are missing with room for all parts, want 200", missing)
	}
	k.recordSent(key, keptPrompt(0), now) // now the most recently used part
	k.recordSent(key, keptPrompt(4), now)
	for n, want := range []int{200, 1200, 200, 200, 200} {
		if missing := k.missingTokens(key, keptPrompt(n), now); missing != want {
			t.Errorf("part %d: %d tokens are missing, want %d", n, missing, want)
		}
	}
	k.mergeOwn(key, 4900, now)
	if missing := k.missingTokens(key, keptPrompt(4), now); missing != 1200 {
		t.Errorf("%d tokens are missing although a prompt of another entry needs the memory, want 1200", missing)
	}
}

// Guards against parts that count as lost after a while although nothing has taken their memory.
func TestPartsAreKeptWhileThereIsRoom(t *testing.T) {
	k, key, now := newKeptParts(), KeyOf("r"), time.Unix(1000, 0)
	k.update(keptReplica(1), 5000)
	k.recordSent(key, keptPrompt(0), now)
	k.expire(now.Add(time.Minute))
	if missing := k.missingTokens(key, keptPrompt(0), now.Add(time.Minute)); missing != 200 {
		t.Errorf("%d tokens are missing after a minute, want 200", missing)
	}
	unknown := newKeptParts()
	unknown.recordSent(key, keptPrompt(0), now)
	if missing := unknown.missingTokens(key, keptPrompt(0), now.Add(time.Minute)); missing != 1200 {
		t.Errorf("%d tokens are missing after a minute at a replica of unknown memory, want 1200", missing)
	}
}

// Guards against prompts that go to a restarted replica for parts that it has lost.
func TestRestartedReplicaKeepsNothing(t *testing.T) {
	k, key, now := newKeptParts(), KeyOf("r"), time.Unix(1000, 0)
	k.update(keptReplica(1000), 5000)
	k.recordSent(key, keptPrompt(0), now)
	k.update(keptReplica(1000), 5000)
	if missing := k.missingTokens(key, keptPrompt(0), now); missing != 200 {
		t.Errorf("%d tokens are missing after another reading of the list, want 200", missing)
	}
	k.update(keptReplica(900_000), 5000)
	if missing := k.missingTokens(key, keptPrompt(0), now); missing != 1200 {
		t.Errorf("%d tokens are missing after a restart, want 1200", missing)
	}
	if holding := k.replicasHolding(nil, keptPrompt(0), now.Add(time.Minute)); len(holding) != 0 {
		t.Error("a restarted replica is a source of parts")
	}
}

// Guards against entries that forget, or let yield, a part which another entry uses all the time: the hint is repeated.
func TestHintsOfUsedPartsAreRepeated(t *testing.T) {
	k, key, now := newKeptParts(), KeyOf("r"), time.Unix(1000, 0)
	k.update(keptReplica(1), 5000)
	hints := 0
	for range 20 {
		k.recordSent(key, keptPrompt(0), now)
		for range hintSends {
			hints += len(k.takePending())
		}
		now = now.Add(time.Second)
	}
	if hints < 2*hintSends || hints > 4*hintSends {
		t.Errorf("%d hints in 20 s of use, want one in each %s, sent %d times", hints, hintResendAge, hintSends)
	}
}

// Guards against a record that grows with every part that was ever seen.
func TestKeptPartsAreBounded(t *testing.T) {
	k, key, now := newKeptParts(), KeyOf("r"), time.Unix(1000, 0)
	k.update(keptReplica(1), 1<<40)
	for n := range maxKeptParts + 1000 {
		k.merge([]CacheHint{{key, xxhash.Sum64String(fmt.Sprint(n)), 1}}, now)
	}
	k.expire(now)
	if len(k.parts) != maxKeptParts || len(k.replicas) != maxKeptParts {
		t.Errorf("%d parts are recorded and %d have replicas, want %d", len(k.parts), len(k.replicas), maxKeptParts)
	}
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		k.mergeOwn(key, 1, now)
	}
	own := 0
	for p := k.memories[key].newest; p != nil; p = p.older {
		if !p.shared {
			own++
		}
	}
	if own > 3 {
		t.Errorf("%d records of the parts of 1,000 prompts in 10 s that are not shared", own)
	}
	k.unlist()
	k.expire(now.Add(maxRetention + time.Second))
	if len(k.parts) != 0 || len(k.memories) != 0 {
		t.Errorf("%d parts and %d replicas remain after their retention", len(k.parts), len(k.memories))
	}
}
