package edge

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/request/place"
)

// maxLimitsPerMessage keeps a message within one datagram: a limit takes up to 30 bytes.
const maxLimitsPerMessage = 40

// limitMessage tells the other edges what a replica said about its limit.
type limitMessage struct {
	_         struct{} `cbor:",toarray"`
	Replica   uint32
	PerSecond float64
	Withdrawn bool
	// SentAgeMs is the time since the request of a response without a limit, and AgeMs that since a response with one.
	SentAgeMs, AgeMs int64
}

// shareLimit tells the other edges that a response to this one has changed a replica's limit.
func (e *Edge) shareLimit(n place.NamedLimit) {
	e.logLimit(n, true)
	e.sendLimits([]place.NamedLimit{n}, time.Now())
}

func (e *Edge) sendLimits(list []place.NamedLimit, now time.Time) {
	for limits := range slices.Chunk(list, maxLimitsPerMessage) {
		message := make([]limitMessage, 0, len(limits))
		for _, n := range limits {
			m := limitMessage{Replica: uint32(n.Replica), PerSecond: n.PerSecond, Withdrawn: n.Withdrawn}
			if n.Withdrawn {
				m.SentAgeMs = now.Sub(n.Sent).Milliseconds()
			} else {
				m.AgeMs = now.Sub(n.At).Milliseconds()
			}
			message = append(message, m)
		}
		e.broadcast(limitBroadcast, message)
	}
}

func (e *Edge) onLimits(payload []byte) error {
	var list []limitMessage
	if err := cbor.Unmarshal(payload, &list); err != nil {
		return err
	}
	now := time.Now()
	for _, m := range list {
		n := place.NamedLimit{
			Replica: place.Key(m.Replica), PerSecond: m.PerSecond, Withdrawn: m.Withdrawn,
			Sent: now.Add(-age(m.SentAgeMs)), At: now.Add(-age(m.AgeMs)),
		}
		if e.placer.Limits.Apply(n, now) {
			e.logLimit(n, false)
		}
		e.placer.Limits.Heard(n.Replica, now)
	}
	return nil
}

func (e *Edge) logLimit(n place.NamedLimit, own bool) {
	event := eventlog.EdgeReplicaLimited
	if n.Withdrawn {
		event = eventlog.EdgeReplicaUnlimited
	}
	e.deps.Log.Emit(event, eventlog.Upstream(e.placer.ReplicaID(n.Replica)), eventlog.Limit(n.PerSecond), eventlog.Own(own))
	e.deps.Metrics.LimitedReplicas(e.placer.Limits.Active())
}

// tickLimits tells other edges of limits again, and updates which edges divide them.
func (e *Edge) tickLimits(now time.Time) {
	live := e.gossip.LivePeers()
	addresses := make([]string, 0, len(live))
	for _, address := range live {
		addresses = append(addresses, address.String())
	}
	e.placer.Limits.SetEntries(addresses, now)
	e.sendLimits(e.placer.Limits.TakeAnnouncements(now), now)
}

// minSendsInterval is the minimum interval between two messages about sends. It bounds an edge to 50 of them a second; with the
// limits seen so far each send has its own.
const minSendsInterval = 20 * time.Millisecond

// sendMessage tells the other edges of requests that this one has sent to a limited replica.
type sendMessage struct {
	_       struct{} `cbor:",toarray"`
	Replica uint32
	Count   uint32
}

// runLimits tells the other edges of sends to limited replicas until ctx ends.
func (e *Edge) runLimits(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.placer.Limits.Taken:
		}
		var list []sendMessage
		for replica, n := range e.placer.Limits.TakeSends() {
			list = append(list, sendMessage{Replica: uint32(replica), Count: uint32(n)})
		}
		for sends := range slices.Chunk(list, maxLimitsPerMessage) {
			e.broadcast(sendsBroadcast, sends)
		}
		time.Sleep(minSendsInterval)
	}
}

func (e *Edge) onSends(payload []byte) error {
	var list []sendMessage
	if err := cbor.Unmarshal(payload, &list); err != nil {
		return err
	}
	sends := make(map[place.Key]int, len(list))
	for _, m := range list {
		sends[place.Key(m.Replica)] = int(m.Count)
	}
	e.placer.Limits.ApplySends(sends, time.Now())
	return nil
}
