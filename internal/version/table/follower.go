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

// Timing of a Follower. Together they bound the time to be in force everywhere, announcements lost or not.
const (
	// checkEvery is the time between two comparisons of the version number with a watching entry, plus or minus a fifth.
	checkEvery = 3 * time.Second
	// callTimeout bounds one call to a peer.
	callTimeout = time.Second
	// checkHedge is the time after which a check asks another peer as well.
	checkHedge = 300 * time.Millisecond
	// startRetry is the wait between two attempts of a starting entry to learn a first version.
	startRetry = 200 * time.Millisecond
	// electEvery is the time between two decisions whether this entry watches the store.
	electEvery = time.Second
	// storeTimeout bounds one read of the store after the peers failed.
	storeTimeout = 5 * time.Second
)

// Numbers of a Follower.
const (
	// WatchersPerZone is the number of entries in each availability zone that watch the store.
	WatchersPerZone = 2
	// keptVersions is the number of versions kept, so that a peer that is a little behind receives only changed rows.
	keptVersions = 32
	// startPeers bounds the peers that a starting entry asks.
	startPeers = 16
	// checkPeers bounds the peers that one check asks when they do not answer.
	checkPeers = 3
)

// Member is a live entry.
type Member struct {
	Instance string
	Zone     string
}

// Peers reaches the other entries.
type Peers interface {
	// Call makes a peer call; peer.Caller implements it.
	Call(ctx context.Context, instance, method string, payload []byte) ([]byte, error)
	// Members returns the entries believed to be alive, this one included.
	Members() []Member
	// Announce sends a TableAnnounce to the instances, without waiting. It may be lost.
	Announce(instances []string, version uint64)
}

// Events is told of what happens to the table in this process. Methods must not block.
type Events interface {
	// TableInForce reports a new version in force here, and where it came from: "store", "peer" or "publisher".
	TableInForce(c *Compiled, source string)
	// TableFailed reports a failed read; the version in force is unchanged.
	TableFailed(source string, err error)
	// TableForked reports that a peer has other rows under the same number, which a correct store never allows.
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

// Follower keeps the highest accepted version in force in this process. It never steps back to an older version.
type Follower struct {
	opt     FollowerOptions
	log     Log
	current atomic.Pointer[Compiled]
	ready   chan struct{}
	wake    chan struct{}

	mu        sync.Mutex
	kept      []*Compiled
	announced map[string]uint64
}

// NewFollower returns a follower; Run starts it.
func NewFollower(o FollowerOptions) *Follower {
	return &Follower{
		opt: o, log: Log{Client: o.Client}, ready: make(chan struct{}), wake: make(chan struct{}, 1),
		announced: map[string]uint64{},
	}
}

// Current returns the version in force, or nil before the first one is known.
func (f *Follower) Current() *Compiled { return f.current.Load() }

// Ready is closed once a first version is in force.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Number returns the number of the version in force, 0 for none. It belongs into Hello and Heartbeat messages.
func (f *Follower) Number() uint64 {
	if c := f.Current(); c != nil {
		return c.Number()
	}
	return 0
}

// Offer puts a version that was accepted through this process in force and announces it.
func (f *Follower) Offer(v *Version) { f.install(Compile(v), "publisher") }

// OnAnnounce handles a version number received from a peer, in a TableAnnounce, Hello or Heartbeat. It does not block.
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

// HandleFetch answers a MethodFetch call.
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
		return cbor.Marshal(FetchReply{Number: current.Number(), Sum: current.Sum()})
	default:
		return cbor.Marshal(reply(current, f.keptVersion(req.Have, req.Sum)))
	}
}

func (f *Follower) keptVersion(number uint64, sum string) *Compiled {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.kept {
		if c.Number() == number && c.Sum() == sum {
			return c
		}
	}
	return nil
}

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.start(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { f.watchWhileElected(ctx) })
	// Checks run beside the announcements, which must not wait for peers and a store that do not answer.
	wg.Go(func() { f.checkForever(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
			f.followAnnounced(ctx)
		}
	}
}

func (f *Follower) checkForever(ctx context.Context) {
	timer := time.NewTimer(checkInterval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			f.check(ctx)
			timer.Reset(checkInterval())
		}
	}
}

func checkInterval() time.Duration {
	return checkEvery - checkEvery/5 + rand.N(checkEvery*2/5)
}

// start learns a first version from the store and the peers at once. The store's answer, or that of all peers asked,
// is enough; a single peer's is not, because it may be behind.
func (f *Follower) start(ctx context.Context) {
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, storeTimeout)
		done := make(chan struct{}, 2)
		go func() { f.askPeers(attempt); done <- struct{}{} }()
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
		case <-time.After(startRetry + rand.N(startRetry)):
		case <-ctx.Done():
		}
	}
}

// askPeers asks several peers and keeps the highest version among their answers.
func (f *Follower) askPeers(ctx context.Context) {
	peers := f.peersWatchersFirst()
	if len(peers) > startPeers {
		peers = peers[:startPeers]
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
		f.failed("store", err)
	}
}

func (f *Follower) readHead(ctx context.Context) error {
	head, err := f.log.Head(ctx, f.Number())
	if err == nil && head != nil {
		f.install(Compile(head), "store")
	}
	return err
}

// watchWhileElected watches the store whenever this entry is one of its zone's watchers.
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
		case <-time.After(electEvery):
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
		OnError: func(err error) { f.failed("store", err) },
	}
	feed.Run(ctx)
}

func (f *Follower) installObject(obj store.Object) {
	if obj.Deleted {
		return
	}
	v, err := decodeObject(obj)
	if err != nil {
		f.failed("store", err)
		return
	}
	f.install(Compile(v), "store")
}

// followAnnounced fetches the highest announced version, from the peers that announced it.
func (f *Follower) followAnnounced(ctx context.Context) {
	for ctx.Err() == nil {
		from, ok := f.nextAnnounced()
		if !ok {
			return
		}
		if err := f.fetch(ctx, from); err != nil {
			f.failed("peer", err)
		}
	}
}

// nextAnnounced takes the announcement of the highest number.
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

// check compares the number in force with a watching entry, and with the store when no peer answers.
// Peers are asked one after the other at short intervals without giving up the earlier ones.
func (f *Follower) check(ctx context.Context) {
	peers := f.peersWatchersFirst()
	peers = peers[:min(checkPeers, len(peers))]
	results := make(chan error, len(peers))
	asked, failed := 0, 0
	next := time.NewTimer(0)
	defer next.Stop()
	for failed < len(peers) {
		select {
		case <-next.C:
			if asked < len(peers) {
				instance := peers[asked]
				go func() { results <- f.fetch(ctx, instance) }()
				asked++
				next.Reset(checkHedge)
			}
		case err := <-results:
			if err == nil {
				return
			}
			f.failed("peer", err)
			failed++
		}
	}
	f.readStore(ctx)
}

// peersWatchersFirst returns the other entries in random order, those that watch the store before the rest.
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

// fetch asks one peer for a newer version and puts it in force.
func (f *Follower) fetch(ctx context.Context, instance string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := f.callFetch(ctx, instance, f.Current())
	if err != nil {
		return err
	}
	own := f.Current()
	if own != nil && r.Number == own.Number() && r.Sum != own.Sum() && f.opt.Events != nil {
		f.opt.Events.TableForked(instance, r.Number)
	}
	if r.Number <= f.Number() {
		return nil
	}
	v, err := r.version(own)
	if err != nil && r.Base != 0 {
		// The own version moved on during the call; ask for the whole table.
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
		req = FetchRequest{Have: have.Number(), Sum: have.Sum()}
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

// install puts a version in force unless it is older than the one in force.
func (f *Follower) install(c *Compiled, source string) {
	f.mu.Lock()
	if old := f.Current(); old != nil && c.Number() <= old.Number() {
		f.mu.Unlock()
		return
	}
	first := f.Current() == nil
	f.current.Store(c)
	f.kept = append(f.kept, c)
	if len(f.kept) > keptVersions {
		f.kept = slices.Delete(f.kept, 0, 1)
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

// announce tells the peers that depend on this entry: a watcher tells its zone, and a publisher tells every watcher.
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

func (f *Follower) failed(source string, err error) {
	if f.opt.Events != nil && !errors.Is(err, context.Canceled) {
		f.opt.Events.TableFailed(source, err)
	}
}

// zoneWatchers returns the entries of a zone that watch the store: those with the highest hash of their name, so that
// all entries with the same list agree and a change of the list moves few of them.
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
