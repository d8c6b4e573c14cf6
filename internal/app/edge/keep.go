package edge

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/process/quarantine"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// Kind and name of the object that keeps the quarantine, for the case that all edges are lost at the same time.
const (
	quarantineKind = "dragonflypin-quarantine"
	quarantineName = "prompt-parts"
)

const (
	// keepInterval is the time between two checks whether the store has the current quarantine.
	keepInterval = 500 * time.Millisecond
	// maxKeepDelay bounds the delay between calls to a failing store.
	maxKeepDelay = 8 * time.Second
)

// quarantineObject is the JSON of the object.
type quarantineObject struct {
	Parts []quarantine.Entry `json:"parts"`
}

// keeper keeps the quarantine in the store. Of all live edges only one calls the store, the one with the lowest address: once to
// read the quarantine, and again whenever it has changed.
type keeper struct {
	client  store.Client
	tracker *quarantine.Tracker
	// isFirst reports whether this edge calls the store.
	isFirst func() bool
	log     func(error)

	// read is set once the object has been read, in the era readIn. object is as it was last read or written.
	read    bool
	readIn  uint64
	object  store.Object
	written uint64
}

// run reads and writes the object until ctx ends.
func (k *keeper) run(ctx context.Context) {
	delay := keepInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		delay = keepInterval
		if err := k.step(ctx); err != nil && ctx.Err() == nil {
			k.log(err)
			k.read = false // a write may have taken effect
			delay = maxKeepDelay
		}
	}
}

// step makes the calls that are due.
func (k *keeper) step(ctx context.Context) error {
	if !k.isFirst() {
		k.read = false
		return nil
	}
	if k.client.Era() > k.readIn {
		k.read = false // the store may have come back from a copy that is older than the last write
	}
	if !k.read {
		if err := k.load(ctx); err != nil {
			return err
		}
	}
	if digest := k.tracker.Digest(); digest != k.written {
		return k.save(ctx, digest)
	}
	return nil
}

func (k *keeper) load(ctx context.Context) error {
	k.readIn = k.client.Era()
	o, err := k.client.Get(ctx, quarantineKind, quarantineName)
	if errors.Is(err, store.ErrNotFound) {
		k.read, k.object, k.written = true, store.Object{}, 0
		return nil
	}
	if err != nil {
		return err
	}
	var content quarantineObject
	if err := json.Unmarshal(o.Value, &content); err != nil {
		k.log(err) // it is replaced by the next change
	}
	k.tracker.Merge(content.Parts, time.Now())
	k.read, k.object, k.written = true, o, quarantine.DigestOf(content.Parts)
	return nil
}

func (k *keeper) save(ctx context.Context, digest uint64) error {
	value, err := json.Marshal(quarantineObject{Parts: k.tracker.Entries()})
	if err != nil {
		return err
	}
	if k.object.Version == 0 {
		k.object, err = k.client.Create(ctx, quarantineKind, quarantineName, value)
	} else {
		k.object.Value = value
		k.object, err = k.client.Update(ctx, k.object)
	}
	if err != nil {
		return err
	}
	k.written = digest
	return nil
}

func (e *Edge) newKeeper() *keeper {
	return &keeper{
		client: e.deps.Store, tracker: e.guard.tracker, isFirst: func() bool { return e.gossip.Rank(false) == 0 },
		log: func(err error) { e.observer.logError(eventlog.StoreUnavailable, err) },
	}
}
