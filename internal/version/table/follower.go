package table

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/fxamacker/cbor/v2"
)

// Timing of a Follower. Together these values limit the time until a version is in force on all entries, even if
// announcements are lost.
const (
	// checkInterval is the interval at which the version number is compared with that of an entry that watches the store,
	// plus or minus a random amount of up to a fifth.
	checkInterval = 3 * time.Second
	// callTimeout is the timeout of one call to a peer.
	callTimeout = time.Second
	// checkHedgeDelay is the time without a response after which a check calls another peer in parallel.
	checkHedgeDelay = 300 * time.Millisecond
	// minStartRetryDelay is the minimum delay between two attempts of a starting entry to get its first version.
	minStartRetryDelay = 200 * time.Millisecond
	// electionInterval is the interval at which an entry decides whether it has to watch the store.
	electionInterval = time.Second
	// storeTimeout is the timeout of reading the store at start, and after calls to the peers failed.
	storeTimeout = 5 * time.Second
)

// Limits of a Follower.
const (
	// WatchersPerZone is the number of entries in each availability zone that watch the store.
	WatchersPerZone = 2
	// maxRecentVersions limits the recent versions in memory. A peer whose version is among them receives only the changed
	// rows.
	maxRecentVersions = 32
	// maxStartPeers limits the peers that a starting entry calls.
	maxStartPeers = 16
	// maxCheckPeers limits the peers that one check calls if they do not respond.
	maxCheckPeers = 3
)

// Member is a live entry.
type Member struct {
	Instance string
	Zone     string
}

// Peers communicates with the other entries.
type Peers interface {
	// Call makes a peer call; peer.Client implements it.
	Call(ctx context.Context, instance, method string, payload []byte) ([]byte, error)
	// Members returns the entries considered live, including this one.
	Members() []Member
	// Announce sends a TableAnnounce to the instances without blocking. Messages may be lost.
	Announce(instances []string, version uint64)
}

// Events receives events of the table in this process. Its methods must not block.
type Events interface {
	// TableInForce reports that a new version is in force in this process, and its source: "store", "peer" or "publisher".
	TableInForce(c *Compiled, source string)
	// TableFailed reports a failed read from a source. The version in force is unchanged.
	TableFailed(source string, err error)
	// TableForked reports that a peer has different rows under the same version number, which a correct store prevents.
	TableForked(instance string, number uint64)
}

// FollowerOptions configure a Follower.
type FollowerOptions struct {
	Instance string
	Zone     string
	Client   store.Client
	Peers    Peers
	// Events may be nil.
	Events Events
}

// Follower puts the highest accepted version in force in this process. It never returns to an older version.
type Follower struct {
	opt     FollowerOptions
	log     Log
	current atomic.Pointer[Compiled]
	ready   chan struct{}
	wake    chan struct{}

	mu        sync.Mutex
	recent    []*Compiled
	announced map[string]uint64
}

// NewFollower returns a follower; Run starts it.
func NewFollower(o FollowerOptions) *Follower {
	return &Follower{
		opt: o, log: Log{Client: o.Client}, ready: make(chan struct{}), wake: make(chan struct{}, 1),
		announced: map[string]uint64{},
	}
}

// Current returns the version in force, or nil if no version is known yet.
func (f *Follower) Current() *Compiled { return f.current.Load() }

// Ready returns a channel that is closed when the first version is in force.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Number returns the number of the version in force, or 0 if there is none. Hello and Heartbeat messages carry it.
func (f *Follower) Number() uint64 {
	if c := f.Current(); c != nil {
		return c.Number()
	}
	return 0
}

// Offer puts a version that was accepted through this process in force and announces it.
func (f *Follower) Offer(v *Version) { f.install(Compile(v), "publisher") }

// OnAnnounce handles a version number that a peer sent in a TableAnnounce, Hello or Heartbeat. It does not block.
func (f *Follower) OnAnnounce(from string, number uint64) {
	if number <= f.Number() {
		return
	}
	f.mu.Lock()
	f.announced[from] = max(f.announced[from], number)
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// HandleFetch handles a MethodFetch call.
func (f *Follower) HandleFetch(_ context.Context, payload []byte) ([]byte, error) {
	var req FetchRequest
	if err := fetchDecoder.Unmarshal(payload, &req); err != nil {
		return nil, fmt.Errorf("decode %s: %w", MethodFetch, err)
	}
	current := f.Current()
	switch {
	case current == nil:
		return cbor.Marshal(FetchReply{})
	case current.Number() <= req.Have:
		return cbor.Marshal(FetchReply{Number: current.Number(), Checksum: current.Checksum()})
	default:
		return cbor.Marshal(newFetchReply(current, f.recentVersion(req.Have, req.Checksum)))
	}
}

func (f *Follower) recentVersion(number uint64, sum string) *Compiled {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.recent {
		if c.Number() == number && c.Checksum() == sum {
			return c
		}
	}
	return nil
}

// Run keeps the table up to date until ctx is cancelled.
func (f *Follower) Run(ctx context.Context) {
	f.start(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { f.watchWhileElected(ctx) })
	// Checks have their own goroutine, because they may wait for unresponsive peers or an unresponsive store, which must
	// not delay announced versions.
	wg.Go(func() { f.runChecks(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
			f.fetchAnnounced(ctx)
		}
	}
}

func (f *Follower) runChecks(ctx context.Context) {
	timer := time.NewTimer(jitteredCheckInterval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			f.check(ctx)
			timer.Reset(jitteredCheckInterval())
		}
	}
}

func jitteredCheckInterval() time.Duration {
	return checkInterval - checkInterval/5 + rand.N(checkInterval*2/5)
}

// start gets the first version, from the store and the peers in parallel. It waits for the store or for all called peers,
// whichever is first, and for the other one if the first yields no version. The response of a single peer is not
// sufficient, because that peer may be outdated.
func (f *Follower) start(ctx context.Context) {
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, storeTimeout)
		done := make(chan struct{}, 2)
		go func() { f.fetchFromPeers(attempt); done <- struct{}{} }()
		go func() { f.readStore(attempt); done <- struct{}{} }()
		<-done
		if f.Current() == nil {
			<-done
		}
		cancel()
		if f.Current() != nil {
			return
		}
		select {
		case <-time.After(minStartRetryDelay + rand.N(minStartRetryDelay)):
		case <-ctx.Done():
		}
	}
}

// fetchFromPeers calls several peers in parallel and installs the highest version that they return.
func (f *Follower) fetchFromPeers(ctx context.Context) {
	peers := f.peersWatchersFirst()
	if len(peers) > maxStartPeers {
		peers = peers[:maxStartPeers]
	}
	var wg sync.WaitGroup
	for _, instance := range peers {
		wg.Go(func() { _ = f.fetch(ctx, instance) })
	}
	wg.Wait()
}

func (f *Follower) readStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := f.readHead(ctx); err != nil {
		f.reportFailure("store", err)
	}
}

func (f *Follower) readHead(ctx context.Context) error {
	head, err := f.log.Head(ctx, f.Number())
	if err == nil && head != nil {
		f.install(Compile(head), "store")
	}
	return err
}

// watchWhileElected watches the store while this entry is one of the watchers of its availability zone.
func (f *Follower) watchWhileElected(ctx context.Context) {
	var stop context.CancelFunc
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		elected := slices.Contains(zoneWatchers(f.opt.Peers.Members(), f.opt.Zone), f.opt.Instance)
		switch {
		case elected && stop == nil:
			var watching context.Context
			watching, stop = context.WithCancel(ctx)
			wg.Go(func() { f.watch(watching) })
		case !elected && stop != nil:
			stop()
			stop = nil
		}
		select {
		case <-time.After(electionInterval):
		case <-ctx.Done():
		}
	}
	if stop != nil {
		stop()
	}
}

func (f *Follower) watch(ctx context.Context) {
	feed := store.Feed{
		Client: f.opt.Client, Kind: Kind,
		OnObjects: func(objs []store.Object) {
			for _, obj := range objs {
				f.installObject(obj)
			}
		},
		OnGap:   f.readHead,
		OnError: func(err error) { f.reportFailure("store", err) },
	}
	feed.Run(ctx)
}

func (f *Follower) installObject(obj store.Object) {
	if obj.Deleted {
		return
	}
	v, err := decodeObject(obj)
	if err != nil {
		f.reportFailure("store", err)
		return
	}
	f.install(Compile(v), "store")
}

// fetchAnnounced fetches announced versions, the highest first, from the peers that announced them.
func (f *Follower) fetchAnnounced(ctx context.Context) {
	for ctx.Err() == nil {
		from, ok := f.nextAnnounced()
		if !ok {
			return
		}
		if err := f.fetch(ctx, from); err != nil {
			f.reportFailure("peer", err)
		}
	}
}

// nextAnnounced removes the announcement with the highest number and returns the peer that sent it.
func (f *Follower) nextAnnounced() (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	best, number := "", f.Number()
	for from, n := range f.announced {
		if n <= f.Number() {
			delete(f.announced, from)
		} else if n > number || n == number && from < best {
			best, number = from, n
		}
	}
	delete(f.announced, best)
	return best, best != ""
}

// check fetches a newer version, if there is one, from one of at most maxCheckPeers peers, or from the store if the calls
// to all of them fail. Until a call succeeds, it calls a further peer every checkHedgeDelay, without cancelling the earlier
// calls.
func (f *Follower) check(ctx context.Context) {
	peers := f.peersWatchersFirst()
	peers = peers[:min(maxCheckPeers, len(peers))]
	results := make(chan error, len(peers))
	called, failed := 0, 0
	next := time.NewTimer(0)
	defer next.Stop()
	for failed < len(peers) {
		select {
		case <-next.C:
			if called < len(peers) {
				instance := peers[called]
				go func() { results <- f.fetch(ctx, instance) }()
				called++
				next.Reset(checkHedgeDelay)
			}
		case err := <-results:
			if err == nil {
				return
			}
			f.reportFailure("peer", err)
			failed++
		}
	}
	f.readStore(ctx)
}

// peersWatchersFirst returns the other entries in random order, with those that watch the store first.
func (f *Follower) peersWatchersFirst() []string {
	members := slices.Clone(f.opt.Peers.Members())
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	all := allWatchers(members)
	var watchers, others []string
	for _, m := range members {
		switch {
		case m.Instance == f.opt.Instance:
		case slices.Contains(all, m.Instance):
			watchers = append(watchers, m.Instance)
		default:
			others = append(others, m.Instance)
		}
	}
	return append(watchers, others...)
}

// fetch gets a newer version from one peer and puts it in force.
func (f *Follower) fetch(ctx context.Context, instance string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := f.callFetch(ctx, instance, f.Current())
	if err != nil {
		return err
	}
	current := f.Current()
	if current != nil && r.Number == current.Number() && r.Checksum != current.Checksum() && f.opt.Events != nil {
		f.opt.Events.TableForked(instance, r.Number)
	}
	if r.Number <= f.Number() {
		return nil
	}
	v, err := r.version(current)
	if err != nil && r.Base != 0 {
		// The version in force changed during the call, so the difference does not apply. Get the whole table.
		if r, err = f.callFetch(ctx, instance, nil); err == nil {
			v, err = r.version(nil)
		}
	}
	if err != nil {
		return fmt.Errorf("%s from %s: %w", MethodFetch, instance, err)
	}
	f.install(Compile(v), "peer")
	return nil
}

func (f *Follower) callFetch(ctx context.Context, instance string, have *Compiled) (*FetchReply, error) {
	var req FetchRequest
	if have != nil {
		req = FetchRequest{Have: have.Number(), Checksum: have.Checksum()}
	}
	payload, err := cbor.Marshal(req)
	if err != nil {
		return nil, err
	}
	data, err := f.opt.Peers.Call(ctx, instance, MethodFetch, payload)
	if err != nil {
		return nil, fmt.Errorf("%s from %s: %w", MethodFetch, instance, err)
	}
	var r FetchReply
	if err := fetchDecoder.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("%s from %s: %w", MethodFetch, instance, err)
	}
	return &r, nil
}

// install puts a version in force if it is newer than the one in force.
func (f *Follower) install(c *Compiled, source string) {
	f.mu.Lock()
	if old := f.Current(); old != nil && c.Number() <= old.Number() {
		f.mu.Unlock()
		return
	}
	first := f.Current() == nil
	f.current.Store(c)
	f.recent = append(f.recent, c)
	if len(f.recent) > maxRecentVersions {
		f.recent = slices.Delete(f.recent, 0, 1)
	}
	f.mu.Unlock()
	if first {
		close(f.ready)
	}
	if f.opt.Events != nil {
		f.opt.Events.TableInForce(c, source)
	}
	f.announce(c.Number(), source)
}

// announce sends a new version number to the peers: a watcher sends it to all entries of its availability zone, a
// publisher to the watchers of all zones.
func (f *Follower) announce(number uint64, source string) {
	members := f.opt.Peers.Members()
	var to []string
	if slices.Contains(zoneWatchers(members, f.opt.Zone), f.opt.Instance) {
		to = zoneInstances(members, f.opt.Zone)
	}
	if source == "publisher" {
		to = append(to, allWatchers(members)...)
	}
	slices.Sort(to)
	to = slices.Compact(to)
	to = slices.DeleteFunc(to, func(i string) bool { return i == f.opt.Instance })
	if len(to) > 0 {
		f.opt.Peers.Announce(to, number)
	}
}

func (f *Follower) reportFailure(source string, err error) {
	if f.opt.Events != nil && !errors.Is(err, context.Canceled) {
		f.opt.Events.TableFailed(source, err)
	}
}

// zoneWatchers returns the entries of a zone that watch the store. It selects those with the highest hash of their name:
// all entries with the same member list choose the same watchers, and a membership change replaces few of them.
func zoneWatchers(members []Member, zone string) []string {
	names := zoneInstances(members, zone)
	slices.SortFunc(names, func(a, b string) int {
		if x, y := nameHash(a), nameHash(b); x != y {
			if x > y {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	return names[:min(WatchersPerZone, len(names))]
}

func zoneInstances(members []Member, zone string) []string {
	var names []string
	for _, m := range members {
		if m.Zone == zone {
			names = append(names, m.Instance)
		}
	}
	return names
}

func allWatchers(members []Member) []string {
	var zones, watchers []string
	for _, m := range members {
		if !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
			watchers = append(watchers, zoneWatchers(members, m.Zone)...)
		}
	}
	return watchers
}

func nameHash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return h.Sum64()
}
