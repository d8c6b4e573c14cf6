// Package edge runs an entry that sends straight to the replicas: it follows the configuration and the list of replicas
// in the store, shares its load with the other edges, and forwards requests.
package edge

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/direct"
	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/process/gossip"
	"github.com/dragonflypin/dragonflypin/internal/process/metrics"
	"github.com/dragonflypin/dragonflypin/internal/process/replicas"
	"github.com/dragonflypin/dragonflypin/internal/process/settings"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/request/forward"
	"github.com/dragonflypin/dragonflypin/internal/request/place"
	"github.com/dragonflypin/dragonflypin/internal/request/retry"
	"github.com/dragonflypin/dragonflypin/internal/version/routes"
)

// Denial says why a request is not forwarded.
type Denial uint8

// Denials.
const (
	Allowed Denial = iota
	// DeniedNoRoute means that no route matches.
	DeniedNoRoute
	// DeniedKey means that the key is missing or not known.
	DeniedKey
	// DeniedBodySize means that the body is above the configured bound.
	DeniedBodySize
	// DeniedBody means that the body could not be read.
	DeniedBody
)

// Responder is a forward.Responder that tells whether the answer was cut.
type Responder interface {
	forward.Responder
	Aborted() bool
}

// Front decodes callers' requests and encodes their answers.
type Front interface {
	// Decode reads a request under a configuration.
	Decode(v *routes.Version, r *http.Request, arrived time.Time) (*forward.Request, Denial)
	// Responder answers the request with the ID.
	Responder(w http.ResponseWriter, requestID string) Responder
	// RequestID names the caller's attempt, for logs.
	RequestID(r *http.Request) string
}

// Source reads what the store holds.
type Source struct {
	ConfigurationKind, ConfigurationName string
	ReplicaKind                          string
	// Configuration reads the configuration object.
	Configuration func(store.Object) (*routes.Version, error)
	// Replica reads an entry of the list of replicas. With an error, the change still names the entry.
	Replica func(store.Object) (replicas.Change, error)
}

// Deps are what an edge needs from its surroundings.
type Deps struct {
	Store   store.Client
	Source  Source
	Front   Front
	Dialect forward.Dialect
	Log     *eventlog.Log
	Metrics *metrics.Metrics
	// Reload reads the machine's settings again.
	Reload func() (settings.Node, error)
	// Hangup receives a signal when the settings have changed.
	Hangup <-chan os.Signal
	// DroppedLines returns the number of log lines that a slow reader has cost so far; it may be nil.
	DroppedLines func() int64
}

const (
	// tickInterval is the time between two runs of the periodic work.
	tickInterval = 100 * time.Millisecond
	// readHeaderTimeout and idleTimeout are above what configurations allow, so that they end only connections that are
	// of no use: a caller's connection that is closed early costs the caller a request.
	readHeaderTimeout = 30 * time.Second
	idleTimeout       = 3 * time.Minute
	// headerBytes bounds a request's head; it is four times the bound of the configurations on the sheets.
	headerBytes = 64 << 10
	// memoryShare is the share of the machine's memory at which the garbage collector works harder.
	memoryShare = 0.7
	// isolatedReload is the time between reads of the settings while no other edge is heard: the seeds may have changed.
	isolatedReload = 2 * time.Second
)

// Edge is one process. Create it with New.
type Edge struct {
	node settings.Node
	cfg  settings.Edge
	deps Deps

	routes    routes.Holder
	registry  *replicas.Registry
	placer    *place.Placer
	pool      *direct.Pool
	forwarder *forward.Forwarder
	gossip    *gossip.Node
	observer  *observer
	fresh     *freshness
	coverage  coverage
	// configurationFeed and replicaFeed follow the store.
	configurationFeed, replicaFeed *store.Feed

	callers, ready, metrics net.Listener
	// draining is set by the order to stop, leaving once callers are asked to go, refusing once new requests are refused.
	draining atomic.Bool
	leaving  atomic.Bool
	refusing atomic.Bool
	// ends is when the process ends at the latest; set with draining.
	ends     atomic.Pointer[time.Time]
	inFlight atomic.Int64
	// updating orders the updates of the placer's view.
	updating sync.Mutex
}

// New binds the listeners.
func New(node settings.Node, cfg settings.Edge, deps Deps) (*Edge, error) {
	settings.ApplyDefaults(&cfg)
	if node.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(node.MemoryBytes)))
	}
	e := &Edge{node: node, cfg: cfg, deps: deps, registry: replicas.NewRegistry(), placer: place.New(node.Zone, cfg.Placement, rand.Uint64()), pool: direct.NewPool()}
	e.fresh = newFreshness(node.ApplyBound, deps.Source.ConfigurationKind, deps.Source.ReplicaKind)
	e.configurationFeed, e.replicaFeed = e.followConfiguration(), e.followReplicas()
	e.observer = newObserver(&deps, cfg.LogLinesPerSecond)
	e.forwarder = &forward.Forwarder{
		Placer: e.placer, Pool: e.pool, Dialect: deps.Dialect, Budgets: forward.NewBudgets(e.retrySettings), Observer: e.observer,
	}
	var err error
	if e.gossip, err = gossip.New(e.gossipOptions()); err != nil {
		return nil, err
	}
	for _, l := range []struct {
		at   netip.AddrPort
		into *net.Listener
	}{
		{node.CallerListen, &e.callers}, {node.ReadyListen, &e.ready},
		{netip.AddrPortFrom(node.Address, uint16(cfg.MetricsPort)), &e.metrics},
	} {
		if *l.into, err = net.Listen("tcp4", l.at.String()); err != nil {
			return nil, fmt.Errorf("listen on %s: %w", l.at, err)
		}
	}
	return e, nil
}

// retrySettings divides the shared budget by the number of edges.
func (e *Edge) retrySettings() retry.Settings {
	edges := float64(1 + e.placer.Board.Entries())
	return retry.Settings{
		Ratio: retryShare * e.node.RetryRatio, Window: e.node.RetryWindow,
		Reserve:     max(1, retryShare*e.node.RetryReserve/edges),
		MaxAttempts: maxSends,
	}
}

const (
	// retryShare keeps a part of the shared budget for edges that are not heard for a moment.
	retryShare = 0.5
	// maxSends bounds the sends of one request beside its route's own bound.
	maxSends = 5
)

func (e *Edge) gossipOptions() gossip.Options {
	return gossip.Options{
		Listen: netip.AddrPortFrom(e.node.Address, e.node.PeerPort), Seeds: e.node.Seeds,
		Collect:  e.collect,
		OnReport: e.report,
		OnPeer: func(peer netip.Addr, heard bool) {
			state := "silent"
			if heard {
				state = "heard"
			}
			e.deps.Log.Emit(eventlog.EdgePeer, eventlog.Peer(peer.String()), eventlog.Reason(state))
		},
		OnError: func(err error) { e.observer.troubled(eventlog.EdgeGossipFailed, err) },
	}
}

func (e *Edge) collect() gossip.State {
	own := map[place.Key]place.Load{}
	now := time.Now()
	fresh, answers := e.fresh.tell(e.version(), now)
	fresh.Replicas = e.coverage.tell(now)
	state := gossip.State{Changes: e.placer.Board.Own(own, now) + answers, Freshness: fresh}
	for k, l := range own {
		state.Loads = append(state.Loads, gossip.Load{
			Replica: uint32(k), Running: uint32(l.Running), Short: uint32(l.Short), Prefill: uint32(l.Prefill), Waiting: uint32(l.Waiting), Urgent: uint32(l.Urgent),
			Gaps: uint32(l.Gaps), GapTime: uint32(l.GapTime),
		})
	}
	for _, note := range e.placer.FreshNotes() {
		state.Notes = append(state.Notes, gossip.Note{Replica: uint32(note.Replica), Part: note.Part})
	}
	return state
}

func (e *Edge) report(from netip.Addr, r *gossip.Report) {
	now := time.Now()
	e.fresh.hear(r.Fresh, now)
	e.heardCoverage(r.Fresh.Replicas, now)
	seen := make(map[place.Key]place.Load, len(r.Loads))
	for _, l := range r.Loads {
		seen[place.Key(l.Replica)] = place.Load{
			Running: int(l.Running), Short: int(l.Short), Prefill: int(l.Prefill), Waiting: int(l.Waiting), Urgent: int(l.Urgent),
			Gaps: int(l.Gaps), GapTime: int(l.GapTime),
		}
	}
	told := make([]place.Note, 0, len(r.Notes))
	for _, n := range r.Notes {
		told = append(told, place.Note{Replica: place.Key(n.Replica), Part: n.Part})
	}
	e.placer.Reported(from.String(), seen, told, now)
}

// heardCoverage spares this edge a call for what another one has read, or makes it ask for what another one has found.
func (e *Edge) heardCoverage(c gossip.Coverage, now time.Time) {
	e.replicaFeed.Hurry(c.Found)
	e.replicaFeed.Advance(c.From, c.To, now.Add(-time.Duration(c.AgeMs)*time.Millisecond))
}

// ask asks the store for what its watches may have missed.
func (e *Edge) ask() {
	e.configurationFeed.Refresh()
	e.replicaFeed.Refresh()
}

// Run serves until ctx ends and the drain is over.
func (e *Edge) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var work sync.WaitGroup
	for _, run := range []func(context.Context){e.configurationFeed.Run, e.replicaFeed.Run, e.gossip.Run, e.pool.Run, e.tick, e.observer.run} {
		work.Go(func() { run(background) })
	}
	server := &http.Server{
		Handler: e, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: e.observer.serverLog(),
	}
	readyServer := &http.Server{Handler: http.HandlerFunc(e.serveReady), ReadHeaderTimeout: readHeaderTimeout, ErrorLog: e.observer.serverLog()}
	metricsServer := &http.Server{Handler: e.metricsHandler(), ReadHeaderTimeout: readHeaderTimeout, ErrorLog: e.observer.serverLog()}
	failed := make(chan error, 3)
	serve := func(s *http.Server, l net.Listener) {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- fmt.Errorf("serve on %s: %w", l.Addr(), err)
		}
	}
	go serve(server, e.callers)
	go serve(readyServer, e.ready)
	go serve(metricsServer, e.metrics)
	e.deps.Log.Emit(eventlog.EdgeStarted, eventlog.Address(e.node.CallerListen.String()))
	var err error
	select {
	case <-ctx.Done():
		e.drain(server)
	case err = <-failed:
	}
	_ = readyServer.Close()
	_ = metricsServer.Close()
	stop()
	work.Wait()
	return err
}

// tick does the periodic work and reads the settings again when they may have changed.
func (e *Edge) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	reloaded := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.deps.Hangup:
			e.reload()
		case now := <-ticker.C:
			e.placer.Tick(now)
			if e.fresh.due(now, e.gossip.Rank(), turnStep(e.gossip.Interval())) || e.fresh.behind(e.version(), e.replicaFeed.Revision(), now) {
				e.ask()
			}
			if gone := e.registry.Expire(now); len(gone) > 0 {
				e.listChanged("lapsed")
			}
			if e.gossip.Live() == 0 && now.Sub(reloaded) >= isolatedReload {
				reloaded = now
				// Without a line for the usual case, a single edge.
				if _, err := e.reloadSeeds(); err != nil {
					e.observer.troubled(eventlog.EdgeReloadFailed, err)
				}
			}
		}
	}
}

// reloadSeeds reads the seeds again and returns their number.
func (e *Edge) reloadSeeds() (int, error) {
	node, err := e.deps.Reload()
	if err != nil {
		return 0, err
	}
	e.gossip.SetSeeds(node.Seeds)
	return len(node.Seeds), nil
}

func (e *Edge) reload() {
	seeds, err := e.reloadSeeds()
	if err != nil {
		e.deps.Log.Emit(eventlog.EdgeReloadFailed, eventlog.Err(err))
		return
	}
	e.deps.Log.Emit(eventlog.EdgeReloaded, eventlog.Count(seeds))
}

// Ready reports whether callers should come to this edge.
func (e *Edge) Ready() bool {
	return !e.draining.Load() && e.routes.Current() != nil && e.registry.Listed()
}

func (e *Edge) serveReady(w http.ResponseWriter, _ *http.Request) {
	if e.Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (e *Edge) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", e.deps.Metrics.Handler())
	return mux
}
