package edge

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
)

// leavingMessage tells the other edges that a replica has said that it leaves.
type leavingMessage struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	StartUnixMs int64
}

// recordLeaving applies what a response to this edge says, and tells the other edges if it is new.
func (e *Edge) recordLeaving(id string, startUnixMs int64) {
	if startUnixMs == 0 {
		startUnixMs = e.registry.RegisteredStart(id) // the others may know a later start
	}
	if e.applyLeaving(id, startUnixMs, true) {
		e.broadcast(leavingBroadcast, &leavingMessage{ID: id, StartUnixMs: startUnixMs})
	}
}

func (e *Edge) onLeaving(payload []byte) error {
	var m leavingMessage
	if err := cbor.Unmarshal(payload, &m); err != nil {
		return err
	}
	e.applyLeaving(m.ID, m.StartUnixMs, false)
	return nil
}

// applyLeaving stops new requests to a replica and reports whether that is new.
func (e *Edge) applyLeaving(id string, startUnixMs int64, own bool) bool {
	if !e.registry.Leave(id, startUnixMs, time.Now()) {
		return false
	}
	e.updatePlacer()
	e.deps.Log.Emit(eventlog.EdgeReplicaLeaving, eventlog.Upstream(id), eventlog.Own(own), eventlog.Count(e.registry.View().Len()))
	return true
}
