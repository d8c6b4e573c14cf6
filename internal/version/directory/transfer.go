package directory

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// MethodFetch is the peer call by which an entry that starts while the store is down learns the directory.
const MethodFetch = "directory.fetch"

const (
	// fetchTimeout bounds one call to a peer.
	fetchTimeout = time.Second
	// fetchPeers bounds the peers that one attempt asks; the newest of their answers is used.
	fetchPeers = 3
)

// Peers reaches the other entries.
type Peers interface {
	// Call makes a peer call; peer.Caller implements it.
	Call(ctx context.Context, instance, method string, payload []byte) ([]byte, error)
	// Instances returns the names of the other live entries.
	Instances() []string
}

// fetchReply is the result of MethodFetch; Revision 0 means that the peer has no directory either.
type fetchReply struct {
	Revision uint64 `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
}

// HandleFetch answers a MethodFetch call. The answer holds key hashes, so only entries may make the call.
func (f *Follower) HandleFetch(context.Context, []byte) ([]byte, error) {
	var r fetchReply
	if held := f.held.Load(); held != nil {
		value, err := json.Marshal(held.index.Directory())
		if err != nil {
			return nil, fmt.Errorf("encode directory: %w", err)
		}
		r = fetchReply{Revision: held.revision, Value: value}
	}
	return cbor.Marshal(r)
}

// askPeers puts the newest directory in use that a few peers know.
func (f *Follower) askPeers(ctx context.Context) {
	if f.peers == nil {
		return
	}
	peers := f.peers.Instances()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, instance := range peers[:min(fetchPeers, len(peers))] {
		if err := f.fetch(ctx, instance); err != nil {
			f.failed(ctx, err)
		}
	}
}

func (f *Follower) fetch(ctx context.Context, instance string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	data, err := f.peers.Call(ctx, instance, MethodFetch, nil)
	if err != nil {
		return fmt.Errorf("%s from %s: %w", MethodFetch, instance, err)
	}
	var r fetchReply
	if err := cbor.Unmarshal(data, &r); err != nil {
		return fmt.Errorf("%s from %s: %w", MethodFetch, instance, err)
	}
	if r.Revision == 0 {
		return nil
	}
	d, err := Parse(r.Value)
	if err != nil {
		return fmt.Errorf("%s from %s: %w", MethodFetch, instance, err)
	}
	f.install(NewIndex(d), r.Revision)
	return nil
}
