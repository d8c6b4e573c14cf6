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

// statusTimeout bounds the question to one other entry.
const statusTimeout = time.Second

// States of an entry in the fleet's status.
const (
	stateServing     = "serving"
	stateDraining    = "draining"
	stateUnreachable = "unreachable"
)

// Fleet is the answer of GET /status.
type Fleet struct {
	Entries []EntryState `json:"entries"`
	// Upstreams are as the entry that answers sees them.
	Upstreams []entry.UpstreamStatus `json:"upstreams"`
	Queues    []Queue                `json:"queues"`
	Refusals  []Refusal              `json:"refusals"`
}

// EntryState is one entry.
type EntryState struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	// State is serving, draining or unreachable.
	State string `json:"state"`
	// TableVersion is the version in force there.
	TableVersion uint64 `json:"table_version"`
	InFlight     int64  `json:"in_flight"`
}

// Queue is the number of requests of a class that wait at an entry.
type Queue struct {
	Entry   string `json:"entry"`
	Class   string `json:"class"`
	Waiting int    `json:"waiting"`
}

// Refusal counts the error answers of an entry since its start.
type Refusal struct {
	Entry  string `json:"entry"`
	Reason string `json:"reason"`
	Count  uint64 `json:"count"`
}

// fleetStatus asks every entry that has a session with this one.
type fleetStatus struct{ entry *entry.T }

// Status implements operator.Status.
func (f fleetStatus) Status(ctx context.Context) (any, error) {
	own := f.entry.Status()
	fleet := Fleet{Entries: []EntryState{}, Upstreams: own.Upstreams, Queues: []Queue{}, Refusals: []Refusal{}}
	fleet.add(own)
	names := f.entry.Peers().Instances(wire.RoleEntry)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, name := range names {
		wg.Go(func() {
			status, err := f.ask(ctx, name)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				fleet.Entries = append(fleet.Entries, EntryState{Instance: name, State: stateUnreachable})
				return
			}
			fleet.add(status)
		})
	}
	wg.Wait()
	fleet.sort()
	return fleet, nil
}

func (f fleetStatus) ask(ctx context.Context, name string) (entry.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var status entry.Status
	payload, err := f.entry.Peers().Call(ctx, name, entry.MethodStatus, nil)
	if err != nil {
		return status, err
	}
	return status, wire.Unmarshal(payload, &status)
}

func (f *Fleet) add(s entry.Status) {
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

func (f *Fleet) sort() {
	slices.SortFunc(f.Entries, func(a, b EntryState) int { return cmp.Compare(a.Instance, b.Instance) })
	slices.SortFunc(f.Upstreams, func(a, b entry.UpstreamStatus) int { return cmp.Compare(a.Instance, b.Instance) })
	slices.SortFunc(f.Queues, func(a, b Queue) int { return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Class, b.Class)) })
	slices.SortFunc(f.Refusals, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Reason, b.Reason))
	})
}

// explainer answers GET /explain.
type explainer struct{ entry *entry.T }

// Explain implements operator.Explainer.
func (e explainer) Explain(ctx context.Context, requestID string) (any, error) {
	x, err := e.entry.Explain(ctx, requestID)
	if errors.Is(err, entry.ErrUnknownRequest) {
		return nil, fmt.Errorf("%w: %q", operator.ErrNotFound, requestID)
	}
	return x, err
}
