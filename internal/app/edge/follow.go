package edge

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/process/replicas"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/version/routes"
)

// maxStoreRetryDelay bounds the delay between calls to a failing store. Every call is billed, and after an outage the
// platform's bounds apply again only after the contact time (3 s and more).
const maxStoreRetryDelay = 800 * time.Millisecond

// pageSize is the number of objects requested per list call; the platform may return fewer.
const pageSize = 500

// maxPages bounds the calls of one list. It allows for several times the 7,600 replicas of the target scale.
const maxPages = 64

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

// feed returns a Feed that watches a kind whose writes must be known within the bound.
func (e *Edge) feed(kind string, bound time.Duration, onObjects func([]store.Object), onGap func(context.Context) error) *store.Feed {
	return &store.Feed{
		Client: e.deps.Store, Kind: kind, OnObjects: onObjects, OnGap: onGap,
		OnError: func(err error) {
			if !errors.Is(err, store.ErrGap) {
				e.registry.StoreFailed()
			}
			e.observer.logError(eventlog.StoreUnavailable, err)
		},
		OnResponse: func() {
			now := time.Now()
			e.registry.StoreResponded(now)
			e.freshness.onResponse(kind, now)
		},
		MaxRetryDelay: maxStoreRetryDelay,
		MinInterval:   minWatchInterval(time.Duration(e.cfg.MinWatchInterval), bound),
	}
}

func (e *Edge) followConfiguration() *store.Feed {
	source := &e.deps.Source
	accept := func(o store.Object) {
		if o.Name != source.ConfigurationName || o.Deleted {
			return
		}
		v, err := source.Configuration(o)
		if err != nil {
			e.deps.Log.Emit(eventlog.EdgeConfigurationInvalid, eventlog.Err(err))
			return
		}
		e.applyConfiguration(v)
	}
	return e.feed(source.ConfigurationKind, e.node.ApplyBound,
		func(objects []store.Object) {
			for _, o := range objects {
				accept(o)
			}
		},
		func(ctx context.Context) error {
			o, err := e.deps.Store.Get(ctx, source.ConfigurationKind, source.ConfigurationName)
			if errors.Is(err, store.ErrNotFound) {
				return nil // the watch delivers the first configuration
			}
			if err != nil {
				return err
			}
			accept(o)
			return nil
		})
}

func (e *Edge) applyConfiguration(v *routes.Version) {
	if !e.routes.Offer(v) {
		return
	}
	e.updatePlacer()
	e.deps.Metrics.TableVersion(v.Number)
	e.deps.Log.Emit(eventlog.EdgeConfigured, eventlog.Version(v.Number), eventlog.Count(len(v.Routes)))
}

func (e *Edge) followReplicas() *store.Feed {
	kind := e.deps.Source.ReplicaKind
	feed := e.feed(kind, e.node.DrainBound,
		func(objects []store.Object) {
			if e.registry.Apply(e.decodeReplicas(objects), time.Now()) {
				e.synced.onChange()
				e.onListChanged("changed")
			}
		},
		func(ctx context.Context) error {
			var all []store.Object
			for after, page := "", 0; page < maxPages; page++ {
				objects, err := e.deps.Store.List(ctx, kind, "", after, pageSize)
				if err != nil {
					return err
				}
				if len(objects) == 0 {
					break
				}
				all, after = append(all, objects...), objects[len(objects)-1].Name
			}
			changed := e.registry.Replace(e.decodeReplicas(all), time.Now())
			e.synced.onList(changed)
			if changed {
				e.onListChanged("listed")
			}
			return nil
		})
	feed.OnSynced = e.synced.onSynced
	feed.StaggerDelay = func() time.Duration {
		return staggerDelay(e.gossip.Rank(), staggerStep(e.gossip.Interval()), e.node.DrainBound)
	}
	return feed
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
	for name := range v.Services {
		names = append(names, name)
	}
	e.placer.Update(e.registry.View(), names)
}
