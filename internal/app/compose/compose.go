// Package compose builds an entry or a sidecar with its dependencies: store client, metrics, event log and operator API.
// The commands entry and sidecar and the demo share it.
package compose

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/app/entry"
	"github.com/dragonflypin/dragonflypin/internal/app/operator"
	"github.com/dragonflypin/dragonflypin/internal/app/sidecar"
	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/process/metrics"
	"github.com/dragonflypin/dragonflypin/internal/process/settings"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/process/usage"
	"github.com/dragonflypin/dragonflypin/internal/version/table"
)

// Roles in logs and metrics.
const (
	roleEntry   = "entry"
	roleSidecar = "sidecar"
)

// sidecarCallsPerSecond limits a sidecar's store calls; it only reads and writes fencing numbers.
const sidecarCallsPerSecond = 1

// Entry is an entry with its operator API.
type Entry struct {
	*entry.Entry
	metrics *metrics.Metrics
}

// NewEntry binds the listeners of an entry. Unset fields of cfg get their defaults; events are written to log.
func NewEntry(cfg settings.Entry, keys Keys, log io.Writer) (*Entry, error) {
	settings.ApplyDefaults(&cfg)
	events := eventlog.New(log, cfg.Log.Level, roleEntry, cfg.Instance)
	m, err := metrics.New(roleEntry, cfg.Instance, cfg.Zone)
	if err != nil {
		return nil, err
	}
	client, err := store.NewHTTP(store.Options{BaseURL: cfg.StoreURL, CallsPerSecond: cfg.StoreCallsPerSecond, Observer: observer{m}})
	if err != nil {
		return nil, err
	}
	e, err := entry.New(cfg, entry.Deps{
		Store: client, Credentials: keys.Credentials, SigningKey: keys.Signing, Log: events, Metrics: m,
	})
	if err != nil {
		return nil, err
	}
	c := &Entry{Entry: e, metrics: m}
	follower := e.Table()
	e.SetOperator(operator.New(operator.Options{
		Directory: e.Directory().Current,
		Current:   follower.Current,
		Publisher: table.NewPublisher(client, follower.Current, follower.Offer),
		Log:       table.Log{Client: client},
		Usage:     usage.NewReader(client),
		Status:    statusCollector{e},
		Explain:   explainer{e},
		Metrics:   m.Handler(),
	}))
	return c, nil
}

// Run serves until ctx is done, drains the entry and shuts its metrics down.
func (c *Entry) Run(ctx context.Context) error {
	err := c.Entry.Run(ctx)
	return errors.Join(err, c.metrics.Shutdown(context.WithoutCancel(ctx)))
}

// NewSidecar binds the address of a sidecar's peer sessions. Unset fields of cfg get their defaults; events are written
// to log.
func NewSidecar(cfg settings.Sidecar, keys Keys, log io.Writer) (*sidecar.Sidecar, error) {
	settings.ApplyDefaults(&cfg)
	client, err := store.NewHTTP(store.Options{BaseURL: cfg.StoreURL, CallsPerSecond: sidecarCallsPerSecond})
	if err != nil {
		return nil, err
	}
	return sidecar.New(cfg, sidecar.Deps{
		Store: client, Credentials: keys.Credentials, SigningKey: keys.Signing,
		Log: eventlog.New(log, cfg.Log.Level, roleSidecar, cfg.Instance),
	})
}

// StoreObserver returns an observer that records store calls in m.
func StoreObserver(m *metrics.Metrics) store.Observer { return observer{m} }

// observer records store calls as metrics.
type observer struct{ metrics *metrics.Metrics }

// StoreCall implements store.Observer.
func (o observer) StoreCall(op store.Op, took time.Duration, err error) {
	o.metrics.StoreCall(string(op), callResult(err), took)
}

// StoreRefused implements store.Observer.
func (o observer) StoreRefused(op store.Op) { o.metrics.StoreCall(string(op), "budget", 0) }

func callResult(err error) string {
	for _, kind := range []struct {
		err  error
		name string
	}{
		{store.ErrNotFound, "not_found"}, {store.ErrConflict, "conflict"}, {store.ErrUnavailable, "unavailable"},
		{store.ErrUnknown, "unknown"}, {store.ErrThrottled, "throttled"},
	} {
		if errors.Is(err, kind.err) {
			return kind.name
		}
	}
	if err != nil {
		return "failed"
	}
	return "ok"
}
