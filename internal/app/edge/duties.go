package edge

import (
	"context"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dragonflypin/dragonflypin/internal/process/boottime"
	"github.com/dragonflypin/dragonflypin/internal/process/duty"
)

// newDuties returns this edge's part in the duties at the platform, or nil if its settings name none: then the edge makes no call and
// sends no message for them.
func (e *Edge) newDuties() *duty.Node {
	if !e.node.Duties.Any() || e.deps.Platform == nil {
		return nil
	}
	var counts duty.Counts
	if e.tally != nil {
		counts = e.tally.counter
	}
	var orders duty.Orders
	if e.node.Duties.OrderReplicas {
		orders = e.newReplicaOrders()
	}
	return duty.New(duty.Options{
		Duties: e.node.Duties, Name: e.node.Name, Address: e.node.Address.String(),
		Store: e.deps.Store, Platform: e.deps.Platform, Counts: counts, Orders: orders,
		Clock: boottime.Now, Wall: boottime.Now, // the counter takes times of the boot-time clock
		Rank: func() int { return e.gossip.Rank(true) }, Live: e.liveEdges,
		TrueTime:       e.trueTime,
		Announce:       func(a duty.Announcement) { e.broadcast(dutiesBroadcast, &a) },
		AnnounceWindow: func(w duty.WindowNews) { e.broadcast(windowBroadcast, &w) },
		TellWindow:     e.tellWindow,
		Log:            e.deps.Log, Metrics: e.deps.Metrics,
	})
}

// trueTime returns the time of day as the edges agree on it, where they exchange it.
func (e *Edge) trueTime() time.Time {
	if e.tally == nil {
		return time.Now()
	}
	return e.tally.clock.Now()
}

func (e *Edge) tellWindow(to string, w duty.WindowNews) {
	if address, err := netip.ParseAddr(to); err == nil {
		e.sendTo(address, windowBroadcast, &w)
	}
}

func (e *Edge) onWindow(payload []byte) error {
	var w duty.WindowNews
	if err := cbor.Unmarshal(payload, &w); err != nil {
		return err
	}
	if e.duties != nil {
		e.duties.HeardWindow(w)
	}
	return nil
}

// liveEdges returns the addresses of the other live edges.
func (e *Edge) liveEdges() []string {
	peers := e.gossip.LivePeers()
	list := make([]string, 0, len(peers))
	for _, peer := range peers {
		list = append(list, peer.String())
	}
	return list
}

// runDuties takes part in the duties until ctx ends.
func (e *Edge) runDuties(ctx context.Context) {
	if e.duties != nil {
		e.duties.Run(ctx)
	}
}

// leaveDuties gives the duties up at the start of a drain, so that another edge goes on at once.
func (e *Edge) leaveDuties() {
	if e.duties == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), e.node.StopGrace)
	defer cancel()
	e.duties.Leave(ctx)
}

func (e *Edge) onDuties(from netip.Addr, payload []byte) error {
	var a duty.Announcement
	if err := cbor.Unmarshal(payload, &a); err != nil {
		return err
	}
	if e.duties != nil {
		e.duties.Heard(from.String(), a)
		e.tally.setHolder(e.dutyHolder())
	}
	return nil
}

// dutyHolder returns the address of the edge that holds the duties, as far as this edge knows; the zero value for none.
func (e *Edge) dutyHolder() netip.Addr {
	holder, err := netip.ParseAddr(e.duties.Holder())
	if err != nil {
		return netip.Addr{} // no holder is known
	}
	return holder
}
