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

// ErrUnknownRequest is returned for a request that is not among the latest of its entry, and for an ID
// without a prefix that names an entry.
var ErrUnknownRequest = errors.New("request is not known")

// Status is the state of one entry and of the upstreams that it has sessions to.
type Status struct {
	Entry        string `json:"entry"`
	Zone         string `json:"zone"`
	TableVersion uint64 `json:"table_version"`
	Draining     bool   `json:"draining"`
	InFlight     int64  `json:"in_flight"`
	// Waiting is the number of requests that wait to start, by class.
	Waiting map[string]int `json:"waiting"`
	// Refusals counts error responses since the entry started, by code.
	Refusals  map[outcome.Code]uint64 `json:"refusals"`
	Upstreams []UpstreamStatus        `json:"upstreams"`
}

// UpstreamStatus is the status of one sidecar and its upstream.
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

// refusals counts error responses by code.
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
func (e *Entry) Status() Status {
	return Status{
		Entry: e.cfg.Instance, Zone: e.cfg.Zone, TableVersion: e.control.table.Number(), Draining: e.draining.Load(),
		InFlight: e.active.Load(), Waiting: e.queue.Waiting(), Refusals: e.refusals.copy(), Upstreams: e.fleet.upstreamStatuses(),
	}
}

// Explain returns the explanation of a request. The request's ID names the entry that accepted it; if that is another one,
// Explain calls it. The error is ErrUnknownRequest or that of the call.
func (e *Entry) Explain(ctx context.Context, id string) (Explanation, error) {
	name, ok := entryOf(id)
	if !ok {
		return Explanation{}, ErrUnknownRequest
	}
	if name == e.cfg.Instance {
		x, ok := e.ring.get(id)
		if !ok {
			return Explanation{}, ErrUnknownRequest
		}
		return x, nil
	}
	return e.explainAt(ctx, name, id)
}

type explainResponse struct {
	Known       bool        `cbor:"1,keyasint"`
	Explanation Explanation `cbor:"2,keyasint"`
}

func (e *Entry) explainAt(ctx context.Context, entry, id string) (Explanation, error) {
	arg, err := wire.Marshal(id)
	if err != nil {
		return Explanation{}, err
	}
	payload, err := e.node.Call(ctx, entry, MethodExplain, arg)
	if err != nil {
		return Explanation{}, err
	}
	var response explainResponse
	if err := wire.Unmarshal(payload, &response); err != nil {
		return Explanation{}, err
	}
	if !response.Known {
		return Explanation{}, ErrUnknownRequest
	}
	return response.Explanation, nil
}

// registerStatusCalls registers the explain and status handlers for calls from other entries.
func (e *Entry) registerStatusCalls() {
	e.node.Handle(MethodExplain, func(_ context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
		var id string
		if err := wire.Unmarshal(payload, &id); err != nil {
			return nil, err
		}
		x, ok := e.ring.get(id)
		return wire.Marshal(explainResponse{Known: ok, Explanation: x})
	})
	e.node.Handle(MethodStatus, func(context.Context, peer.Identity, []byte) ([]byte, error) {
		return wire.Marshal(e.Status())
	})
}
