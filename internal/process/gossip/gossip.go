// Package gossip exchanges reports between entries in UDP datagrams: each entry reports the load that it has outstanding at
// the replicas. A lost datagram only delays an update, since each report replaces the previous one.
// Entries discover each other from a few seed addresses, from the addresses in the reports and from those that SetDiscovered gives.
package gossip

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Intervals, timeouts and sizes of the reports.
const (
	// baseInterval is the report interval with few entries: a tenth of the tightest target for the time to the first event
	// (300 ms).
	baseInterval = 30 * time.Millisecond
	// intervalPerPeer is the minimum report interval per live peer. It limits an entry to 250 datagrams sent and 250 received
	// per second.
	intervalPerPeer = 4 * time.Millisecond
	// idleInterval is the report interval while the state does not change. It is well below the lifetime of a report.
	idleInterval = 400 * time.Millisecond
	// peerExpiry is how long reports are still sent to a peer that has stopped responding.
	peerExpiry = 5 * time.Second
	// seedInterval is the time between reports to seeds that do not respond.
	seedInterval = time.Second
	// clockInterval is the time between two reports with the sender's time of day.
	clockInterval = time.Second
	// peersPerReport is the maximum number of peer addresses in a report.
	peersPerReport = 3
	// maxPeers bounds the number of peers. It is above the 360 nodes of the target scale.
	maxPeers = 512
	// maxDatagramBytes keeps a report within one Ethernet frame.
	maxDatagramBytes = 1400
)

// protocolVersion is incremented with every incompatible change. Reports of other versions are dropped.
const protocolVersion = 6

// Load is the load that the sender has outstanding at a replica.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Replica is the hash of the replica's ID.
	Replica uint32
	// Running is the number of running requests.
	Running uint32
	// Short is the number of running requests with short prompts.
	Short uint32
	// Prefill is the number of prompt tokens whose prefill is outstanding.
	Prefill uint32
	// Waiting is the number of prompt tokens queued at the sender for capacity at the replica.
	Waiting uint32
	// Urgent is the part of Waiting that takes precedence over non-urgent requests of other entries.
	Urgent uint32
	// Gaps and GapTime are the number of recent intervals between consecutive stream events, and their sum in milliseconds.
	Gaps, GapTime uint32
}

// CacheHint reports that the sender sent the prompt part to the replica, which now has it in its KV cache.
type CacheHint struct {
	_ struct{} `cbor:",toarray"`
	// Replica is the hash of the replica's ID.
	Replica uint32
	// Part is the hash of the prompt part's ID.
	Part uint64
	// Tokens is its size.
	Tokens uint32
}

// PaceSample reports the time that a replica took to the first event of a prompt.
type PaceSample struct {
	_ struct{} `cbor:",toarray"`
	// Replica is the hash of the replica's ID.
	Replica uint32
	// Tokens is the number of tokens that were prefilled until then.
	Tokens uint32
	// Own is the size of the prompt's part that no other one shares, in tokens.
	Own uint32
	// TookMs is the time in milliseconds.
	TookMs uint32
}

// Freshness describes how recent the sender's copy of the store's objects is.
type Freshness struct {
	_ struct{} `cbor:",toarray"`
	// Configuration and Replicas are the synced ranges of the kinds that the entries follow.
	Configuration, Replicas SyncedRange
	// Version is the number of the configuration in force at the sender, or 0.
	Version uint64
	// StoreFailing is set if the sender's latest store call failed, so that other entries don't rely on its calls.
	StoreFailing bool
	// UpMs is how long the store has served the sender, or others that it hears of, without an outage, in milliseconds; 0 during one.
	UpMs uint32
}

// SyncedRange is the range of store revisions of a kind that the sender has read itself, so that other entries need not.
type SyncedRange struct {
	_ struct{} `cbor:",toarray"`
	// From and To are store revisions: the writes after From up to To do not change the sender's state.
	From, To uint64
	// LastChange is the revision up to which the sender had read when a write last changed its state; 0 means no change
	// since its start.
	LastChange uint64
	// AgeMs is the time since the sender's last call for the kind began, in milliseconds.
	AgeMs uint32
	// Era is the era of the store in which the revisions are.
	Era uint64
}

// State is the state of an entry that its reports carry.
type State struct {
	Freshness  Freshness
	Loads      []Load
	CacheHints []CacheHint
	// Quarantine is the digest of the quarantined prompt parts that the entry knows.
	Quarantine uint64
	// Paces are the samples of the replicas' pace since the last report.
	Paces []PaceSample
	// Changes is a counter that grows with every change of the state.
	Changes uint64
}

// Report is the content of one datagram.
type Report struct {
	_        struct{} `cbor:",toarray"`
	Protocol uint8
	// Epoch is the start of the sender's process, in Unix milliseconds. It separates the sequence numbers of two processes.
	Epoch uint64
	// Seq is the sequence number of the report within the epoch.
	Seq        uint64
	Freshness  Freshness
	Loads      []Load
	CacheHints []CacheHint
	Quarantine uint64
	// Peers are addresses of live entries, as big-endian IPv4 numbers.
	Peers []uint32
	// Clock is the sender's time of day in Unix milliseconds, or 0 if the report does not have it.
	Clock uint64
	Paces []PaceSample
}

// Options configure a Node.
type Options struct {
	// Listen is the IP:PORT for datagrams. All entries use the same port.
	Listen netip.AddrPort
	// Seeds are the addresses of entries to contact first. They may be down or decommissioned.
	Seeds []netip.Addr
	// Collect returns the state to report.
	Collect func() State
	// Clock returns the time of day in Unix milliseconds, which is reported once a second. With nil it is not reported.
	Clock func() uint64
	// OnReport receives the state of another entry.
	OnReport func(from netip.Addr, report *Report)
	// OnBroadcast receives the payload of a broadcast of another entry. It may be nil.
	OnBroadcast func(from netip.Addr, payload []byte)
	// OnPeer is called when an entry becomes live, at its first report or the first after a timeout (true), and when it times
	// out (false). It may be nil.
	OnPeer func(peer netip.Addr, live bool)
	// OnError receives socket, encoding and decoding errors. It must not block; it may be nil.
	OnError func(error)
}

// Node exchanges reports. It is safe for concurrent use.
type Node struct {
	opts  Options
	conn  *net.UDPConn
	epoch uint64
	seq   uint64
	// clockSent is when the time of day was last reported.
	clockSent time.Time

	mu    sync.Mutex
	peers map[netip.Addr]*peer
	seeds []netip.Addr
	// discovered are addresses from elsewhere that are used like seeds.
	discovered []netip.Addr
	// live is the number of live peers at the last report.
	live atomic.Int32
}

// peer is another entry, or the address of one that has not reported yet.
type peer struct {
	// lastReceived is the time of the last accepted report.
	lastReceived time.Time
	epoch        uint64
	seq          uint64
	live         bool
	// storeFailing is set if the peer's latest store call failed.
	storeFailing bool
}

// Types of datagrams: the first byte.
const (
	// reportDatagram is followed by a Report, broadcastDatagram by the protocol version and a payload.
	reportDatagram byte = iota + 1
	broadcastDatagram
)

// MaxBroadcastBytes is the largest payload of a broadcast.
const MaxBroadcastBytes = maxDatagramBytes - 2

// New returns a Node with a bound socket.
func New(opts Options) (*Node, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(opts.Listen))
	if err != nil {
		return nil, fmt.Errorf("listen for reports from other entries on %s: %w", opts.Listen, err)
	}
	return &Node{opts: opts, conn: conn, epoch: uint64(time.Now().UnixMilli()), peers: map[netip.Addr]*peer{}, seeds: opts.Seeds}, nil
}

// Epoch returns the start of this process as the reports carry it, in Unix milliseconds.
func (n *Node) Epoch() uint64 { return n.epoch }

// Close closes the socket of a Node that does not run.
func (n *Node) Close() { _ = n.conn.Close() }

// Live returns the number of other entries whose last report has not timed out.
func (n *Node) Live() int { return int(n.live.Load()) }

// SetSeeds replaces the seeds, after a change of the settings.
func (n *Node) SetSeeds(seeds []netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seeds = seeds
}

// SetDiscovered replaces the addresses that are sent reports until they respond, besides the seeds.
func (n *Node) SetDiscovered(addresses []netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.discovered = addresses
}

// Rank returns the number of other live entries with an address lower than this entry's. Entries that receive each other's
// reports have different ranks. With onlySynced, entries whose store calls fail don't count.
func (n *Node) Rank(onlySynced bool) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	rank := 0
	for addr, p := range n.peers {
		if p.live && (!onlySynced || !p.storeFailing) && addr.Less(n.opts.Listen.Addr()) {
			rank++
		}
	}
	return rank
}

// Broadcast sends a payload of up to MaxBroadcastBytes to all live entries at once. A datagram may be lost.
func (n *Node) Broadcast(payload []byte) {
	data := broadcastData(payload)
	for _, target := range n.LivePeers() {
		n.sendTo(target, data)
	}
}

// Send is Broadcast to one entry.
func (n *Node) Send(to netip.Addr, payload []byte) { n.sendTo(to, broadcastData(payload)) }

func broadcastData(payload []byte) []byte {
	return append([]byte{broadcastDatagram, protocolVersion}, payload...)
}

// LivePeers returns the addresses of the other live entries.
func (n *Node) LivePeers() []netip.Addr {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]netip.Addr, 0, len(n.peers))
	for addr, p := range n.peers {
		if p.live {
			list = append(list, addr)
		}
	}
	return list
}

// LiveEpochs returns the other live entries with the starts of their processes.
func (n *Node) LiveEpochs() map[netip.Addr]uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	epochs := make(map[netip.Addr]uint64, len(n.peers))
	for addr, p := range n.peers {
		if p.live {
			epochs[addr] = p.epoch
		}
	}
	return epochs
}

func (n *Node) sendTo(target netip.Addr, data []byte) {
	if _, err := n.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(target, n.opts.Listen.Port())); err != nil {
		n.fail(err)
	}
}

// Run exchanges reports until ctx ends.
func (n *Node) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = n.conn.Close() })
	defer stop()
	go n.receive(ctx)
	var sentChanges uint64
	var sentAt time.Time
	timer := time.NewTimer(baseInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-timer.C:
			state := n.opts.Collect()
			if state.Changes != sentChanges || now.Sub(sentAt) >= idleInterval {
				sentChanges, sentAt = state.Changes, now
				n.send(state, now)
			}
			timer.Reset(n.Interval())
		}
	}
}

// Interval returns the current report interval of one entry.
func (n *Node) Interval() time.Duration {
	return max(baseInterval, time.Duration(n.Live())*intervalPerPeer)
}

func (n *Node) send(state State, now time.Time) {
	targets, addresses := n.targets(now)
	n.seq++
	report := Report{Protocol: protocolVersion, Epoch: n.epoch, Seq: n.seq, Freshness: state.Freshness, Loads: state.Loads, CacheHints: state.CacheHints, Quarantine: state.Quarantine, Peers: addresses, Paces: state.Paces}
	if n.opts.Clock != nil && now.Sub(n.clockSent) >= clockInterval {
		report.Clock, n.clockSent = n.opts.Clock(), now
	}
	data, err := cbor.Marshal(&report)
	for err == nil && len(data) > maxDatagramBytes {
		// Each pass keeps the first half of the report's cache hints and selects three quarters as many loads at random, so
		// that each report omits different loads.
		report.CacheHints = report.CacheHints[:len(report.CacheHints)/2]
		loads := state.Loads
		rand.Shuffle(len(loads), func(i, j int) { loads[i], loads[j] = loads[j], loads[i] })
		report.Loads = loads[:len(report.Loads)*3/4]
		data, err = cbor.Marshal(&report)
	}
	if err != nil {
		n.fail(err)
		return
	}
	data = append([]byte{reportDatagram}, data...)
	for _, target := range targets {
		n.sendTo(target, data)
	}
}

// targets returns the peers and seeds to send a report to now, and the addresses of some live peers for the report.
// It also expires peers that have stopped responding.
func (n *Node) targets(now time.Time) (targets []netip.Addr, addresses []uint32) {
	n.mu.Lock()
	defer n.mu.Unlock()
	live := 0
	for addr, p := range n.peers {
		sinceLast := now.Sub(p.lastReceived)
		if p.live && sinceLast > liveTimeout {
			n.setLive(addr, p, false)
		}
		if sinceLast > peerExpiry {
			delete(n.peers, addr)
			continue
		}
		targets = append(targets, addr)
		if p.live {
			live++
			if len(addresses) < peersPerReport {
				addresses = append(addresses, addrToUint32(addr))
			}
		}
	}
	n.live.Store(int32(live))
	for _, list := range [][]netip.Addr{n.seeds, n.discovered} {
		for _, seed := range list {
			if seed == n.opts.Listen.Addr() || n.peers[seed] != nil {
				continue
			}
			n.peers[seed] = &peer{lastReceived: now.Add(seedInterval - peerExpiry)}
			targets = append(targets, seed)
		}
	}
	return targets, addresses
}

// liveTimeout is the time without a report after which an entry no longer counts as live: three idle intervals.
const liveTimeout = 3 * idleInterval

func (n *Node) setLive(addr netip.Addr, p *peer, live bool) {
	p.live = live
	if n.opts.OnPeer != nil {
		n.opts.OnPeer(addr, live)
	}
}

func (n *Node) receive(ctx context.Context) {
	buffer := make([]byte, 1<<16)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.fail(err)
			continue
		}
		if err := n.handle(from.Addr().Unmap(), buffer[:size]); err != nil {
			n.fail(fmt.Errorf("decode datagram from %s: %w", from, err))
		}
	}
}

// handle decodes and delivers one datagram.
func (n *Node) handle(from netip.Addr, data []byte) error {
	switch {
	case len(data) > 0 && data[0] == reportDatagram:
		var report Report
		if err := cbor.Unmarshal(data[1:], &report); err != nil || report.Protocol != protocolVersion {
			return errors.Join(err, errProtocol)
		}
		if n.accept(from, &report, time.Now()) {
			n.opts.OnReport(from, &report)
		}
		return nil
	case len(data) >= 2 && data[0] == broadcastDatagram && data[1] == protocolVersion:
		if n.opts.OnBroadcast != nil {
			n.opts.OnBroadcast(from, data[2:])
		}
		return nil
	default:
		return errProtocol
	}
}

var errProtocol = errors.New("unsupported protocol version or unknown format")

// accept records a report and the peer addresses in it. It returns false for a report that is older than the last one of
// the sender, and for a new sender when maxPeers is reached.
func (n *Node) accept(from netip.Addr, report *Report, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[from]
	if p == nil {
		if len(n.peers) >= maxPeers {
			return false
		}
		p = &peer{}
		n.peers[from] = p
	}
	for _, other := range report.Peers {
		addr := addrFromUint32(other)
		if addr != n.opts.Listen.Addr() && n.peers[addr] == nil && len(n.peers) < maxPeers {
			n.peers[addr] = &peer{lastReceived: now.Add(seedInterval - peerExpiry)}
		}
	}
	// The epoch of a restarted sender is lower if its time of day was set back. Nothing of the earlier process is under way once that
	// is no longer live.
	if p.live && report.Epoch < p.epoch || report.Epoch == p.epoch && report.Seq <= p.seq {
		return false
	}
	p.epoch, p.seq, p.lastReceived, p.storeFailing = report.Epoch, report.Seq, now, report.Freshness.StoreFailing
	if !p.live {
		n.setLive(from, p, true)
	}
	return true
}

func (n *Node) fail(err error) {
	if n.opts.OnError != nil {
		n.opts.OnError(err)
	}
}

func addrToUint32(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func addrFromUint32(n uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], n)
	return netip.AddrFrom4(b)
}
