// Package membership polls the platform's instance list and combines it with the state of the sessions to those instances.
//
// The list lags behind the actual state, so a session that timed out or that announces draining overrides the list.
package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dghubble/sling"
)

const (
	// pollInterval allows two more polls within 3 s, after which an upstream that leaves must get no new work.
	pollInterval = time.Second
	pollTimeout  = 5 * time.Second
	maxListBytes = 16 << 20
)

// Roles of instances in the list.
const (
	RoleEntry   = "entry"
	RoleSidecar = "sidecar"
)

// Kinds of upstreams in the list.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
)

// States of instances in the list.
const (
	listLive    = "live"
	listLeaving = "leaving"
)

// Instance is one element of the platform's instance list.
type Instance struct {
	Instance string `json:"instance"`
	Role     string `json:"role"`
	Service  string `json:"service,omitempty"`
	Owner    string `json:"owner,omitempty"`
	Kind     string `json:"kind,omitempty"`
	Zone     string `json:"zone,omitempty"`
	// Address is the HOST:PORT (UDP) at which the instance accepts sessions.
	Address string `json:"address"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// State is the combined state of a member.
type State uint8

// States of a member.
const (
	// Live members get new requests.
	Live State = iota + 1
	// Suspect members stopped responding with requests in flight, or have an unknown state in the list. They get no new
	// requests until they respond and are listed as live.
	Suspect
	// Leaving members get no new requests and finish those in flight.
	Leaving
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"", "live", "suspect", "leaving"}[s]
}

// Member is an instance with its combined state.
type Member struct {
	Instance
	Combined State
}

// Options configure a Tracker.
type Options struct {
	// URL is the base URL of the instance list.
	URL string
	// OnChange is called when the members or their states have changed; it must not block.
	OnChange func()
	// OnError receives the error of each failed poll; it must not block.
	OnError func(error)
}

type member struct {
	Instance
	listed   bool
	suspect  bool
	draining bool
}

// Tracker tracks the members and their combined states. It is safe for concurrent use.
type Tracker struct {
	opts Options
	http *http.Client
	etag string

	mu           sync.Mutex
	members      map[string]*member
	lastReceived time.Time
}

// New returns a Tracker without members.
func New(opts Options) *Tracker {
	return &Tracker{opts: opts, http: &http.Client{Timeout: pollTimeout}, members: map[string]*member{}}
}

// Run polls the list until ctx is cancelled. While polls fail, the last received list stays in use.
func (t *Tracker) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if err := t.Poll(ctx); err != nil && ctx.Err() == nil && t.opts.OnError != nil {
			t.opts.OnError(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Poll reads the list once, with a conditional request that returns no body while the list is unchanged.
func (t *Tracker) Poll(ctx context.Context) error {
	req, err := sling.New().Base(strings.TrimSuffix(t.opts.URL, "/") + "/").Get("instances").Request()
	if err != nil {
		return err
	}
	if t.etag != "" {
		req.Header.Set("If-None-Match", t.etag)
	}
	resp, err := t.http.Do(req.WithContext(ctx))
	if err != nil {
		return fmt.Errorf("read instance list: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return nil
	case http.StatusOK:
	default:
		return fmt.Errorf("read instance list: status %d", resp.StatusCode)
	}
	var list []Instance
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&list); err != nil {
		return fmt.Errorf("decode instance list: %w", err)
	}
	t.etag = resp.Header.Get("ETag")
	t.apply(list)
	return nil
}

// apply replaces the list. An instance that is no longer listed stays a member in state Leaving until Forget.
func (t *Tracker) apply(list []Instance) {
	t.mu.Lock()
	changed := false
	seen := make(map[string]bool, len(list))
	for _, i := range list {
		seen[i.Instance] = true
		m := t.members[i.Instance]
		if m == nil {
			m = &member{}
			t.members[i.Instance] = m
		}
		if m.Instance != i || !m.listed {
			m.Instance, m.listed, changed = i, true, true
		}
	}
	for name, m := range t.members {
		if !seen[name] && m.listed {
			m.listed, changed = false, true
		}
	}
	t.lastReceived = time.Now()
	t.mu.Unlock()
	if changed {
		t.changed()
	}
}

func (t *Tracker) changed() {
	if t.opts.OnChange != nil {
		t.opts.OnChange()
	}
}

// Forget removes an instance that is no longer listed. It does nothing for a listed one.
func (t *Tracker) Forget(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[instance]; m != nil && !m.listed {
		delete(t.members, instance)
	}
}

// SetSuspect records whether the instance's session has stopped responding.
func (t *Tracker) SetSuspect(instance string, suspect bool) {
	t.set(instance, func(m *member) *bool { return &m.suspect }, suspect)
}

// SetDraining records whether the instance announces that it is draining.
func (t *Tracker) SetDraining(instance string, draining bool) {
	t.set(instance, func(m *member) *bool { return &m.draining }, draining)
}

func (t *Tracker) set(instance string, field func(*member) *bool, value bool) {
	t.mu.Lock()
	m := t.members[instance]
	changed := m != nil && *field(m) != value
	if changed {
		*field(m) = value
	}
	t.mu.Unlock()
	if changed {
		t.changed()
	}
}

// Members returns all members, ordered by name.
func (t *Tracker) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		list = append(list, Member{Instance: m.Instance, Combined: m.state()})
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Instance.Instance, b.Instance.Instance) })
	return list
}

// Listed reports whether the instance is in the list.
func (t *Tracker) Listed(instance string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[instance]
	return m != nil && m.listed
}

// LastReceived returns the time of the last poll that returned a list; "not modified" responses do not count.
func (t *Tracker) LastReceived() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastReceived
}

func (m *member) state() State {
	switch {
	case !m.listed || m.State == listLeaving || m.draining:
		return Leaving
	case m.suspect || m.State != listLive:
		return Suspect
	default:
		return Live
	}
}
