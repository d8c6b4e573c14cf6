// Package routes contains the platform's routing configuration: the service for each request, whether requests may be
// retried, and the workspace of each API key. A version is immutable after Compile.
package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind determines whether requests of a route may be retried.
type Kind uint8

// Kinds of routes.
const (
	// Idempotent requests may be executed more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests are executed at most once per attempt of the client.
	NonIdempotent
	// Streaming requests have server-sent events as response. They are non-idempotent unless the route is resumable.
	Streaming
)

// String returns the name of the kind for logs.
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

// Target is a service that receives a share of a route's traffic.
type Target struct {
	Service string
	// Weight is relative to the other targets of the route.
	Weight int
}

// Route is one rule of the configuration.
type Route struct {
	Name string
	// Host is matched against the Host header. It is in lower case and has no port.
	Host string
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller waits for the response; 0 means no timeout.
	Timeout time.Duration
	// LatencyTarget is the longest time to the end of a response, or to the first event of a stream, that meets the target.
	LatencyTarget time.Duration
	// GapTarget is the longest time between two events of a stream that meets the target; 0 means no target.
	GapTarget time.Duration
	// Priority is 0 for the highest priority.
	Priority int
	// Targets has more than one element if the traffic is split.
	Targets []Target
	// MaxAttempts limits the upstreams to which one attempt of a client is sent; 1 or more.
	MaxAttempts int
	// Anonymous routes require no API key.
	Anonymous bool
	// Resumable streams may continue at another upstream after the last received event.
	Resumable bool
}

// MeetsTargets reports whether a delivered response meets the latency targets of the route. first is the time to its first
// event, gap the longest time between two events, and total the time to its end.
func (r *Route) MeetsTargets(first, gap, total time.Duration) bool {
	if r.Kind != Streaming {
		return total <= r.LatencyTarget
	}
	return first <= r.LatencyTarget && (r.GapTarget <= 0 || gap <= r.GapTarget)
}

// Repeatable reports whether a request of the route may be executed more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service describes the replicas of a service.
type Service struct {
	Name string
	// HealthPath is the path of the replicas' health check.
	HealthPath string
	// MaxConnections limits the connections of all callers to one replica; 0 means unknown.
	MaxConnections int
	// Engine is nil if the replicas run no model.
	Engine *Engine
	// Scaling is nil if the number of replicas is not ordered by the router.
	Scaling *Scaling
}

// Scaling bounds the number of replicas of a service that the router orders in each availability zone.
type Scaling struct {
	// Min and Max bound the replicas in a zone.
	Min, Max int
	// Boot is the time from an order until a new replica serves.
	Boot time.Duration
}

// Engine describes the inference engine of each replica of a service.
type Engine struct {
	// Slots is the number of requests that run concurrently.
	Slots int
	// CacheTokens is the capacity of the KV cache for prompts and generated tokens, in tokens.
	CacheTokens int
}

// Workspace is the owner of API keys.
type Workspace struct {
	Name string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits are the limits of a caller's request. A zero value means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Version is one version of the complete configuration.
type Version struct {
	Number     uint64
	Routes     []Route
	Services   map[string]Service
	Workspaces []Workspace
	// Keys maps an API key to its index in Workspaces. It is nil if the configuration has no workspaces.
	Keys   map[string]int
	Limits Limits

	byHost map[string][]int
	// fineRanks is set if the priorities of all routes and workspaces are below priorityLevels.
	fineRanks bool
}

// priorityLevels is the number of priorities of workspaces, and of routes, that Rank can combine. Their pairs fit into the
// ten ranks that engines know.
const priorityLevels = 3

// Compile builds the index for Match and returns the version. It must be called once, before the version is shared.
func (v *Version) Compile() *Version {
	v.byHost = make(map[string][]int, len(v.Routes))
	v.fineRanks = true
	for _, w := range v.Workspaces {
		v.fineRanks = v.fineRanks && w.Priority < priorityLevels
	}
	for i := range v.Routes {
		v.fineRanks = v.fineRanks && v.Routes[i].Priority < priorityLevels
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

// Match returns the route of the host with the longest matching path prefix.
func (v *Version) Match(host, path string) (*Route, bool) {
	for _, i := range v.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, v.Routes[i].Prefix) {
			return &v.Routes[i], true
		}
	}
	return nil, false
}

// Workspace returns the workspace of an API key.
func (v *Version) Workspace(key string) (Workspace, bool) {
	i, ok := v.Keys[key]
	if !ok {
		return Workspace{}, false
	}
	return v.Workspaces[i], true
}

// Rank returns the rank of a request, 0 for the most urgent: the workspace's priority, or the route's if the workspace has
// none. Among requests of equal priority, the route's priority decides, so that the streams with the tightest targets of a
// workspace are not preempted for its less urgent ones.
func (v *Version) Rank(w Workspace, r *Route) int {
	priority := r.Priority
	if w.HasPriority {
		priority = w.Priority
	}
	if !v.fineRanks {
		return priority
	}
	return priority*priorityLevels + r.Priority
}

// NeedsKey reports whether requests of the route require an API key.
func (v *Version) NeedsKey(r *Route) bool { return v.Keys != nil && !r.Anonymous }

// Pick selects a service in proportion to the weights, with a uniform random number in [0, 1).
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

// canonicalHost removes the port from a Host header and converts it to lower case.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
