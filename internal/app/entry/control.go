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
	// flushTimeout bounds the shipping of the last usage records of a graceful shutdown.
	flushTimeout = 10 * time.Second
)

// control is what the entry knows and keeps beside the requests: table, directory, limits, claims and usage.
type control struct {
	follower  *table.Follower
	directory *directory.Follower
	owner     *limit.Owner
	local     *limit.Limiter
	claims    *claim.Log
	writer    *usage.Writer
	collector *usage.Collector
	shipper   *usage.Shipper
}

// newControl prepares the parts that need no session.
func (t *T) newControl() {
	codec := limit.Codec{Marshal: wire.Marshal, Unmarshal: wire.Unmarshal}
	c := &t.control
	c.directory = directory.NewFollower(t.deps.Store, t.storeError)
	c.directory.SetPeers(entryPeers{t}, t.entries)
	c.follower = table.NewFollower(table.FollowerOptions{
		Instance: t.cfg.Instance, Zone: t.cfg.Zone, Client: t.deps.Store, Peers: entryPeers{t}, Events: tableEvents{t},
	})
	c.owner = limit.NewOwner(t.cfg.Instance, time.Now, codec)
	c.local = limit.NewLimiter(limit.LimiterSettings{
		Self: t.cfg.Instance, Limits: t.limits, Owner: c.owner, Caller: entryPeers{t}, Codec: codec, Clock: time.Now,
	})
	c.writer = usage.NewWriter(t.cfg.Instance, usage.SideEntry, t.deps.SigningKey, t.cfg.UsageBufferBytes)
	c.collector = usage.NewCollector(c.writer.Name(), t.deps.Store)
	c.shipper = &usage.Shipper{Writer: c.writer, Sink: c.collector, OnError: t.storeError}
}

// registerControl registers the calls of the other processes, once the node exists.
func (t *T) registerControl() error {
	c := &t.control
	var err error
	c.claims, err = claim.New(claim.Options{
		Instance: t.cfg.Instance, Client: t.deps.Store, Caller: t.node, Members: t.entries,
		OnError: func(err error) { t.log.Emit(eventlog.ClaimsUnavailable, eventlog.Err(err)) },
	})
	if err != nil {
		return err
	}
	for method, h := range c.claims.Handlers() {
		t.node.Handle(method, fromEntries(h))
	}
	t.node.Handle(table.MethodFetch, fromEntries(func(ctx context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
		return c.follower.HandleFetch(ctx, payload)
	}))
	t.node.Handle(directory.MethodFetch, fromEntries(func(ctx context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
		return c.directory.HandleFetch(ctx, payload)
	}))
	t.node.Handle(limit.Method, fromEntries(func(ctx context.Context, from peer.Identity, payload []byte) ([]byte, error) {
		return c.owner.Handle(ctx, from.Instance, payload)
	}))
	t.node.Handle(usage.MethodOffer, func(ctx context.Context, from peer.Identity, payload []byte) ([]byte, error) {
		return c.collector.HandleOffer(ctx, from.Instance, payload)
	})
	return nil
}

// fromEntries refuses a call that does not come from an entry.
func fromEntries(h peer.CallHandler) peer.CallHandler {
	return func(ctx context.Context, from peer.Identity, payload []byte) ([]byte, error) {
		if from.Role != wire.RoleEntry {
			return nil, fmt.Errorf("role %q may not make this call", from.Role)
		}
		return h(ctx, from, payload)
	}
}

// background returns what runs beside the servers until the end of the drain.
func (t *T) background() []func(context.Context) {
	c := &t.control
	return []func(context.Context){t.tracker.Run, t.followMembers, c.follower.Run, c.directory.Run, c.local.Run, c.claims.Run, c.shipper.Run, t.queue.Run}
}

// flush ships the usage records of a graceful shutdown.
func (t *T) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := t.control.shipper.Flush(ctx); err != nil {
		t.storeError(err)
	}
}

func (t *T) storeError(err error) {
	switch {
	case errors.Is(err, store.ErrThrottled):
		t.log.Emit(eventlog.StoreThrottled, eventlog.Err(err))
	case errors.Is(err, store.ErrUnknown):
		t.log.Emit(eventlog.StoreWriteUnknown, eventlog.Err(err))
	default:
		t.log.Emit(eventlog.StoreUnavailable, eventlog.Err(err))
	}
}

// row returns the row of a class in the version in force.
func (t *T) row(class string) (table.Row, bool) {
	current := t.control.follower.Current()
	if current == nil {
		return table.Row{}, false
	}
	row, ok := current.Row(class)
	if !ok {
		return table.Row{}, false
	}
	return *row, true
}

func (t *T) limits(k limit.Key) limit.Limits {
	row, ok := t.row(k.Class)
	if !ok {
		return limit.Limits{}
	}
	return rowLimits(&row, t.control.follower.Number())
}

func rowLimits(row *table.Row, version uint64) limit.Limits {
	return limit.Limits{Version: version, Requests: row.RequestRate, Tokens: row.TokenRate, Concurrency: row.Concurrency}
}

// entries lists the live entries, this one included, in order.
func (t *T) entries() []string {
	var names []string
	for _, m := range (entryPeers{t}).Members() {
		names = append(names, m.Instance)
	}
	return names
}

// applyEntries tells the limiter about the live entries.
func (t *T) applyEntries() {
	names := t.entries()
	if slices.Equal(names, t.entryNames) {
		return
	}
	t.entryNames = names
	members := limit.Members{Live: names}
	t.control.owner.SetMembers(time.Now(), members)
	t.control.local.SetMembers(members)
}

// entryPeers reaches the other entries.
type entryPeers struct{ t *T }

// Call implements table.Peers and limit.Caller.
func (p entryPeers) Call(ctx context.Context, instance, method string, payload []byte) ([]byte, error) {
	return p.t.node.Call(ctx, instance, method, payload)
}

// Members implements table.Peers. Suspect entries count as alive: their silence may be this entry's own.
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

// tableEvents logs what happens to the table.
type tableEvents struct{ t *T }

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

// Follower holds the table in force.
func (t *T) Follower() *table.Follower { return t.control.follower }

// Directory holds the workspaces and operators in use.
func (t *T) Directory() *directory.Follower { return t.control.directory }
