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

// storeRetryLimit bounds the wait between calls to a store that fails. Every call is paid for, and after an outage the
// bounds hold again only after the contact time (3 s and more).
const storeRetryLimit = 800 * time.Millisecond

// pageSize is the number of objects that are asked for at once; the platform decides how many it sends.
const pageSize = 500

// maxPages bounds one list; it spans the 7,600 replicas of the target several times over.
const maxPages = 64

// paceShare is the largest pace of watches as a share of the bound that the platform sets for the kind: 700 ms of 2 s.
const paceShare = 0.35

// pace returns the shortest time between two watches of a kind whose writes have to be known within the bound; 0 means that
// there is none.
func pace(set, bound time.Duration) time.Duration {
	if bound <= 0 {
		return set
	}
	return min(set, time.Duration(paceShare*float64(bound)))
}

// feed follows a kind whose writes have to be known within the bound.
func (e *Edge) feed(kind string, bound time.Duration, onObjects func([]store.Object), onGap func(context.Context) error) *store.Feed {
	return &store.Feed{
		Client: e.deps.Store, Kind: kind, OnObjects: onObjects, OnGap: onGap,
		OnError: func(err error) {
			if !errors.Is(err, store.ErrGap) {
				e.registry.StoreFailed()
			}
			e.observer.troubled(eventlog.StoreUnavailable, err)
		},
		OnContact: func() {
			now := time.Now()
			e.registry.StoreAnswered(now)
			e.fresh.onAnswer(kind, now)
		},
		RetryLimit: storeRetryLimit,
		Pace:       pace(time.Duration(e.cfg.WatchPace), bound),
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
		e.configured(v)
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
				return nil // the first configuration arrives by the watch
			}
			if err != nil {
				return err
			}
			accept(o)
			return nil
		})
}

func (e *Edge) configured(v *routes.Version) {
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
			if e.registry.Apply(e.changes(objects), time.Now()) {
				e.coverage.onChange()
				e.listChanged("changed")
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
			changed := e.registry.Replace(e.changes(all), time.Now())
			e.coverage.onList(changed)
			if changed {
				e.listChanged("listed")
			}
			return nil
		})
	feed.OnRead = e.coverage.onRead
	feed.Turn = func() time.Duration { return turn(e.gossip.Rank(), turnStep(e.gossip.Interval()), e.node.DrainBound) }
	return feed
}

func (e *Edge) changes(objects []store.Object) []replicas.Change {
	list := make([]replicas.Change, 0, len(objects))
	for _, o := range objects {
		change, err := e.deps.Source.Replica(o)
		if err != nil {
			e.observer.troubled(eventlog.EdgeReplicaInvalid, err)
		}
		list = append(list, change)
	}
	return list
}

func (e *Edge) listChanged(reason string) {
	e.updatePlacer()
	e.deps.Log.Emit(eventlog.EdgeReplicas, eventlog.Count(e.registry.View().Len()), eventlog.Reason(reason))
}

func (e *Edge) updatePlacer() {
	e.updating.Lock()
	defer e.updating.Unlock()
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
