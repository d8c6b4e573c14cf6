package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/peer"
	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/process/store/storetest"
	"github.com/dragonflypin/dragonflypin/internal/request/outcome"
)

// cluster is a set of entries that share a store and call each other in memory.
type cluster struct {
	store *storetest.Memory
	ctx   context.Context
	wg    sync.WaitGroup

	mu      sync.Mutex
	entries map[string]*entryProcess
	// memberNames are the names in the instance list, which may be out of date.
	memberNames []string
	// drop reports whether a call or response is lost.
	drop func(from, to, method string) bool
	// runs counts the executions of the call by key.
	runs map[string]int
}

type entryProcess struct {
	*Log
	stop context.CancelFunc
}

func newCluster(ctx context.Context) *cluster {
	return &cluster{
		store: storetest.New(), ctx: ctx, entries: map[string]*entryProcess{}, runs: map[string]int{},
		drop: func(string, string, string) bool { return false },
	}
}

func (c *cluster) start(t testing.TB, name string, change func(*Options)) *entryProcess {
	o := Options{
		Instance: name, Client: c.store, Peers: &clusterPeers{cluster: c, self: name}, Members: c.members,
		Shards: 2, WritesPerSecond: 1000,
	}
	if change != nil {
		change(&o)
	}
	l, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(c.ctx)
	e := &entryProcess{Log: l, stop: stop}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[name] = e
	c.memberNames = append(c.memberNames, name)
	c.wg.Go(func() { l.Run(ctx) })
	return e
}

func (c *cluster) members() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.memberNames...)
}

// kill stops a process but leaves it in the instance list.
func (c *cluster) kill(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[name].stop()
	delete(c.entries, name)
}

func (c *cluster) removeMember(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, n := range c.memberNames {
		if n == name {
			c.memberNames = append(c.memberNames[:i:i], c.memberNames[i+1:]...)
			return
		}
	}
}

func (c *cluster) setDrop(drop func(from, to, method string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop = drop
}

// recordRun counts an execution of the call of a key.
func (c *cluster) recordRun(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[key]++
}

func (c *cluster) runCount(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[key]
}

type clusterPeers struct {
	cluster *cluster
	self    string
}

func (c *clusterPeers) Call(ctx context.Context, instance, method string, payload []byte) ([]byte, error) {
	time.Sleep(time.Millisecond)
	c.cluster.mu.Lock()
	e, drop := c.cluster.entries[instance], c.cluster.drop
	c.cluster.mu.Unlock()
	if e == nil || drop(c.self, instance, method) {
		return nil, peer.ErrUnreachable
	}
	data, err := e.Handlers()[method](ctx, peer.Identity{Role: wire.RoleEntry, Instance: c.self}, payload)
	if err != nil {
		return nil, &peer.RemoteError{Message: err.Error()}
	}
	if drop(instance, c.self, method) {
		return nil, peer.ErrUnreachable
	}
	return data, nil
}

var attempts atomic.Int64

func key(value string) Key { return Key{Workspace: "shop-1", Service: "order-svc", Value: value} }

var body = BodyHash("POST", "/orders", []byte("{}"))

// sendRequest does what an entry does for one request: claim the key, run the call if granted, and record the result.
func (c *cluster) sendRequest(e *entryProcess, value string) (State, error) {
	attempt := fmt.Sprintf("attempt-%d", attempts.Add(1))
	state, err := e.Claim(c.ctx, key(value), body, attempt)
	if err == nil && state.Status == Granted && state.MayStart(time.Now()) {
		c.recordRun(value)
		ctx, cancel := context.WithTimeout(c.ctx, time.Second)
		defer cancel()
		_ = e.Finish(ctx, key(value), attempt, Result{Outcome: outcome.Completed, Status: 201, Body: []byte(value)})
	}
	return state, err
}

func inCluster(t *testing.T, names []string, test func(c *cluster, e []*entryProcess)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx)
		defer c.wg.Wait()
		defer cancel()
		var entries []*entryProcess
		for _, name := range names {
			entries = append(entries, c.start(t, name, nil))
		}
		test(c, entries)
	})
}

func wantStatus(t *testing.T, state State, err error, want Status) {
	t.Helper()
	if err != nil || state.Status != want {
		t.Fatalf("got %s, %v; want %s", state.Status, err, want)
	}
}

// ownerAndOther returns the entry that owns the key's shard and another one.
func ownerAndOther(entries []*entryProcess, value string) (owner, other *entryProcess) {
	name := entries[0].owner(entries[0].shardOf(key(value).digest()))
	for _, e := range entries {
		if e.opt.Instance == name {
			owner = e
		} else {
			other = e
		}
	}
	return owner, other
}

var pair = []string{"entry-a", "entry-b"}

// Guards against two executions, or none, when requests with the same key arrive at two entries concurrently.
func TestSameKeyThroughTwoEntries(t *testing.T) {
	inCluster(t, pair, func(c *cluster, e []*entryProcess) {
		for i := range 50 {
			value := fmt.Sprintf("key-%d", i)
			var wg sync.WaitGroup
			for n := range 6 {
				wg.Go(func() {
					if _, err := c.sendRequest(e[n%2], value); err != nil {
						t.Error(err)
					}
				})
			}
			wg.Wait()
			if c.runCount(value) != 1 {
				t.Errorf("%s ran %d times", value, c.runCount(value))
			}
			for _, entry := range e {
				state, err := c.sendRequest(entry, value)
				wantStatus(t, state, err, Finished)
				if string(state.Result.Body) != value || state.Result.Status != 201 || state.Result.Outcome != outcome.Completed {
					t.Errorf("stored result: %+v", state.Result)
				}
			}
		}
	})
}

// Guards against returning the stored response of a different call with the same key.
func TestSameKeyOtherBodyIsRefused(t *testing.T) {
	inCluster(t, pair, func(c *cluster, e []*entryProcess) {
		_, err := c.sendRequest(e[0], "k")
		if err != nil {
			t.Fatal(err)
		}
		for _, entry := range e {
			state, err := entry.Claim(c.ctx, key("k"), BodyHash("POST", "/orders", []byte("{1}")), "other-body")
			wantStatus(t, state, err, Mismatch)
		}
	})
}

// Guards against running a call again, or reporting it as active forever, when its entry crashes before it has a result.
func TestEntryLostAfterClaim(t *testing.T) {
	inCluster(t, []string{"entry-a", "entry-b", "entry-c"}, func(c *cluster, e []*entryProcess) {
		state, err := e[0].Claim(c.ctx, key("k"), body, "lost")
		wantStatus(t, state, err, Granted)
		state, err = c.sendRequest(e[1], "k")
		wantStatus(t, state, err, Active)
		c.kill("entry-a")
		c.removeMember("entry-a")
		time.Sleep(2 * time.Second)
		state, err = c.sendRequest(e[1], "k")
		wantStatus(t, state, err, Unknown)
		// A new process of the same name does not know whether the old one has run the call.
		restarted := c.start(t, "entry-a", nil)
		state, err = c.sendRequest(restarted, "k")
		if err != nil || state.Status == Granted {
			t.Errorf("new process of the same name: %s, %v", state.Status, err)
		}
		if c.runCount("k") != 0 {
			t.Errorf("ran %d times", c.runCount("k"))
		}
	})
}

// Guards against a key that stays claimed although its call has certainly not run.
func TestNotRunReleasesKey(t *testing.T) {
	inCluster(t, pair, func(c *cluster, e []*entryProcess) {
		state, err := e[0].Claim(c.ctx, key("k"), body, "first")
		wantStatus(t, state, err, Granted)
		if err := e[0].Finish(c.ctx, key("k"), "first", Result{Outcome: outcome.NotRun}); err != nil {
			t.Fatal(err)
		}
		state, err = c.sendRequest(e[1], "k")
		wantStatus(t, state, err, Granted)
		for _, entry := range e {
			if _, err = entry.Claim(c.ctx, key("k"), body, "first"); !errors.Is(err, ErrAbandoned) {
				t.Errorf("an abandoned attempt claimed its key again: %v", err)
			}
		}
	})
}

// Guards against running a call whose claim is not in the log, and against a key that stays claimed after a store outage,
// with the outage at each step of a claim.
func TestOutageAtEachStep(t *testing.T) {
	steps := map[string]func(c *cluster){
		"before":        func(c *cluster) { c.store.SetFaults(storetest.Faults{Outage: true}) },
		"response lost": func(c *cluster) { c.store.SetFaults(storetest.Faults{LoseResponses: true}) },
		"request lost":  func(c *cluster) { c.store.SetFaults(storetest.Faults{LoseRequests: true}) },
		"throttled": func(c *cluster) {
			c.store.SetHook(func(store.Op, string, string) error { return store.ErrThrottled })
		},
		"slow":                 func(c *cluster) { c.store.SetFaults(storetest.Faults{Delay: 5 * time.Second}) },
		"applied, then outage": func(c *cluster) { outageAfter(c, store.OpCreate, store.ErrUnknown, true) },
		"lost, then outage":    func(c *cluster) { outageAfter(c, store.OpCreate, store.ErrUnknown, false) },
		"conflict, no read":    func(c *cluster) { outageAfter(c, store.OpCreate, store.ErrConflict, false) },
	}
	for name, fail := range steps {
		t.Run(name, func(t *testing.T) {
			inCluster(t, pair, func(c *cluster, e []*entryProcess) {
				for _, prefix := range []string{"k1", "k2", "k3", "k4"} {
					for _, entry := range e { // one of them owns the key's shard
						value := prefix + entry.opt.Instance
						fail(c)
						state, err := c.sendRequest(entry, value)
						granted := err == nil && state.Status == Granted
						if granted && c.runCount(value) != 1 || !granted && err == nil && c.runCount(value) == 0 {
							t.Errorf("%s: %s, %v, ran %d times", value, state.Status, err, c.runCount(value))
						}
						c.store.SetHook(nil)
						c.store.SetFaults(storetest.Faults{})
						time.Sleep(10 * time.Second)
						state, err = c.sendRequest(entry, value)
						if err != nil || state.Status != Granted && state.Status != Finished {
							t.Errorf("%s after the outage: %s, %v; want granted or finished", value, state.Status, err)
						}
						if c.runCount(value) != 1 {
							t.Errorf("%s ran %d times", value, c.runCount(value))
						}
					}
				}
			})
		})
	}
}

// outageAfter makes the next call of op fail, with or without taking effect, and all calls after it fail as unavailable.
func outageAfter(c *cluster, op store.Op, class error, applied bool) {
	var done atomic.Bool
	c.store.SetHook(func(o store.Op, _, _ string) error {
		if done.Load() {
			return store.ErrUnavailable
		}
		if o != op {
			return nil
		}
		done.Store(true)
		if applied {
			c.store.SetFaults(storetest.Faults{LoseResponses: true})
			return nil
		}
		return class
	})
}

// Guards against two executions when the owner entry is unreachable, or its response is lost after its write.
func TestOwnerUnreachable(t *testing.T) {
	for name, lost := range map[string]func(owner string) func(from, to, method string) bool{
		"request lost": func(owner string) func(string, string, string) bool {
			return func(_, to, _ string) bool { return to == owner }
		},
		"response lost": func(owner string) func(string, string, string) bool {
			return func(from, _, _ string) bool { return from == owner }
		},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, pair, func(c *cluster, e []*entryProcess) {
				owner, other := ownerAndOther(e, "k")
				c.setDrop(lost(owner.opt.Instance))
				state, err := c.sendRequest(other, "k")
				wantStatus(t, state, err, Granted)
				state, err = c.sendRequest(owner, "k")
				wantStatus(t, state, err, Finished)
				if c.runCount("k") != 1 {
					t.Errorf("ran %d times", c.runCount("k"))
				}
			})
		})
	}
}

// Guards against refused claims while the owner entry drains: its log has stopped, but it still responds to calls.
func TestStoppedOwner(t *testing.T) {
	inCluster(t, pair, func(c *cluster, e []*entryProcess) {
		owner, other := ownerAndOther(e, "k")
		owner.stop()
		synctest.Wait()
		state, err := c.sendRequest(other, "k")
		wantStatus(t, state, err, Granted)
		state, err = c.sendRequest(other, "k")
		wantStatus(t, state, err, Finished)
	})
}

// Guards against storing responses of unlimited size, and against losing the outcome of a call with a large response.
func TestLongResultKeepsOutcome(t *testing.T) {
	inCluster(t, pair, func(c *cluster, e []*entryProcess) {
		state, err := e[0].Claim(c.ctx, key("k"), body, "a")
		wantStatus(t, state, err, Granted)
		long := Result{Outcome: outcome.Completed, Status: 201, Body: make([]byte, MaxResultBodyBytes+1)}
		if err := e[0].Finish(c.ctx, key("k"), "a", long); err != nil {
			t.Fatal(err)
		}
		state, err = c.sendRequest(e[1], "k")
		wantStatus(t, state, err, Finished)
		if !state.Result.Dropped || state.Result.Body != nil || state.Result.Outcome != outcome.Completed || state.Result.Status != 201 {
			t.Errorf("stored result: %+v", state.Result)
		}
	})
}

// startWithShortRetention starts an entry that expires keys after 5 minutes.
func startWithShortRetention(c *cluster, t *testing.T, name string) *entryProcess {
	return c.start(t, name, func(o *Options) {
		o.Retention, o.RunTimeout, o.Shards = 5*time.Minute, time.Minute, 1
	})
}

// Guards against a log that grows without limit, keys that expire too early, and a truncation that deletes the last batch
// and with it the last used number.
func TestRetention(t *testing.T) {
	inCluster(t, nil, func(c *cluster, _ []*entryProcess) {
		e := startWithShortRetention(c, t, "entry-a")
		for i := range 60 { // an hour
			if _, err := c.sendRequest(e, fmt.Sprintf("k-%d", i)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Minute)
			if i >= 4 {
				state, err := c.sendRequest(e, fmt.Sprintf("k-%d", i-3)) // 4 minutes old
				wantStatus(t, state, err, Finished)
			}
		}
		objs, err := c.store.List(c.ctx, Kind, "", "", 0)
		if err != nil || len(objs) == 0 || len(objs) > 30 {
			t.Errorf("%d batches remain, %v; want at most 30 of 120", len(objs), err)
		}
		if n := len(e.shards[0].state.keys); n > 10 {
			t.Errorf("%d keys are in memory, want at most 10 of 60", n)
		}
		state, err := c.sendRequest(e, "k-0")
		wantStatus(t, state, err, Granted)
		// A new process continues with the next number and has the same keys.
		c.kill("entry-a")
		c.removeMember("entry-a")
		other := startWithShortRetention(c, t, "entry-b")
		state, err = c.sendRequest(other, "k-0")
		wantStatus(t, state, err, Finished)
		time.Sleep(time.Hour)
		if _, err = c.sendRequest(other, "k-1"); err != nil {
			t.Fatal(err)
		}
		last, err := c.store.List(c.ctx, Kind, "", objs[len(objs)-1].Name, 0)
		if err != nil || len(last) == 0 {
			t.Errorf("no number follows %s: %v", objs[len(objs)-1].Name, err)
		}
	})
}

// Guards against a second execution by a process that was paused for longer than the retention: other processes used its
// next number and deleted that batch in the meantime, so that its conditional create succeeds.
func TestPausedWriterCannotGrant(t *testing.T) {
	inCluster(t, nil, func(c *cluster, _ []*entryProcess) {
		paused := startWithShortRetention(c, t, "entry-a")
		if _, err := c.sendRequest(paused, "before"); err != nil {
			t.Fatal(err)
		}
		c.removeMember("entry-a")
		var armed atomic.Bool
		gate := make(chan struct{})
		paused.shards[0].log.opt.Client = &pausedClient{Client: c.store, gate: gate, armed: &armed}
		armed.Store(true)
		type result struct {
			state State
			err   error
		}
		resumed := make(chan result, 1)
		go func() {
			// The context of the claim has no deadline, so that the claim still waits when the process resumes.
			s, _, err := paused.shards[0].claim(c.ctx, logRecord{
				Op: opClaim, Key: key("contested").digest(), Attempt: "paused", Body: body, Claimant: paused.claimant,
				DeadlineMs: time.Now().Add(time.Hour).UnixMilli(),
			})
			resumed <- result{s, err}
		}()
		other := startWithShortRetention(c, t, "entry-b")
		time.Sleep(time.Second)
		if _, err := c.sendRequest(other, "contested"); err != nil {
			t.Fatal(err)
		}
		for i := range 20 { // the batches at the paused process's number are deleted
			if _, err := c.sendRequest(other, fmt.Sprintf("k-%d", i)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Minute)
		}
		if _, err := c.sendRequest(other, "contested"); err != nil { // expired and granted again, which restarts its retention
			t.Fatal(err)
		}
		ran := c.runCount("contested")
		close(gate)
		r := <-resumed
		if r.err == nil && r.state.Status == Granted {
			t.Errorf("the paused process was granted a key that another attempt holds")
		}
		// The batch that the paused process created before the horizon must not change the state that other processes read.
		fresh := startWithShortRetention(c, t, "entry-c")
		state, err := c.sendRequest(fresh, "contested")
		wantStatus(t, state, err, Finished)
		if c.runCount("contested") != ran {
			t.Errorf("ran %d times more", c.runCount("contested")-ran)
		}
	})
}

// pausedClient blocks the first Create after armed is set until gate is closed, like a process that is paused just before
// it sends the request.
type pausedClient struct {
	store.Client
	gate  chan struct{}
	armed *atomic.Bool
}

func (p *pausedClient) Create(ctx context.Context, kind, name string, value []byte) (store.Object, error) {
	if p.armed.CompareAndSwap(true, false) {
		<-p.gate
		// By the clock of the paused process its deadline has not passed.
		ctx = context.WithoutCancel(ctx)
	}
	return p.Client.Create(ctx, kind, name, value)
}

// Guards against a new owner that reads the log in so many store calls that claims fail in the meantime.
func TestNewOwnerReadsLogInFewCalls(t *testing.T) {
	inCluster(t, nil, func(c *cluster, _ []*entryProcess) {
		one := func(o *Options) { o.Shards = 1 }
		first := c.start(t, "entry-a", one)
		const requests = 1000
		for i := range requests {
			if _, err := c.sendRequest(first, fmt.Sprintf("k-%d", i)); err != nil {
				t.Fatal(err)
			}
		}
		batches := first.shards[0].lastBatch
		c.kill("entry-a")
		c.removeMember("entry-a")
		second := c.start(t, "entry-b", one)
		before := c.store.Counts().Reads
		time.Sleep(2 * maintenanceInterval)
		loading := c.store.Counts().Reads - before
		state, err := c.sendRequest(second, "k-17")
		wantStatus(t, state, err, Finished)
		if batches < requests || loading == 0 || loading > batches/maxPageBatches+3 {
			t.Errorf("reading %d batches took %d calls", batches, loading)
		}
		t.Logf("read %d batches in %d calls", batches, loading)
	})
}

// Guards against starting a call long after its grant because the process was paused in between.
func TestGrantExpires(t *testing.T) {
	inCluster(t, pair, func(c *cluster, e []*entryProcess) {
		state, err := e[0].Claim(c.ctx, key("k"), body, "a")
		wantStatus(t, state, err, Granted)
		if !state.MayStart(time.Now()) {
			t.Error("a fresh grant may not be started")
		}
		time.Sleep(DefaultRunTimeout)
		if state.MayStart(time.Now()) {
			t.Error("an old grant may be started")
		}
	})
}

// Guards against claims in the name of another entry, and against empty or too long keys.
func TestForeignClaimantAndInvalidKeysAreRefused(t *testing.T) {
	inCluster(t, pair, func(c *cluster, e []*entryProcess) {
		payload, err := wire.Marshal(claimRequest{Record: logRecord{Op: opClaim, Claimant: "entry-b/1", Attempt: "x"}, RemainingMs: 1000})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := e[0].handleClaim(c.ctx, peer.Identity{Instance: "entry-c"}, payload); err == nil {
			t.Error("a claim in the name of another entry was accepted")
		}
		for _, value := range []string{"", string(make([]byte, MaxKeyBytes+1))} {
			if _, err := e[0].Claim(c.ctx, key(value), body, "a"); err == nil {
				t.Errorf("a key of %d bytes was accepted", len(value))
			}
		}
	})
}

// Guards against granting a key to an attempt other than the first when a batch contains claims that its writer should
// not have written, and against granting a claim of an abandoned attempt.
func TestReplayGrantsOnce(t *testing.T) {
	k := key("k").digest()
	r := newLogState()
	r.apply(1, &batch{Records: []logRecord{{Op: opRelease, Key: k, Attempt: "late"}, {Op: opClaim, Key: k, Attempt: "late"}}})
	if r.keys[k] != nil {
		t.Error("an attempt was granted after it had been abandoned")
	}
	r.apply(2, &batch{Records: []logRecord{{Op: opClaim, Key: k, Attempt: "first"}, {Op: opClaim, Key: k, Attempt: "second"}}})
	r.apply(3, &batch{Records: []logRecord{
		{Op: opClaim, Key: k, Attempt: "third"},
		{Op: opRelease, Key: k, Attempt: "second"},
		{Op: opFinish, Key: k, Attempt: "third", Result: &Result{Outcome: outcome.Completed}},
	}})
	if ks := r.keys[k]; ks == nil || ks.attempt != "first" || ks.finished {
		t.Errorf("key state after two claims, a release and a finish of others: %+v", ks)
	}
	r.apply(4, &batch{Horizon: 3})
	if r.keys[k] != nil || len(r.abandoned) != 1 {
		t.Errorf("after the horizon: key %+v, abandoned attempts %v", r.keys[k], r.abandoned)
	}
}
