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
	t := &Entry{
		cfg: cfg, deps: deps, log: deps.Log, ring: newRing(), queue: admit.NewQueue(cfg.Limits.Queue),
		fleet: newFleet(cfg.Zone, cfg.Instance), membersChanged: make(chan struct{}, 1), sessions: map[string]peer.State{},
	}
	t.runner = &attempt.Runner{Chooser: t.fleet, Budget: retry.NewBudget(retry.Settings{}), Changed: t.fleet.Changed}
	t.tracker = membership.New(membership.Options{
		URL: cfg.InstancesURL, OnChange: t.notifyMembersChanged,
		OnError: func(err error) { t.log.Emit(eventlog.MembershipUnavailable, eventlog.Err(err)) },
	})
	t.newControl()
	t.SetOperator(deps.Operator)
	if err := t.listen(); err != nil {
		t.closeListeners()
		return nil, err
	}
	return t, nil
}

func (t *Entry) listen() error {
	var err error
	t.node, err = peer.Listen(t.cfg.PeerListen, peer.Options{
		Credentials: t.deps.Credentials, Zone: t.cfg.Zone, TableVersion: t.control.table.Number,
		OnLoad: t.onLoad, OnState: t.onState,
		OnTableVersion: func(from peer.Identity, version uint64) { t.control.table.OnAnnounce(from.Instance, version) },
	})
	if err != nil {
		return err
	}
	t.fleet.node = t.node
	t.registerStatusCalls()
	if err := t.registerControl(); err != nil {
		return err
	}
	if t.callerListener, err = net.Listen("tcp", t.cfg.Listen); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if t.operatorListener, err = net.Listen("tcp", t.cfg.OperatorListen); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	return nil
}

func (t *Entry) closeListeners() {
	if t.node != nil {
		_ = t.node.Close()
	}
	for _, l := range []net.Listener{t.callerListener, t.operatorListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Addr is the address of the caller API.
func (t *Entry) Addr() string { return t.callerListener.Addr().String() }

// AddrOperator is the address of the operator API.
func (t *Entry) AddrOperator() string { return t.operatorListener.Addr().String() }

// AddrPeer is the UDP address of the peer sessions.
func (t *Entry) AddrPeer() string { return t.node.Addr() }

// Peers returns the peer node, which makes calls to other processes and registers call handlers.
func (t *Entry) Peers() *peer.Node { return t.node }

// SetOperator replaces the handler of the operator API; nil responds with 404.
func (t *Entry) SetOperator(h http.Handler) {
	if h == nil {
		h = http.NotFoundHandler()
	}
	t.operatorHandler.Store(&h)
}

// Run serves until ctx ends; then it drains: readiness fails at once, new requests are refused, and the listeners stay
// open until the requests in flight have ended or the drain timeout has passed.
func (t *Entry) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	for _, run := range t.backgroundLoops() {
		wg.Go(func() { run(background) })
	}
	errorLog := log.New(errorWriter{t.log}, "", 0)
	callerServer := &http.Server{
		Handler: http.HandlerFunc(t.serveCaller), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: t.cfg.Limits.HeaderBytes, ErrorLog: errorLog,
	}
	operatorServer := &http.Server{
		Handler: http.HandlerFunc(t.serveOperator), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, ErrorLog: errorLog,
	}
	serveErrors := make(chan error, 2)
	wg.Go(func() { serveErrors <- callerServer.Serve(t.callerListener) })
	wg.Go(func() { serveErrors <- operatorServer.Serve(t.operatorListener) })
	t.log.Emit(eventlog.EntryStarted, eventlog.Address(t.Addr()))
	var err error
	select {
	case err = <-serveErrors:
	case <-ctx.Done():
	}
	t.drain()
	_ = callerServer.Close()
	_ = operatorServer.Close()
	stop()
	wg.Wait()
	t.flushUsage()
	t.closeListeners()
	t.log.Emit(eventlog.DrainFinished)
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	return err
}

func (t *Entry) drain() {
	t.draining.Store(true)
	t.log.Emit(eventlog.DrainStarted, eventlog.Count(int(t.active.Load())))
	deadline := time.Now().Add(time.Duration(t.cfg.DrainTimeout))
	for t.active.Load() > 0 {
		if time.Now().After(deadline) {
			t.log.Emit(eventlog.DrainTimedOut, eventlog.Count(int(t.active.Load())))
			return
		}
		time.Sleep(drainCheckInterval)
	}
}

func (t *Entry) notifyMembersChanged() {
	select {
	case t.membersChanged <- struct{}{}:
	default:
	}
}

// followMembers applies the member list after each change and every subsetInterval.
func (t *Entry) followMembers(ctx context.Context) {
	ticker := time.NewTicker(subsetInterval)
	defer ticker.Stop()
	for {
		t.applyMembers()
		select {
		case <-ctx.Done():
			return
		case <-t.membersChanged:
			t.log.Emit(eventlog.MembershipChanged, eventlog.Count(len(t.tracker.Members())))
		case <-ticker.C:
		}
	}
}

// applyMembers updates the sessions and the limiter to the current member list.
func (t *Entry) applyMembers() {
	byService := map[string][]membership.Member{}
	var leaving []membership.Member
	for _, m := range t.tracker.Members() {
		switch {
		case m.Role == membership.RoleEntry:
			t.connectEntry(m)
		case m.Combined == membership.Leaving && t.tracker.Listed(m.Instance.Instance):
			leaving = append(leaving, m)
		case m.Combined != membership.Leaving:
			byService[m.Service] = append(byService[m.Service], m)
		}
	}
	var wanted []membership.Member
	for _, members := range byService {
		wanted = append(wanted, membership.Subset(t.cfg.Instance, t.cfg.Zone, members, t.cfg.SidecarsPerService)...)
	}
	t.fleet.update(wanted, leaving)
	t.applyEntries()
	for _, m := range t.tracker.Members() {
		if !t.tracker.Listed(m.Instance.Instance) && !t.fleet.contains(m.Instance.Instance) {
			t.tracker.Forget(m.Instance.Instance)
		}
	}
}

// connectEntry opens the session to a listed entry, or closes that to an entry which is no longer listed. Of each pair of
// entries, the one with the smaller name dials.
func (t *Entry) connectEntry(m membership.Member) {
	name := m.Instance.Instance
	if name <= t.cfg.Instance {
		return
	}
	if t.tracker.Listed(name) {
		t.node.Connect(peer.Identity{Role: wire.RoleEntry, Instance: name}, m.Address)
	} else {
		t.node.Disconnect(name)
	}
}

func (t *Entry) onLoad(from peer.Identity, load *wire.Load) {
	t.fleet.onLoad(from, load)
	t.tracker.SetDraining(from.Instance, load.Draining)
}

func (t *Entry) onState(of peer.Identity, state peer.State) {
	t.fleet.onState(of, state)
	t.logState(of, state)
	t.tracker.SetSuspect(of.Instance, state == peer.StateSuspect)
}

// logState logs and counts opened, suspect and closed sessions. A suspect session that recovers was never closed, so it is
// not logged as opened.
func (t *Entry) logState(of peer.Identity, state peer.State) {
	fields := []eventlog.Field{eventlog.Peer(of.Instance), eventlog.PeerRole(string(of.Role))}
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.sessions[of.Instance]
	t.sessions[of.Instance] = state
	switch {
	case state == peer.StateSuspect:
		t.log.Emit(eventlog.PeerSuspect, fields...)
	case state == peer.StateUp && before == peer.StateDown:
		t.log.Emit(eventlog.SessionOpened, fields...)
		t.deps.Metrics.Sessions(string(of.Role), 1)
	case state == peer.StateDown && before != peer.StateDown:
		delete(t.sessions, of.Instance)
		t.log.Emit(eventlog.SessionClosed, fields...)
		t.deps.Metrics.Sessions(string(of.Role), -1)
	}
}

// errorWriter logs the error messages of an HTTP server, such as recovered panics, as events.
type errorWriter struct{ log *eventlog.Log }

// Write implements io.Writer.
func (w errorWriter) Write(p []byte) (int, error) {
	w.log.Emit(eventlog.InternalError, eventlog.Err(errors.New(string(p))))
	return len(p), nil
}
