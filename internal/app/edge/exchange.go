package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/process/gossip"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/process/transfer"
)

const (
	// behindDelay is how long another edge may have a newer configuration before this one asks it. An edge that hears of a change
	// reads it from the store within some ms, unless the store refuses it or the change was missed.
	behindDelay = 300 * time.Millisecond
	// fetchTimeout is the time without progress after which a fetch of the configuration from another edge ends.
	fetchTimeout = time.Second
	// configurationPath is served to other edges over TCP, at the number of the port for datagrams.
	configurationPath = "/configuration"
)

// revisionHeader carries the revision of a configuration that one edge sends to another as the body.
const revisionHeader = "Dragonflypin-Revision"

// configurationExchange gets the configuration from other edges when they have a newer one and the store does not deliver it.
type configurationExchange struct {
	edge   *Edge
	client *http.Client

	mu sync.Mutex
	// current is the object of the newest configuration, and version its number, for other edges.
	current  store.Object
	version  uint64
	lag      versionLag
	fetching bool
}

func newConfigurationExchange(e *Edge) *configurationExchange {
	dialer := &net.Dialer{Timeout: fetchTimeout, LocalAddr: &net.TCPAddr{IP: e.node.Address.AsSlice()}}
	return &configurationExchange{edge: e, client: &http.Client{
		Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
	}}
}

// applied records the object of a configuration that was put in force.
func (x *configurationExchange) applied(version uint64, o store.Object) {
	x.mu.Lock()
	defer x.mu.Unlock()
	// Not the revision: a store that comes back from an older copy gives revisions out again.
	if version > x.version {
		x.version, x.current = version, o
	}
}

// inForce returns the object of the configuration in force; its revision is 0 if there is none yet.
func (x *configurationExchange) inForce() store.Object {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.current
}

// onReport compares the version of another edge with the own one.
func (x *configurationExchange) onReport(from netip.Addr, f gossip.Freshness, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.fetching && !x.edge.configuration.feed.Receiving() && x.lag.isFetchDue(x.edge.version(), f.Version, now) {
		x.fetching = true
		go x.fetch(from)
	}
}

// versionLag tells how long another edge has had a newer configuration.
type versionLag struct {
	// since is when another edge first reported a newer version than own, which was in force here.
	since time.Time
	own   uint64
}

// isFetchDue reports whether the edge, which has the version own, should fetch the configuration of one that reports another version.
// A new process, without a version, should not: it serves nothing before it has read the store, from which others may be cut off.
func (l *versionLag) isFetchDue(own, reported uint64, now time.Time) bool {
	if own == 0 || reported <= own {
		return false
	}
	if l.own != own {
		l.since, l.own = now, own
	}
	return now.Sub(l.since) >= behindDelay
}

// fetch gets and applies the configuration of another edge.
func (x *configurationExchange) fetch(from netip.Addr) {
	began := time.Now()
	o, err := x.get(from)
	if err == nil && x.edge.acceptConfiguration(o, received{sourceEdge, began, time.Now()}) {
		x.edge.deps.Log.Emit(eventlog.EdgeConfigurationFetched, eventlog.Peer(from.String()), eventlog.Version(x.edge.version()))
	}
	if err != nil {
		x.edge.observer.logError(eventlog.EdgeGossipFailed, fmt.Errorf("configuration of %s: %w", from, err))
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.fetching, x.lag = false, versionLag{}
}

func (x *configurationExchange) get(from netip.Addr) (store.Object, error) {
	url := "http://" + netip.AddrPortFrom(from, x.edge.node.PeerPort).String() + configurationPath
	ctx, guard := transfer.New(context.Background(), fetchTimeout, fetchTimeout)
	defer guard.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return store.Object{}, err
	}
	response, err := x.client.Do(request)
	if err != nil {
		return store.Object{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return store.Object{}, fmt.Errorf("status %d", response.StatusCode)
	}
	revision, err := strconv.ParseUint(response.Header.Get(revisionHeader), 10, 64)
	if err != nil {
		return store.Object{}, err
	}
	value, err := guard.Read(response.Body, response.ContentLength, store.MaxValue)
	if err != nil {
		return store.Object{}, err
	}
	source := &x.edge.deps.Source
	return store.Object{Kind: source.ConfigurationKind, Name: source.ConfigurationName, Revision: revision, Version: revision, Value: value}, nil
}

// ServeHTTP serves the configuration to other live edges only, because it has callers' keys.
func (x *configurationExchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	peer, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil || !slices.Contains(x.edge.gossip.LivePeers(), peer.Addr().Unmap()) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	current := x.inForce()
	if r.URL.Path != configurationPath || current.Revision == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set(revisionHeader, strconv.FormatUint(current.Revision, 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(current.Value)))
	_, _ = w.Write(current.Value) // the other edge may have left
}
