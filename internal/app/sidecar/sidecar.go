// Package sidecar assembles the process that runs beside one upstream: the sessions from entries and the executor.
package sidecar

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/peer"
	"github.com/dragonflypin/dragonflypin/internal/connection/upstream"
	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/process/lease"
	"github.com/dragonflypin/dragonflypin/internal/process/settings"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/process/usage"
	"github.com/dragonflypin/dragonflypin/internal/request/execute"
	"github.com/dragonflypin/dragonflypin/internal/request/schedule"
)

const (
	// probeInterval is the time between health checks of the upstream; a request that could not be sent to the upstream
	// marks it unhealthy at once.
	probeInterval = time.Second
	probeTimeout  = 2 * time.Second
	// probeFailures is the number of consecutive failed health checks after which an upstream is unhealthy. One failure
	// is not enough, because a single response may be slow.
	probeFailures = 2
	flushTimeout  = 10 * time.Second
	// noEntryFlushTimeout replaces flushTimeout while no entry has a session.
	noEntryFlushTimeout = 200 * time.Millisecond
)

// Deps are the dependencies of a sidecar that its process provides.
type Deps struct {
	Store       store.Client
	Credentials *peer.Credentials
	SigningKey  ed25519.PrivateKey
	Log         *eventlog.Log
}

// Sidecar is one sidecar instance.
type Sidecar struct {
	cfg      settings.Sidecar
	deps     Deps
	log      *eventlog.Log
	node     *peer.Node
	client   *upstream.Client
	executor *execute.Executor
	changed  chan struct{}
	fences   *lease.FenceChecker
	writer   *usage.Writer
	shipper  *usage.Shipper
}

// New binds the address of the peer sessions. Run must be called afterwards; it also releases the address.
func New(cfg settings.Sidecar, deps Deps) (*Sidecar, error) {
	client, err := upstream.New(cfg.UpstreamURL)
	if err != nil {
		return nil, err
	}
	s := &Sidecar{cfg: cfg, deps: deps, log: deps.Log, client: client, changed: make(chan struct{}, 1)}
	kind := wire.KindEngine
	if cfg.Kind == settings.KindPlain {
		kind = wire.KindPlain
	}
	s.executor = execute.New(execute.Options{
		Client: client, Kind: kind, Slots: cfg.Slots, Models: cfg.Models, CanPause: cfg.CanPause,
		OnChange: s.onChange, OnRecord: s.recordUsage, OnHealth: s.onHealth, OnError: func(err error) {
			s.log.Emit(eventlog.InternalError, eventlog.Reason("pause or resume failed"), eventlog.Err(err))
		},
	})
	s.fences = lease.NewFenceChecker(deps.Store, cfg.Instance)
	s.writer = usage.NewWriter(cfg.Instance, usage.SideSidecar, deps.SigningKey, cfg.UsageBufferBytes)
	s.node, err = peer.Listen(cfg.PeerListen, peer.Options{
		Credentials: deps.Credentials, Zone: cfg.Zone, Service: cfg.Service,
		Load: func() *wire.Load { return s.executor.Load() }, OnAsk: s.serve,
	})
	if err != nil {
		return nil, fmt.Errorf("sidecar %s: %w", cfg.Instance, err)
	}
	s.shipper = &usage.Shipper{
		Writer:  s.writer,
		Sink:    &usage.Relay{Client: s.node, Entries: func() []string { return s.node.Instances(wire.RoleEntry) }},
		OnError: func(err error) { s.log.Emit(eventlog.UsageWaiting, eventlog.Err(err)) },
	}
	s.node.Handle(MethodOrder, s.order)
	return s, nil
}

// AddrPeer is the UDP address of the peer sessions.
func (s *Sidecar) AddrPeer() string { return s.node.Addr() }

// Load returns the current load report.
func (s *Sidecar) Load() wire.Load { return *s.executor.Load() }

// Run serves until ctx is done; then it announces draining on all sessions, refuses queued requests, and waits until the
// started ones have ended or the drain timeout has passed.
func (s *Sidecar) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(func() { s.reportLoad(background) })
	wg.Go(func() { s.probeLoop(background) })
	wg.Go(func() { s.shipper.Run(background) })
	s.log.Emit(eventlog.SidecarStarted, eventlog.Address(s.AddrPeer()))
	<-ctx.Done()
	s.log.Emit(eventlog.DrainStarted, eventlog.Count(s.executor.Load().Running))
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(s.cfg.DrainTimeout))
	err := s.executor.Drain(drainCtx)
	cancel()
	if errors.Is(err, context.DeadlineExceeded) {
		s.log.Emit(eventlog.DrainTimedOut, eventlog.Count(s.executor.Load().Running))
		err = nil
	}
	stop()
	wg.Wait()
	s.flushUsage()
	_ = s.node.Close()
	s.client.Close()
	return err
}

func (s *Sidecar) serve(ctx context.Context, from peer.Identity, st *peer.Stream, ask *wire.Ask) {
	if from.Role != wire.RoleEntry {
		st.Abort()
		return
	}
	s.executor.Serve(ctx, from, st, ask)
}

func (s *Sidecar) onHealth(healthy bool) {
	if healthy {
		s.log.Emit(eventlog.UpstreamUp, eventlog.Upstream(s.cfg.Instance))
	} else {
		s.log.Emit(eventlog.UpstreamDown, eventlog.Upstream(s.cfg.Instance))
	}
}

func (s *Sidecar) onChange() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// reportLoad broadcasts the load after changes, as often as the rate limiter allows. It also announces a drain.
func (s *Sidecar) reportLoad(ctx context.Context) {
	var limiter schedule.ReportLimiter
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
		case <-timer.C:
		}
		load := s.executor.Load()
		send, wait := limiter.Next(time.Now(), schedule.Report{
			Slots: load.Slots, Running: load.Running, Paused: load.Paused, Queued: load.Queued, Draining: load.Draining, Healthy: load.Healthy,
		})
		if send {
			s.node.Broadcast(load)
		}
		if wait > 0 {
			timer.Reset(wait)
		}
	}
}

// probeLoop checks the health of the upstream every probeInterval.
func (s *Sidecar) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if s.upstreamAlive(ctx) {
			failures = 0
			s.executor.SetHealthy(true)
			continue
		}
		if failures++; failures >= probeFailures && ctx.Err() == nil {
			s.executor.SetHealthy(false)
		}
	}
}

// upstreamAlive reports whether the upstream responds. An engine may respond with any status below 500.
func (s *Sidecar) upstreamAlive(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if s.cfg.Kind == settings.KindPlain {
		return s.client.Alive(ctx)
	}
	_, err := s.client.Load(ctx)
	var status *upstream.StatusError
	return err == nil || errors.As(err, &status) && status.Status < 500
}

// flushUsage ships the last usage records over the sessions that are still open. If no entry has a session for
// noEntryFlushTimeout, it stops: an entry that reconnects does so within that time.
func (s *Sidecar) flushUsage() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	go s.cancelWithoutEntries(ctx, cancel)
	if err := s.shipper.Flush(ctx); err != nil {
		s.log.Emit(eventlog.UsageWaiting, eventlog.Err(err))
	}
}

// cancelWithoutEntries calls cancel once no entry has had a session for noEntryFlushTimeout.
func (s *Sidecar) cancelWithoutEntries(ctx context.Context, cancel func()) {
	ticker := time.NewTicker(noEntryFlushTimeout / 4)
	defer ticker.Stop()
	lastSession := time.Now()
	for ctx.Err() == nil {
		if len(s.node.Instances(wire.RoleEntry)) > 0 {
			lastSession = time.Now()
		} else if time.Since(lastSession) > noEntryFlushTimeout {
			cancel()
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// recordUsage writes the sidecar's own usage record of an attempt.
func (s *Sidecar) recordUsage(r execute.Record) {
	if r.Done.Outcome == wire.DoneNotRun {
		return
	}
	record := usage.Record{
		RequestID: r.Ask.RequestID, Attempt: r.Ask.Attempt, Side: usage.SideSidecar, UnixMs: time.Now().UnixMilli(),
		Owner: r.Ask.Owner, Workspace: r.Ask.Workspace, Class: r.Ask.Class, Model: r.Ask.Model,
		Service: s.cfg.Service, Upstream: s.cfg.Instance, UpstreamOwner: s.cfg.Owner, Outcome: outcomeNames[r.Done.Outcome],
		PromptTokens: uint64(r.Done.PromptTokens), CompletionTokens: uint64(r.Done.CompletionTokens),
	}
	if record.PromptTokens == 0 {
		record.PromptTokens = uint64(r.Ask.PromptTokens)
	}
	if r.Done.Outcome != wire.DoneCompleted {
		record.WastedTokens, record.ChargedTo = record.CompletionTokens, usage.ChargeUpstreamOwner
		switch r.Cancelled {
		case execute.CancelledByCaller:
			record.ChargedTo = usage.ChargeWorkspace
		case execute.CancelledByRouter:
			record.ChargedTo = usage.ChargeShared
		case execute.NotCancelled:
		}
	}
	s.writer.Add(record, time.Now())
}

var outcomeNames = map[wire.DoneOutcome]string{
	wire.DoneCompleted: "completed", wire.DoneInterrupted: "interrupted", wire.DoneUnknown: "unknown",
}
