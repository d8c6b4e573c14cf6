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
func (t *Entry) newControl() {
	codec := limit.Codec{Marshal: wire.Marshal, Unmarshal: wire.Unmarshal}
	c := &t.control
	c.directory = directory.NewFollower(t.deps.Store, t.logStoreError)
	c.directory.SetPeers(entryPeers{t}, t.liveEntries)
	c.table = table.NewFollower(table.FollowerOptions{
		Instance: t.cfg.Instance, Zone: t.cfg.Zone, Client: t.deps.Store, Peers: entryPeers{t}, Events: tableEvents{t},
	})
	c.owner = limit.NewOwner(t.cfg.Instance, time.Now, codec)
	c.limiter = limit.NewLimiter(limit.LimiterSettings{
		Self: t.cfg.Instance, Limits: t.limits, Owner: c.owner, Client: entryPeers{t}, Codec: codec, Clock: time.Now,
	})
	c.writer = usage.NewWriter(t.cfg.Instance, usage.SideEntry, t.deps.SigningKey, t.cfg.UsageBufferBytes)
	c.collector = usage.NewCollector(c.writer.Name(), t.deps.Store)
	c.shipper = &usage.Shipper{Writer: c.writer, Sink: c.collector, OnError: t.logStoreError}
}

// registerControl creates the claim log and registers the handlers of calls from other processes. The peer node must exist.
func (t *Entry) registerControl() error {
	c := &t.control
	var err error
	c.claims, err = claim.New(claim.Options{
		Instance: t.cfg.Instance, Client: t.deps.Store, Caller: t.node, Members: t.liveEntries,
		OnError: func(err error) { t.log.Emit(eventlog.ClaimsUnavailable, eventlog.Err(err)) },
	})
	if err != nil {
		return err
	}
	for method, h := range c.claims.Handlers() {
		t.node.Handle(method, entriesOnly(h))
	}
	t.node.Handle(table.MethodFetch, entriesOnly(func(ctx context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
		return c.table.HandleFetch(ctx, payload)
	}))
	t.node.Handle(directory.MethodFetch, entriesOnly(func(ctx context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
		return c.directory.HandleFetch(ctx, payload)
	}))
	t.node.Handle(limit.Method, entriesOnly(func(ctx context.Context, from peer.Identity, payload []byte) ([]byte, error) {
		return c.owner.Handle(ctx, from.Instance, payload)
	}))
	t.node.Handle(usage.MethodOffer, func(ctx context.Context, from peer.Identity, payload []byte) ([]byte, error) {
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
func (t *Entry) backgroundLoops() []func(context.Context) {
	c := &t.control
	return []func(context.Context){t.tracker.Run, t.followMembers, c.table.Run, c.directory.Run, c.limiter.Run, c.claims.Run, c.shipper.Run, t.queue.Run}
}

// flushUsage ships the last usage records during a graceful shutdown.
func (t *Entry) flushUsage() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := t.control.shipper.Flush(ctx); err != nil {
		t.logStoreError(err)
	}
}

func (t *Entry) logStoreError(err error) {
	switch {
	case errors.Is(err, store.ErrThrottled):
		t.log.Emit(eventlog.StoreThrottled, eventlog.Err(err))
	case errors.Is(err, store.ErrUnknown):
		t.log.Emit(eventlog.StoreWriteUnknown, eventlog.Err(err))
	default:
		t.log.Emit(eventlog.StoreUnavailable, eventlog.Err(err))
	}
}

// row returns the row of a class in the table version in force.
func (t *Entry) row(class string) (table.Row, bool) {
	current := t.control.table.Current()
	if current == nil {
		return table.Row{}, false
	}
	row, ok := current.Row(class)
	if !ok {
		return table.Row{}, false
	}
	return *row, true
}

func (t *Entry) limits(k limit.Key) limit.Limits {
	row, ok := t.row(k.Class)
	if !ok {
		return limit.Limits{}
	}
	return rowLimits(&row, t.control.table.Number())
}

func rowLimits(row *table.Row, version uint64) limit.Limits {
	return limit.Limits{Version: version, Requests: row.RequestRate, Tokens: row.TokenRate, Concurrency: row.Concurrency}
}

// liveEntries returns the sorted names of the live entries, including this one.
func (t *Entry) liveEntries() []string {
	var names []string
	for _, m := range (entryPeers{t}).Members() {
		names = append(names, m.Instance)
	}
	return names
}

// applyEntries passes the live entries to the limit owner and the limiter if they have changed.
func (t *Entry) applyEntries() {
	names := t.liveEntries()
	if slices.Equal(names, t.appliedEntries) {
		return
	}
	t.appliedEntries = names
	members := limit.Members{Live: names}
	t.control.owner.SetMembers(time.Now(), members)
	t.control.limiter.SetMembers(members)
}

// entryPeers makes calls to the other entries.
type entryPeers struct{ t *Entry }

// Call implements table.Peers and limit.PeerClient.
func (p entryPeers) Call(ctx context.Context, instance, method string, payload []byte) ([]byte, error) {
	return p.t.node.Call(ctx, instance, method, payload)
}

// Members implements table.Peers. Suspect entries count as live, because the connection may have failed on this side.
func (p entryPeers) Members() []table.Member {
	list := []table.Member{{Instance: p.t.cfg.Instance, Zone: p.t.cfg.Zone}}
	for _, m := range p.t.tracker.Members() {
		if m.Role == membership.RoleEntry && m.Combined != membership.Leaving && m.Instance.Instance != p.t.cfg.Instance {
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
		p.t.node.Post(instance, &wire.TableAnnounce{Version: version})
	}
}

// tableEvents logs changes and errors of the table.
type tableEvents struct{ t *Entry }

// TableInForce implements table.Events.
func (e tableEvents) TableInForce(c *table.Compiled, source string) {
	e.t.log.Emit(eventlog.TableInForce, eventlog.Version(c.Number()), eventlog.Reason(source))
	e.t.deps.Metrics.TableVersion(c.Number())
}

// TableFailed implements table.Events.
func (e tableEvents) TableFailed(source string, err error) {
	e.t.log.Emit(eventlog.StoreUnavailable, eventlog.Reason(source), eventlog.Err(err))
}

// TableForked implements table.Events.
func (e tableEvents) TableForked(instance string, number uint64) {
	e.t.log.Emit(eventlog.TableInvalid, eventlog.Peer(instance), eventlog.Version(number), eventlog.Reason("fork"))
}

// Table returns the follower of the table, which has the version in force.
func (t *Entry) Table() *table.Follower { return t.control.table }

// Directory returns the follower of the directory of workspaces and operators.
func (t *Entry) Directory() *directory.Follower { return t.control.directory }
