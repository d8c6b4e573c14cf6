// Package demo runs the whole system in one process on loopback: the stand-ins for the platform, two upstream services of
// each owner with one sidecar per replica, and two entries.
package demo

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/app/compose"
	"github.com/dragonflypin/dragonflypin/internal/app/entry"
	"github.com/dragonflypin/dragonflypin/internal/app/sidecar"
	"github.com/dragonflypin/dragonflypin/internal/connection/peer"
	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/process/settings"
	"github.com/dragonflypin/dragonflypin/internal/standin/instances"
)

const (
	// DefaultListen is the address of the first entry.
	DefaultListen = "127.0.0.1:8080"
	// tableVersions is the number of edits that create the sample table.
	tableVersions = 2
	startTimeout  = 30 * time.Second
	pollInterval  = 20 * time.Millisecond
	probeTimeout  = 2 * time.Second
	// entryStoreCallsPerSecond is the rate limit of each entry's store calls. The default is meant for 360 entries; the two
	// entries of the demo may use more.
	entryStoreCallsPerSecond = 100
)

// Options configure the demo.
type Options struct {
	// Listen is the HOST:PORT of the first entry's caller API. Default DefaultListen.
	Listen string
	// Duration is the time after which the demo ends; 0 means no limit.
	Duration time.Duration
	// Out receives the keys and addresses, Log the events.
	Out, Log io.Writer
}

type system struct {
	opts     Options
	platform *platform
	ca       *peer.DevCA
	keys     accessKeys
	entries  []*compose.Entry
	sidecars []*sidecar.Sidecar
}

// Run starts the system, prints keys and addresses, and serves until ctx is done or Options.Duration has passed. Entries
// and sidecars then complete the requests in flight.
func Run(ctx context.Context, o Options) error {
	if o.Listen == "" {
		o.Listen = DefaultListen
	}
	if o.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, o.Duration)
		defer cancel()
	}
	s := &system{opts: o}
	defer func() {
		if s.platform != nil {
			s.platform.close()
		}
	}()
	if err := s.build(ctx); err != nil {
		return err
	}
	return s.serve(ctx)
}

func (s *system) build(ctx context.Context) error {
	var err error
	if s.platform, err = newPlatform(eventlog.New(s.opts.Log, "info", "standin", "demo")); err != nil {
		return err
	}
	if s.ca, err = peer.NewDevCA(); err != nil {
		return fmt.Errorf("create the development CA: %w", err)
	}
	if s.keys, err = s.platform.seed(ctx); err != nil {
		return err
	}
	for i := range entryZones {
		if err := s.addEntry(i); err != nil {
			return err
		}
	}
	for _, service := range services {
		for i := range service.replicas {
			if err := s.addSidecar(service, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *system) issue(role wire.Role, name string) (compose.Keys, error) {
	credentials, err := s.ca.Issue(role, name)
	if err != nil {
		return compose.Keys{}, err
	}
	_, signing, err := ed25519.GenerateKey(rand.Reader)
	return compose.Keys{Credentials: credentials, Signing: signing}, err
}

func (s *system) addEntry(i int) error {
	cfg := settings.Entry{
		Instance: fmt.Sprintf("entry-%d", i+1), Zone: entryZones[i],
		Listen: loopback, OperatorListen: loopback, PeerListen: loopback,
		StoreURL: s.platform.storeURL, InstancesURL: s.platform.instancesURL, StoreCallsPerSecond: entryStoreCallsPerSecond,
	}
	if i == 0 {
		cfg.Listen = s.opts.Listen
	}
	keys, err := s.issue(wire.RoleEntry, cfg.Instance)
	if err != nil {
		return err
	}
	e, err := compose.NewEntry(cfg, keys, s.opts.Log)
	if err != nil {
		return err
	}
	s.entries = append(s.entries, e)
	s.platform.list.Put(instances.Instance{Instance: cfg.Instance, Role: string(wire.RoleEntry), Zone: cfg.Zone, Address: e.AddrPeer(), State: instances.StateLive})
	return nil
}

func (s *system) addSidecar(service upstreamService, i int) error {
	name := fmt.Sprintf("%s-%d", service.name, i+1)
	url, err := s.platform.upstream(service, name)
	if err != nil {
		return err
	}
	cfg := settings.Sidecar{
		Instance: name, Zone: service.zones[i%len(service.zones)], Owner: service.owner, Service: service.name, Kind: service.kind,
		UpstreamURL: url, PeerListen: loopback, StoreURL: s.platform.storeURL,
	}
	if service.kind == settings.KindEngine {
		cfg.Models, cfg.Slots, cfg.CanPause = []string{service.model}, engineSlots, true
	}
	keys, err := s.issue(wire.RoleSidecar, name)
	if err != nil {
		return err
	}
	c, err := compose.NewSidecar(cfg, keys, s.opts.Log)
	if err != nil {
		return err
	}
	s.sidecars = append(s.sidecars, c)
	s.platform.list.Put(instances.Instance{
		Instance: name, Role: string(wire.RoleSidecar), Service: service.name, Owner: service.owner, Kind: service.kind,
		Zone: cfg.Zone, Address: c.AddrPeer(), State: instances.StateLive,
	})
	return nil
}

// serve runs the entries and sidecars. On shutdown, the entries drain before the sidecars stop.
func (s *system) serve(ctx context.Context) error {
	entriesCtx, stopEntries := context.WithCancel(context.WithoutCancel(ctx))
	sidecarsCtx, stopSidecars := context.WithCancel(context.WithoutCancel(ctx))
	defer stopEntries()
	defer stopSidecars()
	entries, sidecars := newGroup(), newGroup()
	for _, c := range s.sidecars {
		sidecars.run(sidecarsCtx, c.Run)
	}
	for _, e := range s.entries {
		entries.run(entriesCtx, e.Run)
	}
	err := s.printReady(ctx)
	if err == nil {
		select {
		case <-ctx.Done():
		case <-entries.failed:
		case <-sidecars.failed:
		}
	}
	stopEntries()
	err = errors.Join(err, entries.wait())
	stopSidecars()
	return errors.Join(err, sidecars.wait())
}

// printReady waits until all entries are ready and prints keys and addresses.
func (s *system) printReady(ctx context.Context) error {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, e := range s.entries {
		if !s.waitReady(startCtx, e) {
			if ctx.Err() != nil {
				return nil // stopped during startup
			}
			return fmt.Errorf("entry %s is not ready after %s", e.Addr(), startTimeout)
		}
	}
	out := &printer{w: s.opts.Out}
	for _, k := range s.keys.workspaces {
		out.line("key %s %s", k.name, k.key)
	}
	for _, k := range s.keys.operators {
		out.line("operator %s %s", k.name, k.key)
	}
	for _, e := range s.entries {
		out.line("entry http://%s", e.Addr())
	}
	out.line("operator-api http://%s", s.entries[0].AddrOperator())
	out.line("ready http://%s", s.entries[0].Addr())
	return out.err
}

// printer writes lines until the first error, which it records.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func (s *system) waitReady(ctx context.Context, e *compose.Entry) bool {
	for {
		if s.ready(ctx, e) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pollInterval):
		}
	}
}

// ready reports whether an entry has the sample table, accepts the keys and has a session with every upstream, all of them
// healthy.
func (s *system) ready(ctx context.Context, e *compose.Entry) bool {
	status := e.Status()
	return status.TableVersion == tableVersions && countHealthy(status) == len(s.sidecars) &&
		s.probe(ctx, "http://"+e.Addr()+"/v1/models", s.keys.workspaces[0].key) &&
		s.probe(ctx, "http://"+e.AddrOperator()+"/status", s.keys.operators[0].key)
}

func countHealthy(status entry.Status) int {
	n := 0
	for _, u := range status.Upstreams {
		if u.Healthy && u.Session == peer.StateUp.String() {
			n++
		}
	}
	return n
}

func (s *system) probe(ctx context.Context, url, key string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// group runs entries or sidecars and collects their errors. failed is closed at the first error.
type group struct {
	wg     sync.WaitGroup
	failed chan struct{}
	once   sync.Once
	mu     sync.Mutex
	err    error
}

func newGroup() *group { return &group{failed: make(chan struct{})} }

func (g *group) run(ctx context.Context, run func(context.Context) error) {
	g.wg.Go(func() {
		if err := run(ctx); err != nil {
			g.mu.Lock()
			g.err = errors.Join(g.err, err)
			g.mu.Unlock()
			g.once.Do(func() { close(g.failed) })
		}
	})
}

func (g *group) wait() error {
	g.wg.Wait()
	return g.err
}
