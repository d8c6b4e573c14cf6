package edge

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/process/replicas"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/version/routes"
)

// While the store fails, a call begins at least every overlapDelay or maxStoreRetryDelay, whether calls get no response or are refused: an outage
// ends between the start of the last call that fails and the first response, and what is known of its end is no better than this time. Every
// call is billed.
const (
	overlapDelay       = 500 * time.Millisecond
	maxStoreRetryDelay = 600 * time.Millisecond
)

// pageSize is the number of objects requested per list call; the platform may return fewer.
const pageSize = 500

// maxPages bounds the calls of one list. It allows for the 7,600 replicas of the target scale three times over, at the
// smallest published page of 50 objects.
const maxPages = 512

// errListTooLong reports a list that does not end within maxPages. A part of a list is not used: the replicas that are missing
// from it would be removed.
var errListTooLong = errors.New("list of replicas is too long")

// maxWatchIntervalShare is the largest minimum watch interval as a share of the bound that the platform sets for the kind:
// 700 ms of 2 s.
const maxWatchIntervalShare = 0.35

// minWatchInterval returns the minimum interval between two watches of a kind whose writes must be known within the bound.
// A bound of 0 means none.
func minWatchInterval(configured, bound time.Duration) time.Duration {
	if bound <= 0 {
		return configured
	}
	return min(configured, time.Duration(maxWatchIntervalShare*float64(bound)))
}

// followed is a kind of object that all edges follow together: one of them polls the store and sends what it has read to the
// others.
type followed struct {
	feed   *store.Feed
	synced syncTracker

	// The fields below are only used by the goroutine of the feed.

	// changes are the changes that the call in progress has read.
	changes []replicas.Change
	// recent are the latest calls, and lastTo is the position up to which the latest one has read.
	recent recentCalls
	lastTo store.Position
}

// followed returns what follows the kind, or nil for an unknown kind.
func (e *Edge) followed(kind followedKind) *followed {
	switch kind {
	case configurationObjects:
		return e.configuration
	case replicaObjects:
		return e.replicas
	default:
		return nil
	}
}

// follow returns what follows a kind whose writes must be known within the bound.
func (e *Edge) follow(kind followedKind, name string, bound time.Duration, onObjects func(*followed, []store.Object), onGap func(context.Context, *followed) error) *followed {
	f := &followed{}
	f.feed = &store.Feed{
		Client: e.deps.Store, Kind: name, Poll: true,
		OnObjects: func(objects []store.Object) { onObjects(f, objects) },
		OnGap:     func(ctx context.Context) error { return onGap(ctx, f) },
		OnError: func(err error) {
			e.storeFailing.Store(true)
			if !errors.Is(err, store.ErrGap) {
				e.registry.StoreFailed(f.feed.CallBegan(), time.Now())
			}
			e.observer.logError(eventlog.StoreUnavailable, err)
		},
		OnResponse: func() {
			e.storeFailing.Store(false)
			e.registry.StoreResponded(time.Now())
		},
		OnRestored: func(uint64) { e.registry.StoreRestored(time.Now()) },
		OnSynced: func(from, to store.Position, began time.Time) {
			e.publish(f, f.synchronized(kind, from, to, began))
		},
		MinInterval: minWatchInterval(time.Duration(e.cfg.MinWatchInterval), bound),
		StaggerDelay: func() time.Duration {
			// Edges whose calls fail are all tried in the order of their addresses; otherwise they come last.
			return staggerDelay(e.gossip.Rank(!e.storeFailing.Load()), bound)
		},
	}
	recordOutages(f.feed, e.registry, e.storeFailing.Store, func(err error) { e.observer.logError(eventlog.StoreUnavailable, err) })
	return f
}

// recordOutages makes a feed tell the registry and setFailing whether the store responds, and sets its delays after a failed call.
func recordOutages(feed *store.Feed, registry *replicas.Registry, setFailing func(bool), logError func(error)) {
	feed.MaxRetryDelay = maxStoreRetryDelay
	feed.OnError = func(err error) {
		setFailing(true)
		if !errors.Is(err, store.ErrGap) {
			registry.StoreFailed(feed.CallBegan(), time.Now())
		}
		logError(err)
	}
	feed.OnResponse = func() {
		setFailing(false)
		registry.StoreResponded(time.Now())
	}
}

func (e *Edge) followConfiguration() *followed {
	source := &e.deps.Source
	f := e.follow(configurationObjects, source.ConfigurationKind, e.node.ApplyBound, e.onConfigurations, nil)
	f.feed.OnSnapshot = func(ctx context.Context, objects []store.Object) error {
		if len(objects) > 0 && newestOf(objects, source.ConfigurationName) == nil {
			// Objects of others fill the first page.
			o, err := e.deps.Store.Get(ctx, source.ConfigurationKind, source.ConfigurationName)
			if err != nil {
				return err
			}
			objects = []store.Object{o}
		}
		e.onConfigurations(f, objects)
		return nil
	}
	f.feed.OnWrites = func(after store.Position) {
		e.broadcast(updateBroadcast, &update{Kind: configurationObjects, From: after.Revision, To: after.Revision, Synced: f.synced.announceWrite(after, time.Now())})
	}
	return f
}

// onConfigurations applies the newest configuration among objects that the store has delivered.
func (e *Edge) onConfigurations(f *followed, objects []store.Object) {
	now := time.Now()
	o := newestOf(objects, e.deps.Source.ConfigurationName)
	if o == nil {
		return
	}
	f.synced.onWrite(o.Revision)
	e.acceptConfiguration(*o, received{sourceStore, f.feed.CallBegan(), now})
}

// newestOf returns the newest version of the named object among objects in the order of their revisions, or nil.
func newestOf(objects []store.Object, name string) *store.Object {
	for i := range slices.Backward(objects) {
		if objects[i].Name == name && !objects[i].Deleted {
			return &objects[i]
		}
	}
	return nil
}

// Sources of a configuration, for the log.
const (
	sourceStore = "store"
	sourceEdge  = "edge"
)

// received tells how an object came to this edge, for the log.
type received struct {
	source string
	// began is when the call began that delivered it, and at when its last byte had arrived.
	began, at time.Time
}

// acceptConfiguration applies an object if it is a newer configuration, and reports whether it is.
func (e *Edge) acceptConfiguration(o store.Object, by received) (changed bool) {
	if o.Name != e.deps.Source.ConfigurationName || o.Deleted {
		return false
	}
	v, err := e.deps.Source.Configuration(o)
	if err != nil {
		e.deps.Log.Emit(eventlog.EdgeConfigurationInvalid, eventlog.Err(err))
		return false
	}
	if !e.applyConfiguration(v) {
		return false
	}
	e.exchange.applied(v.Number, o)
	e.deps.Log.Emit(eventlog.EdgeConfigured, eventlog.Version(v.Number), eventlog.Count(len(v.Routes)), eventlog.Source(by.source),
		eventlog.Bytes(len(o.Value)), eventlog.Transfer(by.at.Sub(by.began)), eventlog.Took(time.Since(by.began)))
	return true
}

// applyConfiguration puts a configuration in force and reports whether it is newer than the one in force.
func (e *Edge) applyConfiguration(v *routes.Version) bool {
	if !e.routes.Offer(v) {
		return false
	}
	e.updatePlacer()
	e.deps.Metrics.TableVersion(v.Number)
	return true
}

func (e *Edge) followReplicas() *followed {
	kind := e.deps.Source.ReplicaKind
	f := e.follow(replicaObjects, kind, e.node.DrainBound,
		func(f *followed, objects []store.Object) {
			if f.changes = e.registry.Apply(e.decodeReplicas(objects), time.Now()); len(f.changes) > 0 {
				f.synced.onChange()
				e.onListChanged("changed")
			}
		},
		func(ctx context.Context, f *followed) error {
			all, err := listAll(ctx, e.deps.Store, kind, e.decodeReplicas)
			if err != nil {
				return err
			}
			changed := e.registry.Replace(all, time.Now())
			f.synced.onList(changed, time.Now())
			if changed {
				e.onListChanged("listed")
			} else {
				e.updatePlacer() // a first list may be empty
			}
			return nil
		})
	f.feed.OverlapDelay = func() time.Duration { return overlapDelay + f.feed.StaggerDelay() }
	return f
}

// listAll lists all objects of a kind. Each page is decoded at once, so that large objects of other writers are not kept until the
// last one.
func listAll[T any](ctx context.Context, client store.Client, kind string, decode func([]store.Object) []T) ([]T, error) {
	var all []T
	after := ""
	for range maxPages {
		objects, err := client.List(ctx, kind, "", after, pageSize)
		if err != nil {
			return nil, err
		}
		if len(objects) == 0 {
			return all, nil
		}
		all, after = append(all, decode(objects)...), objects[len(objects)-1].Name
	}
	return nil, errListTooLong
}

// decodeReplicas decodes entries of the list of replicas and logs those that are invalid.
func (e *Edge) decodeReplicas(objects []store.Object) []replicas.Change {
	list := make([]replicas.Change, 0, len(objects))
	for _, o := range objects {
		change, err := e.deps.Source.Replica(o)
		if err != nil {
			e.observer.logError(eventlog.EdgeReplicaInvalid, err)
		}
		list = append(list, change)
	}
	return list
}

func (e *Edge) onListChanged(reason string) {
	e.updatePlacer()
	e.deps.Log.Emit(eventlog.EdgeReplicas, eventlog.Count(e.registry.View().Len()), eventlog.Reason(reason))
}

func (e *Edge) updatePlacer() {
	e.updateMu.Lock()
	defer e.updateMu.Unlock()
	v := e.routes.Current()
	if v == nil {
		return
	}
	names := make([]string, 0, len(v.Services))
	memory := make(map[string]int, len(v.Services))
	for name, service := range v.Services {
		names = append(names, name)
		if service.Engine != nil {
			memory[name] = service.Engine.CacheTokens
		}
	}
	e.placer.UpdateMemory(memory)
	listed := e.registry.Listed() // before the view is read, which may get its first list meanwhile
	e.placer.Update(e.registry.View(), names)
	if listed {
		e.placeable.Store(true)
	}
}
