// Package entry assembles an entry instance: the caller API, the health endpoints of the operator API, the sessions to
// sidecars and other entries, and the request path between them.
package entry

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/peer"
	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/process/membership"
	"github.com/dragonflypin/dragonflypin/internal/process/metrics"
	"github.com/dragonflypin/dragonflypin/internal/process/settings"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/request/admit"
	"github.com/dragonflypin/dragonflypin/internal/request/attempt"
	"github.com/dragonflypin/dragonflypin/internal/request/retry"
)

const (
	readHeaderTimeout = 10 * time.Second
	// bodyTimeout bounds the arrival of a request body.
	bodyTimeout = 30 * time.Second
	idleTimeout = 2 * time.Minute
	// subsetInterval is how often the sidecar subset is reapplied, which closes idle sessions to removed instances.
	subsetInterval     = time.Second
	drainCheckInterval = 20 * time.Millisecond
)

// Deps are the dependencies of an entry that its process provides.
type Deps struct {
	Store       store.Client
	Credentials *peer.Credentials
	SigningKey  ed25519.PrivateKey
	Log         *eventlog.Log
	// Operator serves the operator API except for /healthz and /readyz; nil responds with 404.
	Operator http.Handler
	// Metrics may be nil; then no metrics are recorded.
	Metrics *metrics.Metrics
}

// Entry is one entry instance.
type Entry struct {
	cfg     settings.Entry
	deps    Deps
	log     *eventlog.Log
	node    *peer.Node
	fleet   *fleet
	tracker *membership.Tracker
	queue   *admit.Queue
	runner  *attempt.Runner
	ring    *ring
	control control
	// appliedEntries are the live entries last passed to the limiter; only the followMembers loop accesses them.
	appliedEntries  []string
	operatorHandler atomic.Pointer[http.Handler]
	refusals        refusals

	callerListener   net.Listener
	operatorListener net.Listener
	draining         atomic.Bool
	// active counts the requests in flight and the writes of their claim results.
	active         atomic.Int64
	membersChanged chan struct{}

	mu       sync.Mutex
	sessions map[string]peer.State
}

// New binds the listeners. Run must be called afterwards; it also closes them.
func New(cfg settings.Entry, deps Deps) (*Entry, error) {
	e := &Entry{
		cfg: cfg, deps: deps, log: deps.Log, ring: newRing(), queue: admit.NewQueue(cfg.Limits.Queue),
		fleet: newFleet(cfg.Zone, cfg.Instance), membersChanged: make(chan struct{}, 1), sessions: map[string]peer.State{},
	}
	e.runner = &attempt.Runner{Chooser: e.fleet, Budget: retry.NewBudget(retry.Settings{}), Changed: e.fleet.Changed}
	e.tracker = membership.New(membership.Options{
		URL: cfg.InstancesURL, OnChange: e.notifyMembersChanged,
		OnError: func(err error) { e.log.Emit(eventlog.MembershipUnavailable, eventlog.Err(err)) },
	})
	e.newControl()
	e.SetOperator(deps.Operator)
	if err := e.listen(); err != nil {
		e.closeListeners()
		return nil, err
	}
	return e, nil
}

func (e *Entry) listen() error {
	var err error
	e.node, err = peer.Listen(e.cfg.PeerListen, peer.Options{
		Credentials: e.deps.Credentials, Zone: e.cfg.Zone, TableVersion: e.control.table.Number,
		OnLoad: e.onLoad, OnState: e.onState,
		OnTableVersion: func(from peer.Identity, version uint64) { e.control.table.OnAnnounce(from.Instance, version) },
	})
	if err != nil {
		return err
	}
	e.fleet.node = e.node
	e.registerStatusCalls()
	if err := e.registerControl(); err != nil {
		return err
	}
	if e.callerListener, err = net.Listen("tcp", e.cfg.Listen); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if e.operatorListener, err = net.Listen("tcp", e.cfg.OperatorListen); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	return nil
}

func (e *Entry) closeListeners() {
	if e.node != nil {
		_ = e.node.Close()
	}
	for _, l := range []net.Listener{e.callerListener, e.operatorListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Addr is the address of the caller API.
func (e *Entry) Addr() string { return e.callerListener.Addr().String() }

// AddrOperator is the address of the operator API.
func (e *Entry) AddrOperator() string { return e.operatorListener.Addr().String() }

// AddrPeer is the UDP address of the peer sessions.
func (e *Entry) AddrPeer() string { return e.node.Addr() }

// Peers returns the peer node, which makes calls to other processes and registers call handlers.
func (e *Entry) Peers() *peer.Node { return e.node }

// SetOperator replaces the handler of the operator API; nil responds with 404.
func (e *Entry) SetOperator(h http.Handler) {
	if h == nil {
		h = http.NotFoundHandler()
	}
	e.operatorHandler.Store(&h)
}

// Run serves until ctx is done; then it drains: readiness fails at once, new requests are refused, and the listeners stay
// open until the requests in flight have ended or the drain timeout has passed.
func (e *Entry) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	for _, run := range e.backgroundLoops() {
		wg.Go(func() { run(background) })
	}
	errorLog := log.New(errorWriter{e.log}, "", 0)
	callerServer := &http.Server{
		Handler: http.HandlerFunc(e.serveCaller), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: e.cfg.Limits.HeaderBytes, ErrorLog: errorLog,
	}
	operatorServer := &http.Server{
		Handler: http.HandlerFunc(e.serveOperator), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, ErrorLog: errorLog,
	}
	serveErrors := make(chan error, 2)
	wg.Go(func() { serveErrors <- callerServer.Serve(e.callerListener) })
	wg.Go(func() { serveErrors <- operatorServer.Serve(e.operatorListener) })
	e.log.Emit(eventlog.EntryStarted, eventlog.Address(e.Addr()))
	var err error
	select {
	case err = <-serveErrors:
	case <-ctx.Done():
	}
	e.drain()
	_ = callerServer.Close()
	_ = operatorServer.Close()
	stop()
	wg.Wait()
	e.flushUsage()
	e.closeListeners()
	e.log.Emit(eventlog.DrainFinished)
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	return err
}

func (e *Entry) drain() {
	e.draining.Store(true)
	e.log.Emit(eventlog.DrainStarted, eventlog.Count(int(e.active.Load())))
	deadline := time.Now().Add(time.Duration(e.cfg.DrainTimeout))
	for e.active.Load() > 0 {
		if time.Now().After(deadline) {
			e.log.Emit(eventlog.DrainTimedOut, eventlog.Count(int(e.active.Load())))
			return
		}
		time.Sleep(drainCheckInterval)
	}
}

func (e *Entry) notifyMembersChanged() {
	select {
	case e.membersChanged <- struct{}{}:
	default:
	}
}

// followMembers applies the member list after each change and every subsetInterval.
func (e *Entry) followMembers(ctx context.Context) {
	ticker := time.NewTicker(subsetInterval)
	defer ticker.Stop()
	for {
		e.applyMembers()
		select {
		case <-ctx.Done():
			return
		case <-e.membersChanged:
			e.log.Emit(eventlog.MembershipChanged, eventlog.Count(len(e.tracker.Members())))
		case <-ticker.C:
		}
	}
}

// applyMembers updates the sessions and the limiter to the current member list.
func (e *Entry) applyMembers() {
	byService := map[string][]membership.Member{}
	var leaving []membership.Member
	for _, m := range e.tracker.Members() {
		switch {
		case m.Role == membership.RoleEntry:
			e.connectEntry(m)
		case m.Combined == membership.Leaving && e.tracker.Listed(m.Instance.Instance):
			leaving = append(leaving, m)
		case m.Combined != membership.Leaving:
			byService[m.Service] = append(byService[m.Service], m)
		}
	}
	var wanted []membership.Member
	for _, members := range byService {
		wanted = append(wanted, membership.Subset(e.cfg.Instance, e.cfg.Zone, members, e.cfg.SidecarsPerService)...)
	}
	e.fleet.update(wanted, leaving)
	e.applyEntries()
	for _, m := range e.tracker.Members() {
		if !e.tracker.Listed(m.Instance.Instance) && !e.fleet.contains(m.Instance.Instance) {
			e.tracker.Forget(m.Instance.Instance)
		}
	}
}

// connectEntry opens the session to a listed entry, or closes that to an entry which is no longer listed. Of each pair of
// entries, the one with the smaller name dials.
func (e *Entry) connectEntry(m membership.Member) {
	name := m.Instance.Instance
	if name <= e.cfg.Instance {
		return
	}
	if e.tracker.Listed(name) {
		e.node.Connect(peer.Identity{Role: wire.RoleEntry, Instance: name}, m.Address)
	} else {
		e.node.Disconnect(name)
	}
}

func (e *Entry) onLoad(from peer.Identity, load *wire.Load) {
	e.fleet.onLoad(from, load)
	e.tracker.SetDraining(from.Instance, load.Draining)
}

func (e *Entry) onState(of peer.Identity, state peer.State) {
	e.fleet.onState(of, state)
	e.logState(of, state)
	e.tracker.SetSuspect(of.Instance, state == peer.StateSuspect)
}

// logState logs and counts opened, suspect and closed sessions. A suspect session that recovers was never closed, so it is
// not logged as opened.
func (e *Entry) logState(of peer.Identity, state peer.State) {
	fields := []eventlog.Field{eventlog.Peer(of.Instance), eventlog.PeerRole(string(of.Role))}
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.sessions[of.Instance]
	e.sessions[of.Instance] = state
	switch {
	case state == peer.StateSuspect:
		e.log.Emit(eventlog.PeerSuspect, fields...)
	case state == peer.StateUp && before == peer.StateDown:
		e.log.Emit(eventlog.SessionOpened, fields...)
		e.deps.Metrics.Sessions(string(of.Role), 1)
	case state == peer.StateDown && before != peer.StateDown:
		delete(e.sessions, of.Instance)
		e.log.Emit(eventlog.SessionClosed, fields...)
		e.deps.Metrics.Sessions(string(of.Role), -1)
	}
}

// errorWriter logs the error messages of an HTTP server, such as recovered panics, as events.
type errorWriter struct{ log *eventlog.Log }

// Write implements io.Writer.
func (w errorWriter) Write(p []byte) (int, error) {
	w.log.Emit(eventlog.InternalError, eventlog.Err(errors.New(string(p))))
	return len(p), nil
}
