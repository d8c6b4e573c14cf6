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
	// probeInterval is the time between health checks of the upstream; a failed dispatch marks it unhealthy at once.
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
	t := &Sidecar{cfg: cfg, deps: deps, log: deps.Log, client: client, changed: make(chan struct{}, 1)}
	kind := wire.KindEngine
	if cfg.Kind == settings.KindPlain {
		kind = wire.KindPlain
	}
	t.executor = execute.New(execute.Options{
		Client: client, Kind: kind, Slots: cfg.Slots, Models: cfg.Models, CanPause: cfg.CanPause,
		OnChange: t.onChange, OnRecord: t.recordUsage, OnHealth: t.onHealth, OnError: func(err error) {
			t.log.Emit(eventlog.InternalError, eventlog.Reason("pause or resume failed"), eventlog.Err(err))
		},
	})
	t.fences = lease.NewFenceChecker(deps.Store, cfg.Instance)
	t.writer = usage.NewWriter(cfg.Instance, usage.SideSidecar, deps.SigningKey, cfg.UsageBufferBytes)
	t.node, err = peer.Listen(cfg.PeerListen, peer.Options{
		Credentials: deps.Credentials, Zone: cfg.Zone, Service: cfg.Service,
		Load: func() *wire.Load { return t.executor.Load() }, OnAsk: t.serve,
	})
	if err != nil {
		return nil, fmt.Errorf("sidecar %s: %w", cfg.Instance, err)
	}
	t.shipper = &usage.Shipper{
		Writer:  t.writer,
		Sink:    &usage.Relay{Client: t.node, Entries: func() []string { return t.node.Instances(wire.RoleEntry) }},
		OnError: func(err error) { t.log.Emit(eventlog.UsageWaiting, eventlog.Err(err)) },
	}
	t.node.Handle(MethodOrder, t.order)
	return t, nil
}

// AddrPeer is the UDP address of the peer sessions.
func (t *Sidecar) AddrPeer() string { return t.node.Addr() }

// Load returns the current load report.
func (t *Sidecar) Load() wire.Load { return *t.executor.Load() }

// Run serves until ctx is done; then it announces draining on all sessions, refuses queued requests, and waits until the
// started ones have ended or the drain timeout has passed.
func (t *Sidecar) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(func() { t.reportLoad(background) })
	wg.Go(func() { t.probeLoop(background) })
	wg.Go(func() { t.shipper.Run(background) })
	t.log.Emit(eventlog.SidecarStarted, eventlog.Address(t.AddrPeer()))
	<-ctx.Done()
	t.log.Emit(eventlog.DrainStarted, eventlog.Count(t.executor.Load().Running))
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(t.cfg.DrainTimeout))
	err := t.executor.Drain(drainCtx)
	cancel()
	if errors.Is(err, context.DeadlineExceeded) {
		t.log.Emit(eventlog.DrainTimedOut, eventlog.Count(t.executor.Load().Running))
		err = nil
	}
	stop()
	wg.Wait()
	t.flushUsage()
	_ = t.node.Close()
	t.client.Close()
	return err
}

func (t *Sidecar) serve(ctx context.Context, from peer.Identity, st *peer.Stream, ask *wire.Ask) {
	if from.Role != wire.RoleEntry {
		st.Abort()
		return
	}
	t.executor.Serve(ctx, from, st, ask)
}

func (t *Sidecar) onHealth(healthy bool) {
	if healthy {
		t.log.Emit(eventlog.UpstreamUp, eventlog.Upstream(t.cfg.Instance))
	} else {
		t.log.Emit(eventlog.UpstreamDown, eventlog.Upstream(t.cfg.Instance))
	}
}

func (t *Sidecar) onChange() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// reportLoad broadcasts the load after changes, as often as the rate limiter allows. It also announces a drain.
func (t *Sidecar) reportLoad(ctx context.Context) {
	var limiter schedule.ReportLimiter
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.changed:
		case <-timer.C:
		}
		load := t.executor.Load()
		send, wait := limiter.Next(time.Now(), schedule.Report{
			Slots: load.Slots, Running: load.Running, Paused: load.Paused, Queued: load.Queued, Draining: load.Draining, Healthy: load.Healthy,
		})
		if send {
			t.node.Broadcast(load)
		}
		if wait > 0 {
			timer.Reset(wait)
		}
	}
}

// probeLoop checks the health of the upstream every probeInterval.
func (t *Sidecar) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if t.upstreamAlive(ctx) {
			failures = 0
			t.executor.SetHealthy(true)
			continue
		}
		if failures++; failures >= probeFailures && ctx.Err() == nil {
			t.executor.SetHealthy(false)
		}
	}
}

// upstreamAlive reports whether the upstream responds. An engine may respond with any status below 500.
func (t *Sidecar) upstreamAlive(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if t.cfg.Kind == settings.KindPlain {
		return t.client.Alive(ctx)
	}
	_, err := t.client.Load(ctx)
	var status *upstream.StatusError
	return err == nil || errors.As(err, &status) && status.Status < 500
}

// flushUsage ships the last usage records over the sessions that are still open. If no entry has a session for
// noEntryFlushTimeout, it stops: an entry that reconnects does so within that time.
func (t *Sidecar) flushUsage() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	go t.cancelWithoutEntries(ctx, cancel)
	if err := t.shipper.Flush(ctx); err != nil {
		t.log.Emit(eventlog.UsageWaiting, eventlog.Err(err))
	}
}

// cancelWithoutEntries calls cancel once no entry has had a session for noEntryFlushTimeout.
func (t *Sidecar) cancelWithoutEntries(ctx context.Context, cancel func()) {
	ticker := time.NewTicker(noEntryFlushTimeout / 4)
	defer ticker.Stop()
	lastSession := time.Now()
	for ctx.Err() == nil {
		if len(t.node.Instances(wire.RoleEntry)) > 0 {
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
func (t *Sidecar) recordUsage(r execute.Record) {
	if r.Done.Outcome == wire.DoneNotRun {
		return
	}
	record := usage.Record{
		RequestID: r.Ask.RequestID, Attempt: r.Ask.Attempt, Side: usage.SideSidecar, UnixMs: time.Now().UnixMilli(),
		Owner: r.Ask.Owner, Workspace: r.Ask.Workspace, Class: r.Ask.Class, Model: r.Ask.Model,
		Service: t.cfg.Service, Upstream: t.cfg.Instance, UpstreamOwner: t.cfg.Owner, Outcome: outcomeNames[r.Done.Outcome],
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
	t.writer.Add(record, time.Now())
}

var outcomeNames = map[wire.DoneOutcome]string{
	wire.DoneCompleted: "completed", wire.DoneInterrupted: "interrupted", wire.DoneUnknown: "unknown",
}
