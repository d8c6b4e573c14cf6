package entry

import (
	"context"
	"errors"
	"maps"
	"sync"

	"github.com/dragonflypin/dragonflypin/internal/connection/peer"
	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/request/outcome"
)

// Methods of calls between entries.
const (
	MethodExplain = "ExplainRequest"
	MethodStatus  = "StatusRequest"
)

// ErrUnknownRequest reports a request that the entry does not remember, or an ID that names no known entry.
var ErrUnknownRequest = errors.New("request is not known")

// Status is the state of one entry and of the fleet as it sees it.
type Status struct {
	Entry        string `json:"entry"`
	Zone         string `json:"zone"`
	TableVersion uint64 `json:"table_version"`
	Draining     bool   `json:"draining"`
	InFlight     int64  `json:"in_flight"`
	// Waiting is the number of requests that wait for a start, by class.
	Waiting map[string]int `json:"waiting"`
	// Refusals counts error answers since the start, by code.
	Refusals  map[outcome.Code]uint64 `json:"refusals"`
	Upstreams []UpstreamStatus        `json:"upstreams"`
}

// UpstreamStatus is one sidecar with its upstream.
type UpstreamStatus struct {
	Instance string   `json:"instance"`
	Service  string   `json:"service"`
	Owner    string   `json:"owner"`
	Kind     string   `json:"kind"`
	Zone     string   `json:"zone"`
	State    string   `json:"state"`
	Session  string   `json:"session"`
	Healthy  bool     `json:"healthy"`
	Slow     bool     `json:"slow"`
	Slots    int      `json:"slots"`
	Running  int      `json:"running"`
	Paused   int      `json:"paused"`
	Queued   int      `json:"queued"`
	InFlight int      `json:"in_flight"`
	Models   []string `json:"models,omitempty"`
}

// refusals counts error answers by code.
type refusals struct {
	mu     sync.Mutex
	counts map[outcome.Code]uint64
}

func (r *refusals) add(code outcome.Code) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[outcome.Code]uint64{}
	}
	r.counts[code]++
}

func (r *refusals) copy() map[outcome.Code]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.counts)
}

// Status returns the state of this entry.
func (t *T) Status() Status {
	return Status{
		Entry: t.cfg.Instance, Zone: t.cfg.Zone, TableVersion: t.control.follower.Number(), Draining: t.draining.Load(),
		InFlight: t.active.Load(), Waiting: t.queue.Waiting(), Refusals: t.refusals.copy(), Upstreams: t.fleet.view(),
	}
}

// Explain tells what happened to a request of any entry; the request's ID names the entry, which is asked if it is
// another one. The error is ErrUnknownRequest or that of the call.
func (t *T) Explain(ctx context.Context, id string) (Explanation, error) {
	name, ok := entryOf(id)
	if !ok {
		return Explanation{}, ErrUnknownRequest
	}
	if name == t.cfg.Instance {
		x, ok := t.ring.get(id)
		if !ok {
			return Explanation{}, ErrUnknownRequest
		}
		return x, nil
	}
	return t.explainAt(ctx, name, id)
}

type explainAnswer struct {
	Known       bool        `cbor:"1,keyasint"`
	Explanation Explanation `cbor:"2,keyasint"`
}

func (t *T) explainAt(ctx context.Context, entry, id string) (Explanation, error) {
	arg, err := wire.Marshal(id)
	if err != nil {
		return Explanation{}, err
	}
	payload, err := t.node.Call(ctx, entry, MethodExplain, arg)
	if err != nil {
		return Explanation{}, err
	}
	var answer explainAnswer
	if err := wire.Unmarshal(payload, &answer); err != nil {
		return Explanation{}, err
	}
	if !answer.Known {
		return Explanation{}, ErrUnknownRequest
	}
	return answer.Explanation, nil
}

// registerCalls serves explain and status to other entries.
func (t *T) registerCalls() {
	t.node.Handle(MethodExplain, func(_ context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
		var id string
		if err := wire.Unmarshal(payload, &id); err != nil {
			return nil, err
		}
		x, ok := t.ring.get(id)
		return wire.Marshal(explainAnswer{Known: ok, Explanation: x})
	})
	t.node.Handle(MethodStatus, func(context.Context, peer.Identity, []byte) ([]byte, error) {
		return wire.Marshal(t.Status())
	})
}
