package directory

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/store/storetest"
)

func sample() *Directory {
	return &Directory{
		Operators: []Operator{{Owner: "jadestone", KeySHA256: HashKey("op-j")}, {Owner: "furano", KeySHA256: HashKey("op-f")}},
		Workspaces: []Workspace{
			{Name: "shop-1", Owner: "jadestone", KeySHA256: HashKey("k1"), Classes: []string{"chat", "draft"}, DefaultClass: "chat"},
			{Name: "lot-1", Owner: "furano", KeySHA256: HashKey("k2"), Classes: []string{"cert"}, DefaultClass: "cert"},
		},
	}
}

// Guards against accepting a directory that rejects valid callers or assigns one key to two workspaces.
func TestValidateReportsEachProblem(t *testing.T) {
	for want, invalidate := range map[string]func(d *Directory){
		`workspaces[1].key_sha256: the same key is used at workspaces[0].key_sha256`: func(d *Directory) { d.Workspaces[1].KeySHA256 = HashKey("k1") },
		`workspaces[1].key_sha256: the same key is used at operators[0].key_sha256`:  func(d *Directory) { d.Workspaces[1].KeySHA256 = HashKey("op-j") },
		`workspaces[0].name: value "Shop 1" is not allowed`:                          func(d *Directory) { d.Workspaces[0].Name = "Shop 1" },
		`workspaces[1].name: "shop-1" is used at workspaces[0].name already`:         func(d *Directory) { d.Workspaces[1].Name = "shop-1" },
		`workspaces[0].owner: "nobody" is not an operator`:                           func(d *Directory) { d.Workspaces[0].Owner = "nobody" },
		`workspaces[0].default_class: "cert" is not one of the workspace's classes`:  func(d *Directory) { d.Workspaces[0].DefaultClass = "cert" },
		`operators: 0 operators`: func(d *Directory) { d.Operators = nil },
		`operators[0].key_sha256: must be the SHA-256 of the key as 64 lower-case hex digits`: func(d *Directory) { d.Operators[0].KeySHA256 = "plain-key" },
	} {
		d := sample()
		invalidate(d)
		err := d.Validate()
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
		if err != nil && strings.Contains(err.Error(), "plain-key") {
			t.Errorf("error contains a key: %v", err)
		}
	}
	if err := sample().Validate(); err != nil {
		t.Error(err)
	}
}

// Guards against a key that gives access to another workspace or to the operator API.
func TestIndexSeparatesKeys(t *testing.T) {
	x := NewIndex(sample())
	if w, ok := x.Workspace("k2"); !ok || w.Name != "lot-1" {
		t.Errorf("workspace of k2: %v, %t", w, ok)
	}
	if _, ok := x.Workspace("op-j"); ok {
		t.Error("an operator key was accepted for a workspace")
	}
	if _, ok := x.Operator("k1"); ok {
		t.Error("a workspace key was accepted for the operator API")
	}
	if owner, ok := x.Operator("op-f"); !ok || owner != "furano" {
		t.Errorf("operator of op-f: %q, %t", owner, ok)
	}
	if _, ok := x.Workspace(HashKey("k1")); ok {
		t.Error("a key's hash was accepted as the key")
	}
}

// Guards against losing the directory if the store is down or its directory is invalid, and against ignoring a new one.
func TestFollowerKeepsLastValidDirectory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := storetest.New()
		value, err := json.Marshal(sample())
		if err != nil {
			t.Fatal(err)
		}
		obj, err := m.Create(t.Context(), Kind, Name, value)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var failures atomic.Int32
		f := NewFollower(m, func(error) { failures.Add(1) })
		go f.Run(ctx)
		<-f.Ready()
		m.SetFaults(storetest.Faults{Outage: true})
		time.Sleep(2 * refreshInterval)
		m.SetFaults(storetest.Faults{})
		obj.Value = []byte(`{"workspaces":[{}]}`)
		if obj, err = m.Update(t.Context(), obj); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * refreshInterval)
		if _, ok := f.Current().Workspace("k1"); !ok || failures.Load() == 0 {
			t.Errorf("workspace known: %t, failures reported: %d", ok, failures.Load())
		}
		d := sample()
		d.Workspaces = d.Workspaces[1:]
		if obj.Value, err = json.Marshal(d); err != nil {
			t.Fatal(err)
		}
		if _, err = m.Update(t.Context(), obj); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * refreshInterval)
		if _, ok := f.Current().Workspace("k1"); ok {
			t.Error("a removed workspace is still accepted")
		}
	})
}

// peerFollowers implements Peers with followers by instance name.
type peerFollowers map[string]*Follower

func (p peerFollowers) Call(ctx context.Context, instance, method string, payload []byte) ([]byte, error) {
	f := p[instance]
	if f == nil || method != MethodFetch {
		return nil, errors.New("peer unreachable")
	}
	return f.HandleFetch(ctx, payload)
}

// Guards against an entry that cannot authenticate callers because it started during a store outage.
func TestStartDuringOutageUsesNewestPeerDirectory(t *testing.T) {
	peers := peerFollowers{}
	for i, key := range []string{"old", "new"} {
		d := sample()
		d.Workspaces[0].KeySHA256 = HashKey(key)
		value, err := json.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		s, err := parseSnapshot(value, uint64(i+1))
		if err != nil {
			t.Fatal(err)
		}
		peers[key] = NewFollower(nil, nil)
		peers[key].install(s)
	}
	peers["empty"] = NewFollower(nil, nil)
	m := storetest.New()
	m.SetFaults(storetest.Faults{Outage: true})
	f := NewFollower(m, nil)
	f.SetPeers(peers, func() []string { return []string{"old", "empty", "new", "dead"} })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	go f.Run(ctx)
	select {
	case <-f.Ready():
	case <-ctx.Done():
		t.Fatal("no directory")
	}
	if _, ok := f.Current().Workspace("new"); !ok {
		t.Error("the older of two directories is in use")
	}
}
