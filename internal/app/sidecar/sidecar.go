// Package sidecar composes the process beside one upstream: the sessions from entries and the executor.
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
	// probeInterval is the time between checks whether the upstream answers; a failed dispatch is noticed at once.
	probeInterval = time.Second
	probeTimeout  = 2 * time.Second
	// probeFailures is the number of failed checks in a row that make an upstream unhealthy, so that a single slow
	// answer does not.
	probeFailures = 2
	flushTimeout  = 10 * time.Second
	// lonelyFlushTimeout applies when no entry has a session.
	lonelyFlushTimeout = 200 * time.Millisecond
)

// Deps are what a sidecar needs from the process around it.
type Deps struct {
	Store       store.Client
	Credentials *peer.Credentials
	SigningKey  ed25519.PrivateKey
	Log         *eventlog.Log
}

// T is one sidecar instance.
type T struct {
	cfg      settings.Sidecar
	deps     Deps
	log      *eventlog.Log
	node     *peer.Node
	client   *upstream.Client
	executor *execute.Executor
	changed  chan struct{}
	gate     *lease.FenceChecker
	writer   *usage.Writer
	shipper  *usage.Shipper
}

// New binds the sessions' address. Run must follow, also to release it.
func New(cfg settings.Sidecar, deps Deps) (*T, error) {
	client, err := upstream.New(cfg.UpstreamURL)
	if err != nil {
		return nil, err
	}
	t := &T{cfg: cfg, deps: deps, log: deps.Log, client: client, changed: make(chan struct{}, 1)}
	kind := wire.KindEngine
	if cfg.Kind == settings.KindPlain {
		kind = wire.KindPlain
	}
	t.executor = execute.New(execute.Options{
		Client: client, Kind: kind, Slots: cfg.Slots, Models: cfg.Models, CanPause: cfg.CanPause,
		OnChange: t.onChange, OnRecord: t.count, OnHealth: t.onHealth, OnError: func(err error) {
			t.log.Emit(eventlog.InternalError, eventlog.Reason("pause or resume failed"), eventlog.Err(err))
		},
	})
	t.gate = lease.NewFenceChecker(deps.Store, cfg.Instance)
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

// AddrPeer is the UDP address of the sessions.
func (t *T) AddrPeer() string { return t.node.Addr() }

// Load is the current load report.
func (t *T) Load() wire.Load { return *t.executor.Load() }

// Run serves until ctx ends; then it announces draining on all sessions, refuses what is queued, and waits until
// everything started has ended or the drain timeout has passed.
func (t *T) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(func() { t.report(background) })
	wg.Go(func() { t.probe(background) })
	wg.Go(func() { t.shipper.Run(background) })
	t.log.Emit(eventlog.SidecarStarted, eventlog.Address(t.AddrPeer()))
	<-ctx.Done()
	t.log.Emit(eventlog.DrainStarted, eventlog.Count(t.executor.Load().Running))
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(t.cfg.DrainTimeout))
	err := t.executor.Drain(bounded)
	cancel()
	if errors.Is(err, context.DeadlineExceeded) {
		t.log.Emit(eventlog.DrainTimedOut, eventlog.Count(t.executor.Load().Running))
		err = nil
	}
	stop()
	wg.Wait()
	t.flush()
	_ = t.node.Close()
	t.client.Close()
	return err
}

func (t *T) serve(ctx context.Context, from peer.Identity, st *peer.Stream, ask *wire.Ask) {
	if from.Role != wire.RoleEntry {
		st.Abort()
		return
	}
	t.executor.Serve(ctx, from, st, ask)
}

func (t *T) onHealth(healthy bool) {
	if healthy {
		t.log.Emit(eventlog.UpstreamUp, eventlog.Upstream(t.cfg.Instance))
	} else {
		t.log.Emit(eventlog.UpstreamDown, eventlog.Upstream(t.cfg.Instance))
	}
}

func (t *T) onChange() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// report broadcasts the load after changes, as often as the pacer allows. A drain is announced like any change.
func (t *T) report(ctx context.Context) {
	var pacer schedule.ReportLimiter
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.changed:
		case <-due.C:
		}
		load := t.executor.Load()
		send, wait := pacer.Next(time.Now(), schedule.Report{
			Slots: load.Slots, Running: load.Running, Paused: load.Paused, Queued: load.Queued, Draining: load.Draining, Healthy: load.Healthy,
		})
		if send {
			t.node.Broadcast(load)
		}
		if wait > 0 {
			due.Reset(wait)
		}
	}
}

// probe watches whether the upstream answers.
func (t *T) probe(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if t.alive(ctx) {
			failures = 0
			t.executor.SetHealthy(true)
			continue
		}
		if failures++; failures >= probeFailures && ctx.Err() == nil {
			t.executor.SetHealthy(false)
		}
	}
}

func (t *T) alive(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if t.cfg.Kind == settings.KindPlain {
		return t.client.Alive(ctx)
	}
	_, err := t.client.Load(ctx)
	var status *upstream.StatusError
	return err == nil || errors.As(err, &status) && status.Status < 500
}

// flush ships the last usage records over the sessions that are still open. Without any, it gives up soon: an entry that
// is to dial again would do so within the time that is waited.
func (t *T) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	go t.cancelWhenAlone(ctx, cancel)
	if err := t.shipper.Flush(ctx); err != nil {
		t.log.Emit(eventlog.UsageWaiting, eventlog.Err(err))
	}
}

// cancelWhenAlone cancels once no entry has had a session for lonelyFlushTimeout.
func (t *T) cancelWhenAlone(ctx context.Context, cancel func()) {
	ticker := time.NewTicker(lonelyFlushTimeout / 4)
	defer ticker.Stop()
	last := time.Now()
	for ctx.Err() == nil {
		if len(t.node.Instances(wire.RoleEntry)) > 0 {
			last = time.Now()
		} else if time.Since(last) > lonelyFlushTimeout {
			cancel()
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// count adds the sidecar's own record of an attempt.
func (t *T) count(r execute.Record) {
	if r.Done.Outcome == wire.DoneNotRun {
		return
	}
	record := usage.Record{
		RequestID: r.Ask.RequestID, Attempt: r.Ask.Attempt, Side: usage.SideSidecar, UnixMs: time.Now().UnixMilli(),
		Owner: r.Ask.Owner, Workspace: r.Ask.Workspace, Class: r.Ask.Class, Model: r.Ask.Model,
		Service: t.cfg.Service, Upstream: t.cfg.Instance, UpstreamOwner: t.cfg.Owner, Outcome: outcomes[r.Done.Outcome],
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

var outcomes = map[wire.DoneOutcome]string{
	wire.DoneCompleted: "completed", wire.DoneInterrupted: "interrupted", wire.DoneUnknown: "unknown",
}
