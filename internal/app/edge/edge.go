// Package edge runs an entry that sends requests directly to replicas: it watches the configuration and the list of
// replicas in the store, reports its outstanding load to the other edges, and forwards requests.
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
	"reflect"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/direct"
	"github.com/dragonflypin/dragonflypin/internal/connection/intake"
	"github.com/dragonflypin/dragonflypin/internal/process/duty"
	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/process/gossip"
	"github.com/dragonflypin/dragonflypin/internal/process/memory"
	"github.com/dragonflypin/dragonflypin/internal/process/metrics"
	"github.com/dragonflypin/dragonflypin/internal/process/replicas"
	"github.com/dragonflypin/dragonflypin/internal/process/settings"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/request/forward"
	"github.com/dragonflypin/dragonflypin/internal/request/place"
	"github.com/dragonflypin/dragonflypin/internal/request/retry"
	"github.com/dragonflypin/dragonflypin/internal/version/routes"
)

// Denial is the reason for which a request is not forwarded, or Allowed.
type Denial uint8

// Results of Front.Decode.
const (
	Allowed Denial = iota
	// DeniedNoRoute means that no route matches.
	DeniedNoRoute
	// DeniedKey means that the API key is missing or unknown.
	DeniedKey
	// DeniedBodySize means that the body exceeds the configured limit.
	DeniedBodySize
	// DeniedBody means that the body could not be read.
	DeniedBody
)

// Responder is a forward.Responder that reports whether the response was truncated.
type Responder interface {
	forward.Responder
	Aborted() bool
}

// Front decodes callers' requests and encodes the responses.
type Front interface {
	// Decode reads a request under a configuration.
	Decode(v *routes.Version, r *http.Request, arrived time.Time) (*forward.Request, Denial)
	// Responder returns a Responder that writes the response to the request with the ID to w.
	Responder(w http.ResponseWriter, requestID string) Responder
	// RequestID returns the ID of the caller's attempt, for logs.
	RequestID(r *http.Request) string
}

// Source decodes the objects of the store.
type Source struct {
	ConfigurationKind, ConfigurationName string
	ReplicaKind                          string
	// Configuration decodes the configuration object.
	Configuration func(store.Object) (*routes.Version, error)
	// RedactConfiguration returns the value of a configuration object without keys, for operators.
	RedactConfiguration func(value []byte) ([]byte, error)
	// Replica decodes an entry of the list of replicas. With an error, the change still has the ID of the entry.
	Replica func(store.Object) (replicas.Change, error)
}

// Deps are the dependencies of an Edge.
type Deps struct {
	Store   store.Client
	Source  Source
	Front   Front
	Dialect forward.Dialect
	// Platform makes the calls of the duties. It may be nil if the settings name none.
	Platform duty.Platform
	Log      *eventlog.Log
	Metrics  *metrics.Metrics
	// Reload reads the node settings again.
	Reload func() (settings.Node, error)
	// Hangup receives SIGHUP when the settings have changed.
	Hangup <-chan os.Signal
	// DroppedLines returns the number of log lines dropped so far because of a slow reader; it may be nil.
	DroppedLines func() int64
}

const (
	// tickInterval is the interval of the periodic work.
	tickInterval = 100 * time.Millisecond
	// callersShare is the share of the accepted connections that callers may take when all are in service. The rest is for readiness
	// checks, operators and other edges.
	callersShare = 0.9
	// ownResponseTimeout is how long a reader of a response that the edge makes itself may take. It is far above what they take.
	ownResponseTimeout = 10 * time.Second
	// memoryShare is the share of the node's memory that is set as the soft memory limit of the Go runtime, near which the
	// garbage collector runs more often.
	memoryShare = 0.7
	// isolatedReloadInterval is the time between reads of the settings while no other edge is live: the seeds may have
	// changed.
	isolatedReloadInterval = 2 * time.Second
)

// Edge serves callers and forwards their requests to replicas. Create it with New.
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
	guard     *guard
	memory    *memory.Budget
	intake    *intake.Set
	exchange  *configurationExchange
	// duties is nil if the settings name none.
	duties *duty.Node
	tally  *tallyExchange
	// discovery finds other edges by the store.
	discovery *discovery
	// configuration and replicas follow the store.
	configuration, replicas *followed
	// pending has the incomplete updates of other edges. It is only used by the goroutine that receives datagrams.
	pending assembly
	// storeFailing is set while the latest store call failed.
	storeFailing atomic.Bool

	callers, ready, metrics, peers net.Listener
	// draining is set when the drain starts, closingConnections once responses close their connections, and refusingLate
	// once requests that could not end in time are refused.
	draining           atomic.Bool
	closingConnections atomic.Bool
	refusingLate       atomic.Bool
	// exitDeadline is the latest time at which the process exits; set with draining.
	exitDeadline atomic.Pointer[time.Time]
	inFlight     atomic.Int64
	// updateMu serializes updates of the placer's view, and placeable is set once that view has a list of replicas.
	updateMu  sync.Mutex
	placeable atomic.Bool
}

// New returns an Edge with bound listeners.
func New(node settings.Node, cfg settings.Edge, deps Deps) (*Edge, error) {
	settings.ApplyDefaults(&cfg)
	if node.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(node.MemoryBytes)))
	}
	e := &Edge{
		node: node, cfg: cfg, deps: deps,
		registry: replicas.NewRegistry(), placer: place.New(node.Zone, cfg.Placement, rand.Uint64()), pool: direct.NewPool(),
		memory: memory.NewBudget(node.MemoryBytes),
	}
	conns := intake.MaxConns(node.Descriptors)
	e.intake = intake.New(intake.Options{Budget: e.memory, MaxConns: conns, Limits: func() intake.Limits { return intake.LimitsOf(e.routes.Current()) }})
	e.pool.Memory, e.pool.MaxConns = e.memory, conns
	e.exchange = newConfigurationExchange(e)
	e.configuration, e.replicas = e.followConfiguration(), e.followReplicas()
	e.observer = newObserver(&deps, cfg.LogLinesPerSecond)
	e.placer.Limits = place.NewReplicaLimits(node.Address.String())
	e.placer.Connected = e.pool.HasIdle
	e.guard = newGuard(e)
	e.forwarder = &forward.Forwarder{
		Placer: e.placer, Pool: e.pool, Dialect: deps.Dialect, Budgets: forward.NewBudgets(e.retrySettings), Memory: e.memory,
		Observer: e.observer, Paused: e.observer.paused, Guard: e.guard,
		Share: e.shareEvidence, ShareLimit: e.shareLimit, Leaving: e.recordLeaving, IsLeaving: e.registry.IsLeaving,
		HealthPath: e.healthPath, MaxIdle: e.maxIdle,
	}
	err := errors.Join(e.observeMemory(), deps.Metrics.UpstreamConnections(e.pool.OpenedBy, e.pool.ClosedBy, e.pool.BodiesBy))
	if err != nil {
		return nil, err
	}
	if e.gossip, err = gossip.New(e.gossipOptions()); err != nil {
		return nil, err
	}
	if e.tally = newTallyExchange(e, e.gossip.Epoch()); e.tally != nil {
		e.forwarder.Began = e.tally.began
		if err = deps.Metrics.ObserveUsageCounts(e.tally.stats); err != nil {
			e.gossip.Close()
			return nil, err
		}
	}
	e.discovery = e.newDiscovery()
	if err = deps.Metrics.OtherEdges(e.gossip.Live, e.discovery.alone.Load); err != nil {
		e.gossip.Close()
		return nil, err
	}
	e.duties = e.newDuties()
	for _, l := range []struct {
		address  netip.AddrPort
		listener *net.Listener
	}{
		{node.CallerListen, &e.callers}, {node.ReadyListen, &e.ready},
		{netip.AddrPortFrom(node.Address, uint16(cfg.MetricsPort)), &e.metrics},
		{netip.AddrPortFrom(node.Address, node.PeerPort), &e.peers},
	} {
		if *l.listener, err = net.Listen("tcp4", l.address.String()); err != nil {
			e.closeSockets()
			return nil, fmt.Errorf("listen on %s: %w", l.address, err)
		}
	}
	return e, nil
}

// closeSockets closes what New has opened, when it fails.
func (e *Edge) closeSockets() {
	e.gossip.Close()
	for _, l := range []net.Listener{e.callers, e.ready, e.metrics, e.peers} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// maxIdle returns this edge's share of the idle connections to each replica of a service.
func (e *Edge) maxIdle(service string) int {
	maxConnections := 0
	if v := e.routes.Current(); v != nil {
		maxConnections = v.Services[service].MaxConnections
	}
	return direct.IdleBound(maxConnections, 1+e.placer.Loads.Entries())
}

// healthPath returns the path of a service's health check, or an empty one.
func (e *Edge) healthPath(service string) string {
	if v := e.routes.Current(); v != nil {
		return v.Services[service].HealthPath
	}
	return ""
}

// retrySettings returns this edge's part of the shared retry budget: the ratio applies to the edge's own requests, and the
// reserve is divided by the number of edges.
func (e *Edge) retrySettings() retry.Settings {
	edges := float64(1 + e.placer.Loads.Entries())
	return retry.Settings{
		Ratio: retryShare * e.node.RetryRatio, Window: e.node.RetryWindow,
		Reserve:     max(1, retryShare*e.node.RetryReserve/edges),
		MaxAttempts: maxSends,
	}
}

const (
	// retryShare is the share of the retry budget that is used. The rest is left to edges whose reports are temporarily
	// missing and that are therefore not counted.
	retryShare = 0.5
	// maxSends bounds the attempts of one request in addition to the limit of its route.
	maxSends = 5
)

func (e *Edge) gossipOptions() gossip.Options {
	return gossip.Options{
		Listen: netip.AddrPortFrom(e.node.Address, e.node.PeerPort), Seeds: e.node.Seeds,
		Collect:  e.collect,
		Clock:    reportedClock(e.node.Duties),
		OnReport: e.onReport, OnBroadcast: e.onBroadcast,
		OnPeer: func(peer netip.Addr, live bool) {
			state := "silent"
			if live {
				state = "heard"
			}
			e.deps.Log.Emit(eventlog.EdgePeer, eventlog.Peer(peer.String()), eventlog.Reason(state))
		},
		OnError: func(err error) { e.observer.logError(eventlog.EdgeGossipFailed, err) },
	}
}

// maxUp bounds what is reported as the time since an outage of the store; longer times tell no more.
const maxUp = time.Hour

// collect returns the state for the next report to the other edges.
func (e *Edge) collect() gossip.State {
	own := map[place.Key]place.Load{}
	now := time.Now()
	state := gossip.State{Changes: e.placer.Loads.Own(own, now), Quarantine: e.guard.tracker.Digest(), Freshness: gossip.Freshness{
		Configuration: e.configuration.synced.snapshot(now), Replicas: e.replicas.synced.snapshot(now), StoreFailing: e.storeFailing.Load(), Version: e.version(),
		UpMs: uint32(min(e.registry.UpFor(now), maxUp).Milliseconds()),
	}}
	for k, l := range own {
		state.Loads = append(state.Loads, gossip.Load{
			Replica: uint32(k), Running: uint32(l.Running), Short: uint32(l.Short), Prefill: uint32(l.Prefill), Waiting: uint32(l.Waiting), Urgent: uint32(l.Urgent),
			Gaps: uint32(l.Gaps), GapTime: uint32(l.GapTime),
		})
	}
	for _, hint := range e.placer.TakeHints() {
		state.CacheHints = append(state.CacheHints, gossip.CacheHint{Replica: uint32(hint.Replica), Part: hint.Part, Tokens: uint32(max(0, hint.Tokens))})
	}
	for _, s := range e.placer.TakePaceSamples() {
		state.Paces = append(state.Paces, gossip.PaceSample{Replica: uint32(s.Replica), Tokens: uint32(max(0, s.Tokens)), Own: uint32(max(0, s.Own)), TookMs: uint32(s.Took.Milliseconds())})
	}
	return state
}

// onReport applies the state of another edge.
func (e *Edge) onReport(from netip.Addr, r *gossip.Report) {
	now := time.Now()
	e.configuration.applySyncedRange(r.Freshness.Configuration, e.registry, now)
	e.replicas.applySyncedRange(r.Freshness.Replicas, e.registry, now)
	if up := r.Freshness.UpMs; up > 0 {
		e.registry.StoreUp(time.Duration(up)*time.Millisecond, now)
	}
	e.exchange.onReport(from, r.Freshness, now)
	e.guard.onDigest(from, r.Quarantine, now)
	e.tally.onClock(from, r.Clock)
	loads := make(map[place.Key]place.Load, len(r.Loads))
	for _, l := range r.Loads {
		loads[place.Key(l.Replica)] = place.Load{
			Running: int(l.Running), Short: int(l.Short), Prefill: int(l.Prefill), Waiting: int(l.Waiting), Urgent: int(l.Urgent),
			Gaps: int(l.Gaps), GapTime: int(l.GapTime),
		}
	}
	hints := make([]place.CacheHint, 0, len(r.CacheHints))
	for _, h := range r.CacheHints {
		hints = append(hints, place.CacheHint{Replica: place.Key(h.Replica), Part: h.Part, Tokens: int(h.Tokens)})
	}
	paces := make([]place.PaceSample, 0, len(r.Paces))
	for _, s := range r.Paces {
		paces = append(paces, place.PaceSample{Replica: place.Key(s.Replica), Tokens: int(s.Tokens), Own: int(s.Own), Took: time.Duration(s.TookMs) * time.Millisecond})
	}
	e.placer.ApplyReport(from.String(), place.ReportOf{Loads: loads, Hints: hints, Paces: paces}, now)
}

// Run serves until ctx ends and the drain completes.
func (e *Edge) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var tasks sync.WaitGroup
	for _, run := range []func(context.Context){e.configuration.feed.Run, e.replicas.feed.Run, e.gossip.Run, e.pool.Run, e.tick, e.observer.run, e.newKeeper().run, e.discovery.run, e.runLimits, e.runDuties, e.intake.Run, e.logClosed} {
		tasks.Go(func() { run(background) })
	}
	// The limits of heads and of idle connections, which follow the configuration, are those of e.intake.
	own := func(h http.Handler) *http.Server {
		return &http.Server{Handler: intake.Handler(h, ownResponseTimeout), ErrorLog: e.observer.serverLog()}
	}
	server := &http.Server{Handler: e, ErrorLog: e.observer.serverLog()}
	readyServer, metricsServer, peerServer := own(http.HandlerFunc(e.serveReady)), own(e.operatorHandler()), own(e.exchange)
	failed := make(chan error, 4)
	serve := func(s *http.Server, l net.Listener, share float64) {
		if err := e.intake.Serve(s, l, share); !errors.Is(err, http.ErrServerClosed) {
			failed <- fmt.Errorf("serve on %s: %w", l.Addr(), err)
		}
	}
	go serve(server, e.callers, callersShare)
	go serve(readyServer, e.ready, 1)
	go serve(metricsServer, e.metrics, 1)
	go serve(peerServer, e.peers, 1)
	e.deps.Log.Emit(eventlog.EdgeStarted, eventlog.Address(e.node.CallerListen.String()))
	var err error
	select {
	case <-ctx.Done():
		e.tally.flush(false)
		e.drain(server)
		e.tally.flush(true)
	case err = <-failed:
	}
	_ = readyServer.Close()
	_ = metricsServer.Close()
	_ = peerServer.Close()
	stop()
	tasks.Wait()
	return err
}

// tick does the periodic work and reloads the settings when they may have changed.
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
			e.guard.tick(now)
			e.tickLimits(now)
			e.tally.tick()
			if expired := e.registry.Expire(now); len(expired) > 0 {
				e.onListChanged("lapsed")
			}
			if e.gossip.Live() == 0 && now.Sub(reloaded) >= isolatedReloadInterval {
				reloaded = now
				// A successful reload is not logged: with a single edge it recurs at every interval.
				if _, err := e.reloadSeeds(); err != nil {
					e.observer.logError(eventlog.EdgeReloadFailed, err)
				}
			}
		}
	}
}

// reloadSeeds reloads the seeds and returns their number.
func (e *Edge) reloadSeeds() (int, error) {
	node, err := e.deps.Reload()
	if err != nil {
		return 0, err
	}
	e.gossip.SetSeeds(node.Seeds)
	if needsRestart(e.node, node) {
		e.observer.logError(eventlog.EdgeNeedsRestart, errNeedsRestart)
	}
	return len(node.Seeds), nil
}

// errNeedsRestart reports settings that changed and stay as they were until a restart.
var errNeedsRestart = errors.New("settings other than the seeds have changed")

// needsRestart reports whether settings differ that a running edge does not apply: all but the seeds.
func needsRestart(running, changed settings.Node) bool {
	running.Seeds, changed.Seeds = nil, nil
	return !reflect.DeepEqual(running, changed)
}

func (e *Edge) reload() {
	seeds, err := e.reloadSeeds()
	if err != nil {
		e.deps.Log.Emit(eventlog.EdgeReloadFailed, eventlog.Err(err))
		return
	}
	e.deps.Log.Emit(eventlog.EdgeReloaded, eventlog.Count(seeds))
}

// Ready reports whether callers should be sent to this edge.
func (e *Edge) Ready() bool {
	return !e.draining.Load() && e.placeable.Load()
}

func (e *Edge) serveReady(w http.ResponseWriter, _ *http.Request) {
	if e.Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
