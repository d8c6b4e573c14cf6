package quarantine_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/dragonflypin/dragonflypin/internal/process/quarantine"
)

// observer is a tracker with the time at which things are observed.
type observer struct {
	*quarantine.Tracker
	now time.Time
}

func newObserver() *observer {
	return &observer{quarantine.New(quarantine.Options{}), epoch}
}

func (o *observer) wait(d time.Duration) {
	for end := o.now.Add(d); o.now.Before(end); {
		o.now = o.now.Add(tickInterval)
		o.Tick(o.now)
	}
}

// crash records that a replica crashed, to which requests with the parts were sent the given time before. A second passes.
func (o *observer) crash(replica uint32, sentBefore time.Duration, parts ...string) {
	c := quarantine.Crash{Replica: replica, At: o.now}
	for depth, part := range parts {
		c.Suspects = append(c.Suspects, quarantine.Suspect{Part: part, Depth: depth, Sent: o.now.Add(-sentBefore)})
	}
	o.RecordCrash(c, o.now)
	o.wait(time.Second)
}

func (o *observer) sound(parts ...string) {
	o.RecordSound(parts, o.now, o.now.Add(quarantine.StartPeriod))
}

// Guards against the wrong part of a request being blamed: the one that no other explains and that no sound answer clears.
func TestWhichPartIsToBlame(t *testing.T) {
	recent := 100 * time.Millisecond
	for name, c := range map[string]struct {
		run  func(o *observer)
		held []string
	}{
		"two crashes": {func(o *observer) {
			o.crash(1, recent, "root", "bad")
			o.crash(2, recent, "root", "bad")
		}, nil},
		"the part of an only request without a sound answer": {func(o *observer) {
			for n := range uint32(3) {
				o.crash(n, recent, "root", "subject", "bad")
				o.sound("root", "subject")
			}
		}, []string{"bad"}},
		"a first part": {func(o *observer) {
			for n := range uint32(3) {
				o.crash(n, recent, "bad", fmt.Sprint("subject", n))
				o.sound(fmt.Sprint("subject", n))
			}
		}, []string{"bad"}},
		"the deeper part when nothing else tells them apart": {func(o *observer) {
			for n := range uint32(3) {
				o.crash(n, recent, "root", "bad")
			}
		}, []string{"bad"}},
		"the part of all crashes and not of the request beside it": {func(o *observer) {
			o.crash(1, recent, "bad", "other1")
			o.crash(2, recent, "bad", "other1")
			o.crash(3, recent, "bad", "other2")
			o.crash(4, recent, "bad", "other1")
		}, []string{"bad"}},
		"two bad parts": {func(o *observer) {
			for n := range uint32(4) {
				o.crash(n, recent, "bad1")
				o.crash(n+10, recent, "bad2")
			}
			o.crash(30, recent, "bad1")
			o.crash(31, recent, "bad2")
		}, []string{"bad1", "bad2"}},
		"requests sent before the crash before": {func(o *observer) {
			for n := range uint32(3) {
				o.crash(n, time.Duration(n+1)*time.Second+recent, "root", "subject")
			}
		}, nil},
		"a part that was sound until then": {func(o *observer) {
			o.sound("bad")
			for n := range uint32(5) {
				o.crash(n, recent, "bad")
			}
		}, []string{"bad"}},
		"a part that is answered in between": {func(o *observer) {
			for n := range uint32(9) {
				o.crash(n, recent, "subject")
				if n%2 == 1 {
					o.sound("subject")
				}
			}
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			o := newObserver()
			c.run(o)
			if held := heldParts(o.Tracker); !slices.Equal(held, c.held) {
				t.Errorf("held %v, want %v", held, c.held)
			}
		})
	}
}

// Guards against interrupted requests that are repeated until the part in them is quarantined, and against those of an ordinary
// crash that are not.
func TestRepeatsBeforeTheQuarantine(t *testing.T) {
	o := newObserver()
	o.crash(1, 100*time.Millisecond, "root", "bad")
	if !o.MayRepeat([]string{"root", "bad"}, o.now) {
		t.Error("the victims of a first crash are not repeated")
	}
	o.sound("root")
	o.crash(2, 100*time.Millisecond, "root", "bad")
	if o.MayRepeat([]string{"root", "bad"}, o.now) {
		t.Error("a request that was in two crashes is repeated")
	}
	if !o.MayRepeat([]string{"root", "subject"}, o.now) {
		t.Error("a request that shares the first part is not repeated")
	}
}

// Guards against a lifted quarantine that returns with the state of an entry which did not know.
func TestLiftedQuarantineDoesNotReturn(t *testing.T) {
	o, other := newObserver(), newObserver()
	for n := range uint32(3) {
		o.crash(n, 100*time.Millisecond, "bad")
	}
	other.Merge(o.Entries(), o.now)
	old := other.Entries()
	if a := other.Admit([]string{"bad"}, true, o.now); a.Allowed || a.RetryAfter <= 0 {
		t.Errorf("an entry that was told does not hold it back: %+v", a)
	}
	if !o.Lift("bad", o.now) || o.Lift("bad", o.now) {
		t.Error("lifting a quarantine does not say what it has done")
	}
	o.Merge(old, o.now)
	other.Merge(o.Entries(), o.now)
	for _, tracker := range []*observer{o, other} {
		if held := heldParts(tracker.Tracker); len(held) > 0 || !tracker.Admit([]string{"bad"}, true, o.now).Allowed {
			t.Errorf("held %v after the quarantine was lifted", held)
		}
	}
	if o.Digest() != other.Digest() {
		t.Error("the same quarantine has different digests")
	}
}

// Guards against memory that grows with the number of parts, crashes and entries, or with the length of an ID.
func TestMemoryIsBounded(t *testing.T) {
	o := newObserver()
	long := strings.Repeat("x", 1<<16)
	for n := range 600 {
		c := quarantine.Crash{Replica: uint32(n), At: o.now}
		for depth := range 8 {
			c.Suspects = append(c.Suspects, quarantine.Suspect{Part: fmt.Sprint(long[:n%100], n, depth), Depth: depth, Sent: o.now})
		}
		o.RecordCrash(c, o.now)
		for k := range 40 {
			o.sound(fmt.Sprint("sound", n, "-", k))
		}
		o.now = o.now.Add(time.Millisecond)
	}
	var entries []quarantine.Entry
	for n := range 5000 {
		entries = append(entries, quarantine.Entry{Part: fmt.Sprint("p", n), Version: uint64(o.now.UnixMilli()) + uint64(n), Held: true})
	}
	o.Merge(entries, o.now)
	if n := len(o.Entries()); n > 256 {
		t.Errorf("%d entries are kept", n)
	}
	for _, id := range []string{long, "\xff\xfe"} {
		if kept := quarantine.PartID(id); len(kept) > 32 || !utf8.ValidString(kept) {
			t.Errorf("an ID of %d bytes is kept as %q", len(id), kept)
		}
	}
	if suspects, crashes, proven := o.Sizes(); suspects > 1024 || crashes > 256 || proven > 2*8192 {
		t.Errorf("%d suspects, %d crashes, %d proven parts are kept", suspects, crashes, proven)
	}
}

// Guards against an interrupted request that waits for the blame of many parts.
func BenchmarkTickWithManySuspects(b *testing.B) {
	o := newObserver()
	for n := range 2000 {
		c := quarantine.Crash{Replica: uint32(n), At: o.now}
		for p := range 60 {
			c.Suspects = append(c.Suspects, quarantine.Suspect{Part: fmt.Sprint((n*7 + p*13) % 1024), Sent: o.now})
		}
		o.now = o.now.Add(50 * time.Millisecond)
		o.RecordCrash(c, o.now)
	}
	for b.Loop() {
		o.RecordCrash(quarantine.Crash{Replica: 1, At: o.now}, o.now)
		o.Tick(o.now)
	}
}
