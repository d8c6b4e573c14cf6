package edge

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dragonflypin/dragonflypin/internal/connection/direct"
	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/process/quarantine"
	"github.com/dragonflypin/dragonflypin/internal/request/forward"
	"github.com/dragonflypin/dragonflypin/internal/request/place"
)

const (
	// collectTime is the time after the first interruption at a replica in which the others are expected: the connections of a
	// crashed process end together.
	collectTime = 20 * time.Millisecond
	// confirmTimeout bounds the connection that tells a crashed process, which refuses it, from one that interrupts responses.
	confirmTimeout = 400 * time.Millisecond
	// maxConfirmWait bounds how long an interrupted request waits for that.
	maxConfirmWait = 150 * time.Millisecond
	// evidenceSends is how often evidence about prompt parts is sent, because datagrams may be lost, and evidenceInterval the
	// time between.
	evidenceSends    = 3
	evidenceInterval = 150 * time.Millisecond
	// maxSuspectsPerMessage and maxEntriesPerMessage keep a message within one datagram: a part takes up to 45 bytes with its
	// times, and an entry up to 60.
	maxSuspectsPerMessage, maxEntriesPerMessage = 28, 20
	// tableInterval is the minimum time between two copies of the quarantine to the same edge.
	tableInterval = 300 * time.Millisecond
)

// crashMessage tells the other edges which prompt parts were beginning at a replica of which the sender knows that it crashed.
type crashMessage struct {
	_        struct{} `cbor:",toarray"`
	Replica  uint32
	AgeMs    int64
	Suspects []suspectMessage
}

type suspectMessage struct {
	_         struct{} `cbor:",toarray"`
	Part      string
	Depth     uint8
	SentAgeMs int64
}

// soundMessage tells the other edges that replicas go on with answers to prompts with suspect parts.
type soundMessage struct {
	_     struct{} `cbor:",toarray"`
	Part  string
	AgeMs int64
}

// guard keeps requests with prompt parts that crash replicas from the replicas. It implements forward.Guard.
type guard struct {
	edge    *Edge
	tracker *quarantine.Tracker

	mu sync.Mutex
	// interrupted has the replicas whose interruptions are being collected.
	interrupted map[place.Key]*interruptedReplica
	// outgoing is the evidence that is still to be sent again.
	outgoing []outgoingEvidence
	// tableSent is when the quarantine was last sent to an edge.
	tableSent map[netip.Addr]time.Time
}

// interruptedReplica has what was beginning at a replica when its responses were interrupted.
type interruptedReplica struct {
	at       time.Time
	suspects []quarantine.Suspect
	// confirmed is closed once it is known whether the replica has crashed.
	confirmed chan struct{}
}

// outgoingEvidence is a crash, or parts that were cleared.
type outgoingEvidence struct {
	crash *quarantine.Crash
	sound []quarantine.Sound
	// left is the number of further sends, and next the time of the next one.
	left int
	next time.Time
}

func newGuard(e *Edge) *guard {
	g := &guard{edge: e, interrupted: map[place.Key]*interruptedReplica{}, tableSent: map[netip.Addr]time.Time{}}
	g.tracker = quarantine.New(quarantine.Options{MayTry: func() bool { return e.gossip.Rank(false) == 0 }})
	return g
}

// Admit implements forward.Guard.
func (g *guard) Admit(r *forward.Request, sending bool) (time.Duration, bool) {
	if g.tracker.Active() == 0 {
		return 0, true
	}
	a := g.tracker.Admit(r.SharedParts(), sending, time.Now())
	return a.RetryAfter, a.Allowed
}

// Answered implements forward.Guard.
func (g *guard) Answered(r *forward.Request, begun time.Time) {
	if parts := r.SharedParts(); len(parts) > 0 {
		if cleared := g.tracker.RecordSound(parts, begun, time.Now()); len(cleared) > 0 {
			g.share(outgoingEvidence{sound: cleared})
		}
	}
}

// Interrupted implements forward.Guard.
func (g *guard) Interrupted(ctx context.Context, i forward.Interruption) bool {
	parts := i.Request.SharedParts()
	if len(parts) == 0 {
		return true
	}
	r := g.addInterruption(i, parts)
	if !i.Beginning {
		return true // the crash is recorded, because it may have the cause of others at the same moment
	}
	timeout := time.NewTimer(maxConfirmWait)
	defer timeout.Stop()
	select {
	case <-r.confirmed:
	case <-timeout.C:
	case <-ctx.Done():
	}
	return g.tracker.MayRepeat(parts, time.Now())
}

func (g *guard) addInterruption(i forward.Interruption, parts []string) *interruptedReplica {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.interrupted[i.Choice.Key]
	if r == nil {
		r = &interruptedReplica{at: time.Now(), confirmed: make(chan struct{})}
		g.interrupted[i.Choice.Key] = r
		go g.confirm(i.Choice, r)
	}
	if !i.Beginning {
		return r
	}
	for depth, part := range parts {
		s := quarantine.Suspect{Part: part, Depth: depth, Sent: i.Sent}
		if known := slices.IndexFunc(r.suspects, func(k quarantine.Suspect) bool { return k.Part == part }); known < 0 {
			r.suspects = append(r.suspects, s)
		} else if s.Sent.After(r.suspects[known].Sent) {
			r.suspects[known] = s
		}
	}
	return r
}

// confirm finds out whether the replica has crashed, and records and shares the crash.
func (g *guard) confirm(c place.Choice, r *interruptedReplica) {
	time.Sleep(collectTime)
	crashed := refusesConnections(c.Replica.Address)
	g.mu.Lock()
	delete(g.interrupted, c.Key)
	found := quarantine.Crash{Replica: uint32(c.Key), At: r.at, Suspects: r.suspects}
	g.mu.Unlock()
	if crashed {
		g.tracker.RecordCrash(found, time.Now())
		g.edge.recordEvidence(place.Evidence{Replica: c.Key})
		g.edge.deps.Log.Emit(eventlog.EdgeReplicaCrashed, eventlog.Upstream(c.ReplicaID()), eventlog.PromptParts(partsOf(found.Suspects)))
		g.share(outgoingEvidence{crash: &found})
	}
	close(r.confirmed)
}

func partsOf(suspects []quarantine.Suspect) []string {
	ids := make([]string, 0, len(suspects))
	for _, s := range suspects {
		ids = append(ids, s.Part)
	}
	return ids
}

// refusesConnections reports whether no process accepts connections at the address.
func refusesConnections(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	conn, err := direct.Dialer(confirmTimeout).DialContext(ctx, "tcp4", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close() // nothing was sent
	return false
}

// share sends evidence to the other edges, now and some more times.
func (g *guard) share(o outgoingEvidence) {
	now := time.Now()
	o.left, o.next = evidenceSends-1, now.Add(evidenceInterval)
	g.send(&o, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outgoing = append(g.outgoing, o)
}

func (g *guard) send(o *outgoingEvidence, now time.Time) {
	for sound := range slices.Chunk(o.sound, maxSuspectsPerMessage) {
		list := make([]soundMessage, 0, len(sound))
		for _, s := range sound {
			list = append(list, soundMessage{Part: s.Part, AgeMs: now.Sub(s.Begun).Milliseconds()})
		}
		g.edge.broadcast(soundBroadcast, list)
	}
	if o.crash == nil {
		return
	}
	for first := 0; first == 0 || first < len(o.crash.Suspects); first += maxSuspectsPerMessage {
		suspects := o.crash.Suspects[first:min(len(o.crash.Suspects), first+maxSuspectsPerMessage)]
		m := crashMessage{Replica: o.crash.Replica, AgeMs: now.Sub(o.crash.At).Milliseconds()}
		for _, s := range suspects {
			m.Suspects = append(m.Suspects, suspectMessage{Part: quarantine.PartID(s.Part), Depth: uint8(min(s.Depth, 255)), SentAgeMs: now.Sub(s.Sent).Milliseconds()})
		}
		g.edge.broadcast(crashBroadcast, &m)
	}
}

// tick does the periodic work: it sends evidence again, blames parts, and shares and logs what has changed.
func (g *guard) tick(now time.Time) {
	for _, o := range g.takeDue(now) {
		g.send(&o, now)
	}
	if proven := g.tracker.TakeProven(now); len(proven) > 0 {
		g.share(outgoingEvidence{sound: proven})
	}
	g.tracker.Tick(now)
	var own []quarantine.Entry
	changes := g.tracker.TakeChanges()
	for _, c := range changes {
		event := eventlog.EdgePartQuarantined
		if !c.Held {
			event = eventlog.EdgePartReleased
		}
		g.edge.deps.Log.Emit(event, eventlog.PromptParts([]string{c.Part}), eventlog.Reason(string(c.Reason)), eventlog.Count(int(c.Crashes)), eventlog.Own(c.Own))
		if c.Own {
			own = append(own, c.Entry)
		}
	}
	if len(changes) > 0 {
		g.edge.deps.Metrics.QuarantinedParts(g.tracker.Active())
	}
	for entries := range slices.Chunk(own, maxEntriesPerMessage) {
		g.edge.broadcast(quarantineBroadcast, entries)
	}
}

// takeDue returns the evidence that is to be sent now.
func (g *guard) takeDue(now time.Time) []outgoingEvidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	var due []outgoingEvidence
	kept := g.outgoing[:0]
	for _, o := range g.outgoing {
		if now.After(o.next) {
			o.left, o.next = o.left-1, now.Add(evidenceInterval)
			due = append(due, o)
		}
		if o.left > 0 {
			kept = append(kept, o)
		}
	}
	g.outgoing = kept
	return due
}

// onDigest sends the quarantine to an edge that has another one. Edges that were cut off or have just started, and those that
// have missed a message, have the same quarantine after at most one report in each direction.
func (g *guard) onDigest(from netip.Addr, digest uint64, now time.Time) {
	if digest == g.tracker.Digest() || !g.mayReply(from, now) {
		return
	}
	for entries := range slices.Chunk(g.tracker.Entries(), maxEntriesPerMessage) {
		g.edge.sendTo(from, quarantineBroadcast, entries)
	}
}

func (g *guard) mayReply(to netip.Addr, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.tableSent[to]) < tableInterval {
		return false
	}
	if len(g.tableSent) >= maxTableReceivers {
		clear(g.tableSent)
	}
	g.tableSent[to] = now
	return true
}

// maxTableReceivers bounds the edges whose last copy is remembered.
const maxTableReceivers = 512

func (g *guard) onCrash(payload []byte) error {
	var m crashMessage
	if err := cbor.Unmarshal(payload, &m); err != nil {
		return err
	}
	now := time.Now()
	c := quarantine.Crash{Replica: m.Replica, At: now.Add(-age(m.AgeMs))}
	for _, s := range m.Suspects {
		c.Suspects = append(c.Suspects, quarantine.Suspect{Part: s.Part, Depth: int(s.Depth), Sent: now.Add(-age(s.SentAgeMs))})
	}
	g.tracker.RecordCrash(c, now)
	return nil
}

func (g *guard) onSound(payload []byte) error {
	var list []soundMessage
	if err := cbor.Unmarshal(payload, &list); err != nil {
		return err
	}
	now := time.Now()
	sound := make([]quarantine.Sound, 0, len(list))
	for _, s := range list {
		sound = append(sound, quarantine.Sound{Part: s.Part, Begun: now.Add(-age(s.AgeMs))})
	}
	g.tracker.ApplySound(sound, now)
	return nil
}

func (g *guard) onEntries(payload []byte) error {
	var list []quarantine.Entry
	if err := cbor.Unmarshal(payload, &list); err != nil {
		return err
	}
	g.tracker.Merge(list, time.Now())
	return nil
}

func age(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
