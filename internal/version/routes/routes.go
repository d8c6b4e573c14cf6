// Package routes holds the operator's routing configuration: which request goes to which service, what may be repeated,
// and which API key belongs to which workspace. A version is immutable once compiled.
package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind states what may be repeated.
type Kind uint8

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once for each attempt of a client.
	NonIdempotent
	// Streaming answers are server-sent events. They count as non-idempotent unless the route is resumable.
	Streaming
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non_idempotent"
	case Streaming:
		return "streaming"
	default:
		return "invalid"
	}
}

// Target is one service of a route with its share of the traffic.
type Target struct {
	Service string
	// Weight is relative to the other targets of the route.
	Weight int
}

// Route is one rule of the configuration.
type Route struct {
	Name string
	// Host is the value of the Host header, without a port, in lower case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting; 0 means none.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, or to the first event of a stream, that earns full credit.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between two events of a stream that is on time.
	GapTarget time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Targets has one element unless the traffic is split.
	Targets []Target
	// MaxAttempts is the number of upstreams that one attempt of a client may be sent to, 1 or more.
	MaxAttempts int
	// Anonymous routes need no API key.
	Anonymous bool
	// Resumable streams may go on at another upstream after the last event that arrived.
	Resumable bool
}

// InTime reports whether a delivered answer earns full credit: first is the time to its first event, gap the longest pause
// between two, and total the time to its end.
func (r *Route) InTime(first, gap, total time.Duration) bool {
	if r.Kind != Streaming {
		return total <= r.LatencyTarget
	}
	return first <= r.LatencyTarget && (r.GapTarget <= 0 || gap <= r.GapTarget)
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service describes the replicas behind a name.
type Service struct {
	Name string
	// HealthPath is the path of the replicas' health check.
	HealthPath string
	// MaxConnections bounds the connections of all callers to one replica; 0 means unknown.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engine of each replica of a service.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// CacheTokens is the memory for prompts and generated tokens, in tokens.
	CacheTokens int
}

// Workspace is the owner of API keys.
type Workspace struct {
	Name string
	// Priority takes precedence over the route's when HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send. Zero values mean no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Version is one complete configuration.
type Version struct {
	Number     uint64
	Routes     []Route
	Services   map[string]Service
	Workspaces []Workspace
	// Keys maps an API key to an index of Workspaces. It is nil when the configuration has no workspaces.
	Keys   map[string]int
	Limits Limits

	byHost map[string][]int
}

// Compile prepares the version for matching and returns it. It is called once, before the version is shared.
func (v *Version) Compile() *Version {
	v.byHost = make(map[string][]int, len(v.Routes))
	for i := range v.Routes {
		host := v.Routes[i].Host
		v.byHost[host] = append(v.byHost[host], i)
	}
	for _, list := range v.byHost {
		slices.SortStableFunc(list, func(a, b int) int {
			return cmp.Compare(len(v.Routes[b].Prefix), len(v.Routes[a].Prefix))
		})
	}
	return v
}

// Match returns the route of the host with the longest prefix of the path.
func (v *Version) Match(host, path string) (*Route, bool) {
	for _, i := range v.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, v.Routes[i].Prefix) {
			return &v.Routes[i], true
		}
	}
	return nil, false
}

// Workspace returns the workspace that holds the key.
func (v *Version) Workspace(key string) (Workspace, bool) {
	i, ok := v.Keys[key]
	if !ok {
		return Workspace{}, false
	}
	return v.Workspaces[i], true
}

// NeedsKey reports whether a request on the route has to carry a key.
func (v *Version) NeedsKey(r *Route) bool { return v.Keys != nil && !r.Anonymous }

// Pick returns the service for a uniform random number in [0, 1).
func (r *Route) Pick(uniform float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	point := uniform * float64(total)
	for _, t := range r.Targets {
		point -= float64(t.Weight)
		if point < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// canonicalHost drops the port and folds the case of a Host header.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
