package edge

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/replicas"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// writtenList is a store with one list, of which most writes only renew an entry.
type writtenList struct {
	store.Client
	mu       sync.Mutex
	writes   []store.Object
	calls    int
	refusing int
}

func (l *writtenList) write(name, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writes = append(l.writes, store.Object{Name: name, Value: []byte(value), Revision: uint64(len(l.writes) + 1)})
}

// watcher is the store as one process sees it.
type watcher struct {
	*writtenList
	number int
}

func (w *watcher) Watch(ctx context.Context, _ string, after uint64) ([]store.Object, uint64, error) {
	time.Sleep(5 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	if w.number < w.refusing {
		return nil, after, store.ErrUnavailable
	}
	at := uint64(len(w.writes))
	return append([]store.Object(nil), w.writes[min(after, at):]...), at, ctx.Err()
}

// follower is the part of an edge that follows the list.
type follower struct {
	registry *replicas.Registry
	coverage coverage
	feed     *store.Feed
}

func newFollower(list *writtenList, number int, share bool) *follower {
	f := &follower{registry: replicas.NewRegistry()}
	change := func(o store.Object) replicas.Change {
		return replicas.Change{ID: o.Name, Replica: &replicas.Replica{ID: o.Name, Address: string(o.Value)}}
	}
	apply := func(objects []store.Object) {
		for _, o := range objects {
			if f.registry.Apply([]replicas.Change{change(o)}, time.Now()) {
				f.coverage.onChange()
			}
		}
	}
	f.feed = &store.Feed{
		Client: &watcher{writtenList: list, number: number}, Pace: 700 * time.Millisecond, OnObjects: apply,
		OnGap: func(context.Context) error {
			list.mu.Lock()
			defer list.mu.Unlock()
			var changes []replicas.Change
			for _, o := range list.writes {
				changes = append(changes, change(o))
			}
			f.coverage.onList(f.registry.Apply(changes, time.Now()))
			return nil
		},
		OnRead: f.coverage.onRead,
	}
	if share {
		f.feed.Turn = func() time.Duration { return turn(number, turnStep(80*time.Millisecond), 2*time.Second) }
	}
	return f
}

// followers are edges that hear of each other every 80 ms.
func followers(ctx context.Context, list *writtenList, n int, share bool) []*follower {
	all := make([]*follower, n)
	for i := range all {
		all[i] = newFollower(list, i, share)
		go all[i].feed.Run(ctx)
	}
	go func() {
		for share && ctx.Err() == nil {
			time.Sleep(80 * time.Millisecond)
			now := time.Now()
			for _, from := range all {
				told := from.coverage.tell(now)
				for _, to := range all {
					to.feed.Hurry(told.Found)
					to.feed.Advance(told.From, told.To, now.Add(-time.Duration(told.AgeMs)*time.Millisecond))
				}
			}
		}
	}()
	return all
}

// replayRenewals lets 50 entries be renewed for 30 s, one of them move every 5 s, and returns the number of calls and the
// longest time until all followers know of a move.
func replayRenewals(t *testing.T, edges, refused int, share bool) (calls int, longest time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		list := &writtenList{refusing: refused}
		for i := range 50 {
			list.write(fmt.Sprintf("r-%d", i), "first")
		}
		all := followers(ctx, list, edges, share)
		time.Sleep(3 * time.Second)
		list.mu.Lock()
		list.calls = 0
		list.mu.Unlock()
		for step := range 6 * 200 {
			time.Sleep(25 * time.Millisecond)
			list.write(fmt.Sprintf("r-%d", step%49+1), "first")
			if step%200 != 100 {
				continue
			}
			moved := fmt.Sprintf("move-%d", step)
			list.write("r-0", moved)
			longest = max(longest, untilKnown(t, all[refused:], moved))
		}
		list.mu.Lock()
		calls = list.calls
		list.mu.Unlock()
		cancel()
		time.Sleep(time.Second) // until all have ended
	})
	return calls, longest
}

func untilKnown(t *testing.T, all []*follower, address string) time.Duration {
	t.Helper()
	began := time.Now()
	for _, f := range all {
		for {
			if r, ok := f.registry.View().Get("r-0"); ok && r.Address == address {
				break
			}
			if time.Since(began) > 10*time.Second {
				t.Fatalf("a follower does not know %q after 10 s", address)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(began)
}

// Guards against calls that grow with the number of edges times the number of writes, where nearly all writes only renew
// an entry, and against a change that an edge hears of too late, also when the store refuses the edges that should ask.
func TestRenewalsAreReadOnce(t *testing.T) {
	const ms = time.Millisecond
	// A change is found within the pace (700 ms) and told within a report interval (80 ms).
	for _, c := range []struct {
		edges, refused, most int
		known                time.Duration
	}{{1, 0, 60, 900 * ms}, {22, 0, 250, 900 * ms}, {22, 2, 300, 1200 * ms}, {100, 0, 800, 900 * ms}} {
		calls, longest := replayRenewals(t, c.edges, c.refused, true)
		if calls > c.most {
			t.Errorf("%d edges, %d refused: %d calls in 30 s, want at most %d", c.edges, c.refused, calls, c.most)
		}
		if longest > c.known {
			t.Errorf("%d edges, %d refused: a change took %s, want %s", c.edges, c.refused, longest, c.known)
		}
	}
	if calls, _ := replayRenewals(t, 22, 0, false); calls < 900 {
		t.Errorf("22 edges that share nothing make %d calls; the replay no longer shows the difference", calls)
	}
}

// Guards against an edge that learns of a replica's leaving after the platform's bound, where that is tighter than on the
// sheets: the pace and the longest turn leave four tenths of the bound for the call.
func TestPaceAndTurnFitTheBound(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		longest := pace(700*time.Millisecond, bound) + turn(1000, turnStep(time.Second), bound)
		if longest > bound*6/10 {
			t.Errorf("bound %s: an edge may not ask for %s", bound, longest)
		}
	}
	if got := pace(700*time.Millisecond, 0); got != 700*time.Millisecond {
		t.Errorf("pace %s without a bound, want the setting", got)
	}
}

// Guards against a claim on writes that a list already held: the watch that brings them again changes nothing at the edge
// that listed, but others don't know them.
func TestListCoversNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	c := &coverage{}
	c.onList(true)
	c.onRead(10, now)
	c.onRead(20, now) // writes 11 to 20 were in the list
	if told := c.tell(now); told.From != 20 || told.Found != 0 {
		t.Errorf("after the first list: %+v, want from 20 and nothing found", told)
	}
	c.onRead(30, now)
	if told := c.tell(now); told.From != 20 || told.To != 30 {
		t.Errorf("after renewals: %+v, want 20 to 30", told)
	}
	c.onChange()
	c.onRead(40, now)
	if told := c.tell(now); told.From != 40 || told.Found != 40 {
		t.Errorf("after a change: %+v, want from 40, found 40", told)
	}
	c.onList(true)
	c.onRead(50, now)
	c.onRead(60, now)
	if told := c.tell(now.Add(time.Second)); told.From != 60 || told.Found != 50 || told.AgeMs != 1000 {
		t.Errorf("after a list with changes: %+v, want from 60, found 50, age 1 s", told)
	}
}
