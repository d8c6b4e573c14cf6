package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/peer"
	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/process/limit"
	"github.com/dragonflypin/dragonflypin/internal/process/membership"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/process/usage"
	"github.com/dragonflypin/dragonflypin/internal/request/claim"
	"github.com/dragonflypin/dragonflypin/internal/version/directory"
	"github.com/dragonflypin/dragonflypin/internal/version/table"
)

const (
	// flushTimeout bounds the shipping of the last usage records during a graceful shutdown.
	flushTimeout = 10 * time.Second
)

// control groups the state that all requests share: the table, the directory, limits, idempotency claims and usage records.
type control struct {
	table     *table.Follower
	directory *directory.Follower
	owner     *limit.Owner
	limiter   *limit.Limiter
	claims    *claim.Log
	writer    *usage.Writer
	collector *usage.Collector
	shipper   *usage.Shipper
}

// newControl creates the components that need no peer node.
func (e *Entry) newControl() {
	codec := limit.Codec{Marshal: wire.Marshal, Unmarshal: wire.Unmarshal}
	c := &e.control
	c.directory = directory.NewFollower(e.deps.Store, e.logStoreError)
	c.directory.SetPeers(entryPeers{e}, e.liveEntries)
	c.table = table.NewFollower(table.FollowerOptions{
		Instance: e.cfg.Instance, Zone: e.cfg.Zone, Client: e.deps.Store, Peers: entryPeers{e}, Events: tableEvents{e},
	})
	c.owner = limit.NewOwner(e.cfg.Instance, time.Now, codec)
	c.limiter = limit.NewLimiter(limit.LimiterSettings{
		Self: e.cfg.Instance, Limits: e.limits, Owner: c.owner, Client: entryPeers{e}, Codec: codec, Clock: time.Now,
	})
	c.writer = usage.NewWriter(e.cfg.Instance, usage.SideEntry, e.deps.SigningKey, e.cfg.UsageBufferBytes)
	c.collector = usage.NewCollector(c.writer.Name(), e.deps.Store)
	c.shipper = &usage.Shipper{Writer: c.writer, Sink: c.collector, OnError: e.logStoreError}
}

// registerControl creates the claim log and registers the handlers of calls from other processes. The peer node must exist.
func (e *Entry) registerControl() error {
	c := &e.control
	var err error
	c.claims, err = claim.New(claim.Options{
		Instance: e.cfg.Instance, Client: e.deps.Store, Peers: e.node, Members: e.liveEntries,
		OnError: func(err error) { e.log.Emit(eventlog.ClaimsUnavailable, eventlog.Err(err)) },
	})
	if err != nil {
		return err
	}
	for method, h := range c.claims.Handlers() {
		e.node.Handle(method, entriesOnly(h))
	}
	e.node.Handle(table.MethodFetch, entriesOnly(func(ctx context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
		return c.table.HandleFetch(ctx, payload)
	}))
	e.node.Handle(directory.MethodFetch, entriesOnly(func(ctx context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
		return c.directory.HandleFetch(ctx, payload)
	}))
	e.node.Handle(limit.Method, entriesOnly(func(ctx context.Context, from peer.Identity, payload []byte) ([]byte, error) {
		return c.owner.Handle(ctx, from.Instance, payload)
	}))
	e.node.Handle(usage.MethodOffer, func(ctx context.Context, from peer.Identity, payload []byte) ([]byte, error) {
		return c.collector.HandleOffer(ctx, from.Instance, payload)
	})
	return nil
}

// entriesOnly wraps a handler so that it rejects calls from other roles than entry.
func entriesOnly(h peer.CallHandler) peer.CallHandler {
	return func(ctx context.Context, from peer.Identity, payload []byte) ([]byte, error) {
		if from.Role != wire.RoleEntry {
			return nil, fmt.Errorf("role %q may not make this call", from.Role)
		}
		return h(ctx, from, payload)
	}
}

// backgroundLoops returns the loops that run until the drain has ended.
func (e *Entry) backgroundLoops() []func(context.Context) {
	c := &e.control
	return []func(context.Context){e.tracker.Run, e.followMembers, c.table.Run, c.directory.Run, c.limiter.Run, c.claims.Run, c.shipper.Run, e.queue.Run}
}

// flushUsage ships the last usage records during a graceful shutdown.
func (e *Entry) flushUsage() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := e.control.shipper.Flush(ctx); err != nil {
		e.logStoreError(err)
	}
}

func (e *Entry) logStoreError(err error) {
	switch {
	case errors.Is(err, store.ErrThrottled):
		e.log.Emit(eventlog.StoreThrottled, eventlog.Err(err))
	case errors.Is(err, store.ErrUnknown):
		e.log.Emit(eventlog.StoreWriteUnknown, eventlog.Err(err))
	default:
		e.log.Emit(eventlog.StoreUnavailable, eventlog.Err(err))
	}
}

// row returns the row of a class in the table version in force.
func (e *Entry) row(class string) (table.Row, bool) {
	current := e.control.table.Current()
	if current == nil {
		return table.Row{}, false
	}
	row, ok := current.Row(class)
	if !ok {
		return table.Row{}, false
	}
	return *row, true
}

func (e *Entry) limits(k limit.Key) limit.Limits {
	row, ok := e.row(k.Class)
	if !ok {
		return limit.Limits{}
	}
	return rowLimits(&row, e.control.table.Number())
}

func rowLimits(row *table.Row, version uint64) limit.Limits {
	return limit.Limits{Version: version, Requests: row.RequestRate, Tokens: row.TokenRate, Concurrency: row.Concurrency}
}

// liveEntries returns the sorted names of the live entries, including this one.
func (e *Entry) liveEntries() []string {
	var names []string
	for _, m := range (entryPeers{e}).Members() {
		names = append(names, m.Instance)
	}
	return names
}

// applyEntries passes the live entries to the limit owner and the limiter if they have changed.
func (e *Entry) applyEntries() {
	names := e.liveEntries()
	if slices.Equal(names, e.appliedEntries) {
		return
	}
	e.appliedEntries = names
	members := limit.Members{Live: names}
	e.control.owner.SetMembers(time.Now(), members)
	e.control.limiter.SetMembers(members)
}

// entryPeers makes calls to the other entries.
type entryPeers struct{ entry *Entry }

// Call implements table.Peers and limit.PeerClient.
func (p entryPeers) Call(ctx context.Context, instance, method string, payload []byte) ([]byte, error) {
	return p.entry.node.Call(ctx, instance, method, payload)
}

// Members implements table.Peers. Suspect entries count as live, because the connection may have failed on this side.
func (p entryPeers) Members() []table.Member {
	list := []table.Member{{Instance: p.entry.cfg.Instance, Zone: p.entry.cfg.Zone}}
	for _, m := range p.entry.tracker.Members() {
		if m.Role == membership.RoleEntry && m.Combined != membership.Leaving && m.Instance.Instance != p.entry.cfg.Instance {
			list = append(list, table.Member{Instance: m.Instance.Instance, Zone: m.Zone})
		}
	}
	slices.SortFunc(list, func(a, b table.Member) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
	return list
}

// Announce implements table.Peers.
func (p entryPeers) Announce(instances []string, version uint64) {
	for _, instance := range instances {
		p.entry.node.Post(instance, &wire.TableAnnounce{Version: version})
	}
}

// tableEvents logs changes and errors of the table.
type tableEvents struct{ entry *Entry }

// TableInForce implements table.Events.
func (e tableEvents) TableInForce(c *table.Compiled, source string) {
	e.entry.log.Emit(eventlog.TableInForce, eventlog.Version(c.Number()), eventlog.Reason(source))
	e.entry.deps.Metrics.TableVersion(c.Number())
}

// TableFailed implements table.Events.
func (e tableEvents) TableFailed(source string, err error) {
	e.entry.log.Emit(eventlog.StoreUnavailable, eventlog.Reason(source), eventlog.Err(err))
}

// TableForked implements table.Events.
func (e tableEvents) TableForked(instance string, number uint64) {
	e.entry.log.Emit(eventlog.TableInvalid, eventlog.Peer(instance), eventlog.Version(number), eventlog.Reason("fork"))
}

// Table returns the follower of the table, which has the version in force.
func (e *Entry) Table() *table.Follower { return e.control.table }

// Directory returns the follower of the directory of workspaces and operators.
func (e *Entry) Directory() *directory.Follower { return e.control.directory }
