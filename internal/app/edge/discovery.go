package edge

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// Kind and name of the object with the addresses of some edges, by which edges find each other whose seeds are down.
const (
	rosterKind = "dragonflypin-edges"
	rosterName = "roster"
)

const (
	// discoveryTick is the time between two checks whether a call is due.
	discoveryTick = 250 * time.Millisecond
	// settleTime is for how long an edge must be the first one before it calls the store: seeds that are up respond within it. A random
	// part of settleJitter is added, so that edges which start together find the first of them in the roster.
	settleTime   = time.Second
	settleJitter = time.Second
	// contactTime is for how long edges that are new in the roster are contacted before it is written: most often they respond.
	contactTime = 600 * time.Millisecond
	// searchInterval is the time between calls of an edge that is alone, for searchTime.
	searchInterval = time.Second
	searchTime     = 10 * time.Second
	// rosterInterval is the time between calls after that, and of an edge that is not alone.
	rosterInterval = 30 * time.Second
	// rosterGrace is how long the address of an edge that does not respond stays in the roster. Two groups of edges that were cut off from
	// each other for less find each other again without further calls.
	rosterGrace = 10 * time.Minute
	// maxRosterEdges bounds the addresses in the roster.
	maxRosterEdges = 16
	// conflictDelay is the time before the roster is read again that another edge has written meanwhile.
	conflictDelay = 300 * time.Millisecond
	// aloneLogDelay is after how much time without a response of the edges in the roster an edge reports that it is alone.
	aloneLogDelay = 10 * time.Second
)

// errContacting reports that the roster has edges that have just been contacted for the first time.
var errContacting = errors.New("edges in the roster are being contacted")

// roster is the JSON of the object.
type roster struct {
	Addresses []netip.Addr `json:"addresses"`
}

// discovery lets edges find each other by the store when their seeds are down. Of edges that know each other only the one with the lowest
// address calls the store; an edge that knows no other one is that by itself.
type discovery struct {
	client store.Client
	self   netip.Addr
	// isFirst reports whether this edge calls the store, and live returns the other edges that respond.
	isFirst func() bool
	live    func() []netip.Addr
	// contact sets the addresses that are sent reports until they respond, besides the seeds.
	contact func([]netip.Addr)
	// onAlone is told when the edges in the roster have not responded for aloneLogDelay (true), and when one responds (false).
	onAlone  func(alone bool, count int)
	logError func(error)

	// firstSince is since when this edge is the first one, or zero, and nextCall when the next call is due.
	firstSince, nextCall time.Time
	retryDelay           time.Duration
	// silentSince has the edges of the roster that do not respond, with the time since which this edge knows that.
	silentSince map[netip.Addr]time.Time
	// aloneSince is since when edges of the roster are known and none responds, or zero.
	aloneSince time.Time
	alone      atomic.Bool
}

// run reads and writes the roster until ctx ends.
func (d *discovery) run(ctx context.Context) {
	ticker := time.NewTicker(discoveryTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.tick(ctx, now)
		}
	}
}

func (d *discovery) tick(ctx context.Context, now time.Time) {
	d.reportAlone(now)
	switch {
	case !d.isFirst():
		d.firstSince = time.Time{}
		d.silentSince = nil
		d.contact(nil)
		return
	case d.firstSince.IsZero():
		d.firstSince, d.nextCall, d.retryDelay = now, now.Add(settleTime+rand.N(settleJitter)), searchInterval
	}
	if now.Before(d.nextCall) {
		return
	}
	switch err := d.step(ctx, now); {
	case errors.Is(err, errContacting):
		d.nextCall = now.Add(contactTime)
	case errors.Is(err, store.ErrConflict):
		d.nextCall = now.Add(conflictDelay)
	case err != nil:
		if ctx.Err() == nil {
			d.logError(err)
		}
		d.nextCall = now.Add(d.retryDelay)
		d.retryDelay = min(2*d.retryDelay, rosterInterval)
	case len(d.live()) == 0 && now.Sub(d.firstSince) < searchTime:
		d.nextCall = now.Add(searchInterval)
	default:
		d.nextCall, d.retryDelay = now.Add(rosterInterval), searchInterval
	}
}

// step reads the roster, contacts the edges in it and writes it if it should have other addresses.
func (d *discovery) step(ctx context.Context, now time.Time) error {
	object, err := d.client.Get(ctx, rosterKind, rosterName)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	var known roster
	if err == nil {
		if err := json.Unmarshal(object.Value, &known); err != nil {
			d.logError(err) // it is replaced
		}
	}
	wanted := d.wanted(known.Addresses, now)
	for _, since := range d.silentSince {
		if now.Sub(since) < contactTime {
			return errContacting
		}
	}
	if err == nil && slices.Equal(wanted, known.Addresses) {
		return nil
	}
	value, err := json.Marshal(roster{Addresses: wanted})
	if err != nil {
		return err
	}
	if object.Version == 0 {
		_, err = d.client.Create(ctx, rosterKind, rosterName, value)
	} else {
		object.Value = value
		_, err = d.client.Update(ctx, object)
	}
	return err
}

// wanted returns the addresses that the roster should have: this edge, others that respond, and those that may come back. It contacts the
// latter. Addresses in the roster stay while there is room, so that it is rarely written.
func (d *discovery) wanted(known []netip.Addr, now time.Time) []netip.Addr {
	live := d.live()
	silent := map[netip.Addr]time.Time{}
	wanted, quiet := []netip.Addr{d.self}, []netip.Addr{}
	for _, address := range known {
		switch since, wasSilent := d.silentSince[address]; {
		case !address.Is4() || !usableAddress(address) || address == d.self || slices.Contains(wanted, address) || slices.Contains(quiet, address):
		case slices.Contains(live, address):
			wanted = append(wanted, address)
		case !wasSilent:
			silent[address], quiet = now, append(quiet, address)
		case now.Sub(since) < rosterGrace:
			silent[address], quiet = since, append(quiet, address)
		}
	}
	slices.SortFunc(live, netip.Addr.Compare)
	for _, address := range live {
		if !slices.Contains(wanted, address) && len(wanted) < maxRosterEdges/2 {
			wanted = append(wanted, address)
		}
	}
	wanted = wanted[:min(len(wanted), maxRosterEdges/2)]
	quiet = quiet[:min(len(quiet), maxRosterEdges-len(wanted))]
	d.silentSince = silent
	d.contact(quiet)
	wanted = append(wanted, quiet...)
	slices.SortFunc(wanted, netip.Addr.Compare)
	return wanted
}

// usableAddress reports whether an edge can have the address. The roster may have been written by others.
func usableAddress(address netip.Addr) bool {
	return !address.IsUnspecified() && !address.IsMulticast() && address != netip.AddrFrom4([4]byte{255, 255, 255, 255})
}

// reportAlone tells whether this edge is alone although the roster has others.
func (d *discovery) reportAlone(now time.Time) {
	switch {
	case len(d.silentSince) == 0 || len(d.live()) > 0:
		d.aloneSince = time.Time{}
	case d.aloneSince.IsZero():
		d.aloneSince = now
	}
	alone := !d.aloneSince.IsZero() && now.Sub(d.aloneSince) >= aloneLogDelay
	if d.alone.Swap(alone) != alone {
		d.onAlone(alone, len(d.silentSince))
	}
}

func (e *Edge) newDiscovery() *discovery {
	return &discovery{
		client: e.deps.Store, self: e.node.Address, isFirst: func() bool { return e.gossip.Rank(false) == 0 }, live: e.gossip.LivePeers, contact: e.gossip.SetDiscovered,
		onAlone: func(alone bool, count int) {
			event := eventlog.EdgeFoundOthers
			if alone {
				event = eventlog.EdgeAlone
			}
			e.deps.Log.Emit(event, eventlog.Count(count))
		},
		logError: func(err error) { e.observer.logError(eventlog.StoreUnavailable, err) },
	}
}
