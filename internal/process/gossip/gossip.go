// Package gossip tells the other entries in datagrams what this entry has outstanding at the replicas. Losing a datagram
// costs nothing but age: each one replaces the one before. Entries find each other from a few seed addresses and from the
// addresses that datagrams carry, so that no call to the store is needed.
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

// Pace of the reports.
const (
	// baseInterval is the time between reports with few entries: a tenth of the tightest target to a first event (300 ms).
	baseInterval = 30 * time.Millisecond
	// intervalPerPeer lengthens the interval with the number of entries, so that an entry sends and receives at most 250
	// datagrams a second.
	intervalPerPeer = 4 * time.Millisecond
	// quietInterval is the time between reports when nothing changes. It is well below the life of a report.
	quietInterval = 400 * time.Millisecond
	// peerLife is how long a silent peer still gets reports.
	peerLife = 5 * time.Second
	// seedInterval is the time between reports to seeds that do not answer.
	seedInterval = time.Second
	// introduced is the number of other entries that a report names.
	introduced = 3
	// maxPeers bounds the entries that get reports; it spans the 360 nodes of the target.
	maxPeers = 512
	// maxDatagram keeps a report within one frame of an Ethernet link, in bytes.
	maxDatagram = 1400
)

// protocolVersion is raised with every incompatible change; other versions are ignored.
const protocolVersion = 2

// Load is the work that the sender has outstanding at a replica.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Replica is the hash of the replica's ID.
	Replica uint32
	// Running is the number of requests.
	Running uint32
	// Short is the number of those with short prompts.
	Short uint32
	// Prefill is the number of prompt tokens still to be read.
	Prefill uint32
	// Waiting is the number of prompt tokens that wait at the sender for room at the replica.
	Waiting uint32
	// Urgent is the part of Waiting that others should let go first.
	Urgent uint32
	// Gaps and GapTime are the number of recent pauses between events of streams, and their sum in milliseconds.
	Gaps, GapTime uint32
}

// Note tells that the sender sent a part of a prompt to a replica, which now has it in its cache.
type Note struct {
	_       struct{} `cbor:",toarray"`
	Replica uint32
	// Part is the hash of the part's ID.
	Part uint64
}

// Freshness tells how well the sender knows what the store holds.
type Freshness struct {
	_ struct{} `cbor:",toarray"`
	// Configuration is the version in force at the sender.
	Configuration uint64
	// AgeMs is the time since the sender last heard from the store on all kinds that it follows, in milliseconds.
	AgeMs uint32
	// Replicas tells how far the sender has read the list of replicas.
	Replicas Coverage
}

// Coverage tells what the sender has read of a kind itself, so that others need not.
type Coverage struct {
	_ struct{} `cbor:",toarray"`
	// From and To are revisions of the store: the writes after From up to To change nothing that the sender holds.
	From, To uint64
	// Found is the revision up to which the sender had read when a write last changed what it holds; 0 means none since
	// its start.
	Found uint64
	// AgeMs is the time since the sender's last call for the kind began, in milliseconds.
	AgeMs uint32
}

// State is what an entry tells the others.
type State struct {
	Freshness Freshness
	Loads     []Load
	Notes     []Note
	// Changes grows with every change of the state.
	Changes uint64
}

// Report is one datagram.
type Report struct {
	_        struct{} `cbor:",toarray"`
	Protocol uint8
	// Epoch is the start of the sender's process, in Unix milliseconds. It separates the parts of two processes.
	Epoch uint64
	Seq   uint64
	Fresh Freshness
	Loads []Load
	Notes []Note
	// Peers are addresses of other entries, as IPv4 numbers.
	Peers []uint32
}

// Options configure a Node.
type Options struct {
	// Listen is the IP:PORT of the datagrams. The other entries use the same port.
	Listen netip.AddrPort
	// Seeds are addresses of entries that may be down or gone.
	Seeds []netip.Addr
	// Collect returns the own state.
	Collect func() State
	// OnReport receives the state of another entry.
	OnReport func(from netip.Addr, report *Report)
	// OnPeer is told when an entry is heard for the first time, or after a silence (true), and when it falls silent (false).
	OnPeer func(peer netip.Addr, heard bool)
	// OnError receives failures of the socket. It must not block.
	OnError func(error)
}

// Node exchanges reports. It is safe for concurrent use.
type Node struct {
	opts  Options
	conn  *net.UDPConn
	epoch uint64
	seq   uint64

	mu    sync.Mutex
	peers map[netip.Addr]*peer
	seeds []netip.Addr
	live  atomic.Int32
}

type peer struct {
	heard time.Time
	epoch uint64
	seq   uint64
	live  bool
}

// New binds the socket.
func New(opts Options) (*Node, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(opts.Listen))
	if err != nil {
		return nil, fmt.Errorf("listen for reports of entries on %s: %w", opts.Listen, err)
	}
	return &Node{opts: opts, conn: conn, epoch: uint64(time.Now().UnixMilli()), peers: map[netip.Addr]*peer{}, seeds: opts.Seeds}, nil
}

// Live returns the number of other entries that were heard lately.
func (n *Node) Live() int { return int(n.live.Load()) }

// SetSeeds replaces the seeds, after a change of the settings.
func (n *Node) SetSeeds(seeds []netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seeds = seeds
}

// Rank returns the number of other live entries whose address is before the own one. Entries that hear each other have
// different ranks.
func (n *Node) Rank() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	rank := 0
	for addr, p := range n.peers {
		if p.live && addr.Less(n.opts.Listen.Addr()) {
			rank++
		}
	}
	return rank
}

// Run exchanges reports until ctx ends.
func (n *Node) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = n.conn.Close() })
	defer stop()
	go n.receive(ctx)
	var sentVersion uint64
	var sentAt time.Time
	timer := time.NewTimer(baseInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-timer.C:
			state := n.opts.Collect()
			if state.Changes != sentVersion || now.Sub(sentAt) >= quietInterval {
				sentVersion, sentAt = state.Changes, now
				n.send(state, now)
			}
			timer.Reset(n.Interval())
		}
	}
}

// Interval returns the current time between two reports of one entry.
func (n *Node) Interval() time.Duration {
	return max(baseInterval, time.Duration(n.Live())*intervalPerPeer)
}

func (n *Node) send(state State, now time.Time) {
	targets, known := n.targets(now)
	n.seq++
	report := Report{Protocol: protocolVersion, Epoch: n.epoch, Seq: n.seq, Fresh: state.Freshness, Loads: state.Loads, Notes: state.Notes, Peers: known}
	data, err := cbor.Marshal(&report)
	for err == nil && len(data) > maxDatagram {
		// The largest fleets: the rest goes untold, in a different choice each time.
		report.Notes = report.Notes[:len(report.Notes)/2]
		loads := state.Loads
		rand.Shuffle(len(loads), func(i, j int) { loads[i], loads[j] = loads[j], loads[i] })
		report.Loads = loads[:len(report.Loads)*3/4]
		data, err = cbor.Marshal(&report)
	}
	if err != nil {
		n.fail(err)
		return
	}
	for _, target := range targets {
		if _, err := n.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(target, n.opts.Listen.Port())); err != nil {
			n.fail(err)
		}
	}
}

// targets returns the entries that get a report now, and some addresses to introduce.
func (n *Node) targets(now time.Time) (targets []netip.Addr, known []uint32) {
	n.mu.Lock()
	defer n.mu.Unlock()
	live := 0
	for addr, p := range n.peers {
		quiet := now.Sub(p.heard)
		if p.live && quiet > reportGap {
			n.setLive(addr, p, false)
		}
		if quiet > peerLife {
			delete(n.peers, addr)
			continue
		}
		targets = append(targets, addr)
		if p.live {
			live++
			if len(known) < introduced {
				known = append(known, number(addr))
			}
		}
	}
	n.live.Store(int32(live))
	for _, seed := range n.seeds {
		if seed == n.opts.Listen.Addr() || n.peers[seed] != nil {
			continue
		}
		n.peers[seed] = &peer{heard: now.Add(seedInterval - peerLife)}
		targets = append(targets, seed)
	}
	return targets, known
}

// reportGap is the silence after which an entry no longer counts as live: three quiet intervals.
const reportGap = 3 * quietInterval

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
		var report Report
		if err := cbor.Unmarshal(buffer[:size], &report); err != nil || report.Protocol != protocolVersion {
			n.fail(fmt.Errorf("report from %s can't be read: %w", from, errors.Join(err, errProtocol)))
			continue
		}
		if n.accept(from.Addr().Unmap(), &report, time.Now()) {
			n.opts.OnReport(from.Addr().Unmap(), &report)
		}
	}
}

var errProtocol = errors.New("protocol version differs or the form is not known")

// accept drops reports that were overtaken and learns the addresses that they name.
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
		addr := address(other)
		if addr != n.opts.Listen.Addr() && n.peers[addr] == nil && len(n.peers) < maxPeers {
			n.peers[addr] = &peer{heard: now.Add(seedInterval - peerLife)}
		}
	}
	if report.Epoch < p.epoch || report.Epoch == p.epoch && report.Seq <= p.seq {
		return false
	}
	p.epoch, p.seq, p.heard = report.Epoch, report.Seq, now
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

func number(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func address(n uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], n)
	return netip.AddrFrom4(b)
}
