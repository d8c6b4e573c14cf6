// Package entry composes an entry instance: the caller API, the health endpoints of the operator API, the sessions to
// sidecars and other entries, and the path of a request between them.
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
	// subsetInterval is how often sessions to instances that have left are checked for their end.
	subsetInterval = time.Second
	drainCheck     = 20 * time.Millisecond
)

// Deps are what an entry needs from the process around it.
type Deps struct {
	Store       store.Client
	Credentials *peer.Credentials
	SigningKey  ed25519.PrivateKey
	Log         *eventlog.Log
	// Operator serves the operator API apart from /healthz and /readyz; nil answers 404.
	Operator http.Handler
	// Metrics records figures; nil records nothing.
	Metrics *metrics.Metrics
}

// T is one entry instance.
type T struct {
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
	// entryNames are the live entries last told to the limiter; only followMembers uses it.
	entryNames []string
	operator   atomic.Pointer[http.Handler]
	refusals   refusals

	callers   net.Listener
	operators net.Listener
	draining  atomic.Bool
	active    atomic.Int64
	kick      chan struct{}

	mu       sync.Mutex
	sessions map[string]peer.State
}

// New binds the listeners. Run must follow, also to release them.
func New(cfg settings.Entry, deps Deps) (*T, error) {
	t := &T{
		cfg: cfg, deps: deps, log: deps.Log, ring: newRing(), queue: admit.NewQueue(cfg.Limits.Queue),
		fleet: newFleet(cfg.Zone, cfg.Instance), kick: make(chan struct{}, 1), sessions: map[string]peer.State{},
	}
	t.runner = &attempt.Runner{Chooser: t.fleet, Budget: retry.NewBudget(retry.Settings{}), Changed: t.fleet.Changed}
	t.tracker = membership.New(membership.Options{
		URL: cfg.InstancesURL, OnChange: t.kickMembers,
		OnError: func(err error) { t.log.Emit(eventlog.MembershipUnavailable, eventlog.Err(err)) },
	})
	t.newControl()
	t.SetOperator(deps.Operator)
	if err := t.listen(); err != nil {
		t.release()
		return nil, err
	}
	return t, nil
}

func (t *T) listen() error {
	var err error
	t.node, err = peer.Listen(t.cfg.PeerListen, peer.Options{
		Credentials: t.deps.Credentials, Zone: t.cfg.Zone, TableVersion: t.control.follower.Number,
		OnLoad: t.onLoad, OnState: t.onState,
		OnTable: func(from peer.Identity, version uint64) { t.control.follower.OnAnnounce(from.Instance, version) },
	})
	if err != nil {
		return err
	}
	t.fleet.node = t.node
	t.registerCalls()
	if err := t.registerControl(); err != nil {
		return err
	}
	if t.callers, err = net.Listen("tcp", t.cfg.Listen); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if t.operators, err = net.Listen("tcp", t.cfg.OperatorListen); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	return nil
}

func (t *T) release() {
	if t.node != nil {
		_ = t.node.Close()
	}
	for _, l := range []net.Listener{t.callers, t.operators} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Addr is the address of the caller API.
func (t *T) Addr() string { return t.callers.Addr().String() }

// AddrOperator is the address of the operator API.
func (t *T) AddrOperator() string { return t.operators.Addr().String() }

// AddrPeer is the UDP address of the sessions.
func (t *T) AddrPeer() string { return t.node.Addr() }

// Peers makes calls to other processes and registers handlers of calls.
func (t *T) Peers() *peer.Node { return t.node }

// SetOperator replaces the handler of the operator API; nil answers 404.
func (t *T) SetOperator(h http.Handler) {
	if h == nil {
		h = http.NotFoundHandler()
	}
	t.operator.Store(&h)
}

// Run serves until ctx ends; then it drains: readiness fails at once, new requests are refused, and the listeners stay
// open until the requests in flight have ended or the drain timeout has passed.
func (t *T) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	for _, run := range t.background() {
		wg.Go(func() { run(background) })
	}
	errorLog := log.New(errorWriter{t.log}, "", 0)
	callers := &http.Server{
		Handler: http.HandlerFunc(t.serveCaller), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: t.cfg.Limits.HeaderBytes, ErrorLog: errorLog,
	}
	operators := &http.Server{
		Handler: http.HandlerFunc(t.serveOperator), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, ErrorLog: errorLog,
	}
	failed := make(chan error, 2)
	wg.Go(func() { failed <- callers.Serve(t.callers) })
	wg.Go(func() { failed <- operators.Serve(t.operators) })
	t.log.Emit(eventlog.EntryStarted, eventlog.Address(t.Addr()))
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
	}
	t.drain()
	_ = callers.Close()
	_ = operators.Close()
	stop()
	wg.Wait()
	t.flush()
	t.release()
	t.log.Emit(eventlog.DrainFinished)
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	return err
}

func (t *T) drain() {
	t.draining.Store(true)
	t.log.Emit(eventlog.DrainStarted, eventlog.Count(int(t.active.Load())))
	deadline := time.Now().Add(time.Duration(t.cfg.DrainTimeout))
	for t.active.Load() > 0 {
		if time.Now().After(deadline) {
			t.log.Emit(eventlog.DrainTimedOut, eventlog.Count(int(t.active.Load())))
			return
		}
		time.Sleep(drainCheck)
	}
}

func (t *T) kickMembers() {
	select {
	case t.kick <- struct{}{}:
	default:
	}
}

// followMembers applies the member list to the sessions.
func (t *T) followMembers(ctx context.Context) {
	ticker := time.NewTicker(subsetInterval)
	defer ticker.Stop()
	for {
		t.applyMembers()
		select {
		case <-ctx.Done():
			return
		case <-t.kick:
			t.log.Emit(eventlog.MembershipChanged, eventlog.Count(len(t.tracker.Members())))
		case <-ticker.C:
		}
	}
}

func (t *T) applyMembers() {
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
		if !t.tracker.Listed(m.Instance.Instance) && !t.fleet.holds(m.Instance.Instance) {
			t.tracker.Forget(m.Instance.Instance)
		}
	}
}

// connectEntry keeps a session between entries; of each pair, the one with the smaller name dials.
func (t *T) connectEntry(m membership.Member) {
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

func (t *T) onLoad(from peer.Identity, load *wire.Load) {
	t.fleet.onLoad(from, load)
	t.tracker.SetDraining(from.Instance, load.Draining)
}

func (t *T) onState(of peer.Identity, state peer.State) {
	t.fleet.onState(of, state)
	t.logState(of, state)
	t.tracker.SetSuspect(of.Instance, state == peer.StateSuspect)
}

// logState records changes of sessions. A suspect session that answers again is open all the time.
func (t *T) logState(of peer.Identity, state peer.State) {
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

// errorWriter turns the messages of an HTTP server, such as a recovered panic, into events.
type errorWriter struct{ log *eventlog.Log }

// Write implements io.Writer.
func (w errorWriter) Write(p []byte) (int, error) {
	w.log.Emit(eventlog.InternalError, eventlog.Err(errors.New(string(p))))
	return len(p), nil
}
