package compose

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/app/entry"
	"github.com/dragonflypin/dragonflypin/internal/app/operator"
	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
)

// statusTimeout bounds the status call to one other entry.
const statusTimeout = time.Second

// States of an entry in the fleet's status.
const (
	stateServing     = "serving"
	stateDraining    = "draining"
	stateUnreachable = "unreachable"
)

// FleetStatus is the response of GET /status.
type FleetStatus struct {
	Entries []EntryState `json:"entries"`
	// Upstreams are the upstreams that the responding entry has sessions to, in the state that it sees.
	Upstreams []entry.UpstreamStatus `json:"upstreams"`
	Queues    []Queue                `json:"queues"`
	Refusals  []Refusal              `json:"refusals"`
}

// EntryState is the state of one entry.
type EntryState struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	// State is serving, draining or unreachable.
	State string `json:"state"`
	// TableVersion is the table version in force at the entry.
	TableVersion uint64 `json:"table_version"`
	InFlight     int64  `json:"in_flight"`
}

// Queue is the number of waiting requests of a class at an entry.
type Queue struct {
	Entry   string `json:"entry"`
	Class   string `json:"class"`
	Waiting int    `json:"waiting"`
}

// Refusal is the number of error responses of an entry with one error code since the entry started. Reason is the code.
type Refusal struct {
	Entry  string `json:"entry"`
	Reason string `json:"reason"`
	Count  uint64 `json:"count"`
}

// statusCollector collects the status of this entry and of all entries that it has a session with.
type statusCollector struct{ entry *entry.Entry }

// Status implements operator.Status.
func (c statusCollector) Status(ctx context.Context) (any, error) {
	own := c.entry.Status()
	fleet := FleetStatus{Entries: []EntryState{}, Upstreams: own.Upstreams, Queues: []Queue{}, Refusals: []Refusal{}}
	fleet.addEntry(own)
	names := c.entry.Peers().Instances(wire.RoleEntry)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, name := range names {
		wg.Go(func() {
			status, err := c.fetch(ctx, name)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				fleet.Entries = append(fleet.Entries, EntryState{Instance: name, State: stateUnreachable})
				return
			}
			fleet.addEntry(status)
		})
	}
	wg.Wait()
	fleet.sort()
	return fleet, nil
}

func (c statusCollector) fetch(ctx context.Context, name string) (entry.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var status entry.Status
	payload, err := c.entry.Peers().Call(ctx, name, entry.MethodStatus, nil)
	if err != nil {
		return status, err
	}
	return status, wire.Unmarshal(payload, &status)
}

func (f *FleetStatus) addEntry(s entry.Status) {
	state := stateServing
	if s.Draining {
		state = stateDraining
	}
	f.Entries = append(f.Entries, EntryState{Instance: s.Entry, Zone: s.Zone, State: state, TableVersion: s.TableVersion, InFlight: s.InFlight})
	for class, n := range s.Waiting {
		if n > 0 {
			f.Queues = append(f.Queues, Queue{Entry: s.Entry, Class: class, Waiting: n})
		}
	}
	for code, n := range s.Refusals {
		f.Refusals = append(f.Refusals, Refusal{Entry: s.Entry, Reason: string(code), Count: n})
	}
}

func (f *FleetStatus) sort() {
	slices.SortFunc(f.Entries, func(a, b EntryState) int { return cmp.Compare(a.Instance, b.Instance) })
	slices.SortFunc(f.Upstreams, func(a, b entry.UpstreamStatus) int { return cmp.Compare(a.Instance, b.Instance) })
	slices.SortFunc(f.Queues, func(a, b Queue) int { return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Class, b.Class)) })
	slices.SortFunc(f.Refusals, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Reason, b.Reason))
	})
}

// explainer implements GET /explain.
type explainer struct{ entry *entry.Entry }

// Explain implements operator.Explainer.
func (e explainer) Explain(ctx context.Context, requestID string) (any, error) {
	x, err := e.entry.Explain(ctx, requestID)
	if errors.Is(err, entry.ErrUnknownRequest) {
		return nil, fmt.Errorf("%w: %q", operator.ErrNotFound, requestID)
	}
	return x, err
}
