package routes

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Severity says what a finding means for a configuration.
type Severity string

// Severities of findings.
const (
	// Error: part of the configuration can't work as written.
	Error Severity = "error"
	// Warning: the configuration works, but part of it has no effect or contradicts another part.
	Warning Severity = "warning"
	// Note: nothing is wrong, but the effect may surprise.
	Note Severity = "note"
)

// Part is a part of the configuration.
type Part uint8

// Parts of the configuration.
const (
	PartVersion Part = iota
	PartRoute
	PartService
	PartWorkspace
	PartLimits
)

// Field is a field of a part. Formats of configurations have their own names for it.
type Field uint8

// Fields of the parts.
const (
	FieldNone Field = iota
	FieldNumber
	FieldName
	FieldHost
	FieldPrefix
	FieldKind
	FieldTimeout
	FieldLatencyTarget
	FieldGapTarget
	FieldPriority
	FieldTargets
	FieldMaxAttempts
	FieldAnonymous
	FieldResumable
	FieldHealthPath
	FieldMaxConnections
	FieldEngine
	FieldSlots
	FieldCacheTokens
	FieldScaling
	FieldScalingMax
	FieldKeys
	FieldHeaderBytes
	FieldBodyBytes
	FieldHeaderTimeout
	FieldIdleTimeout
)

// Place is where in the configuration a finding or a difference is.
type Place struct {
	Part Part
	// Index is the position of a route or workspace. Services have only a name.
	Index int
	Name  string
	Field Field
}

// Finding is a fault or contradiction of a configuration.
type Finding struct {
	Code     string
	Severity Severity
	Place    Place
	// Value is what the configuration has, Allowed what it may have and why.
	Value, Allowed string
}

// lowestRank is the largest rank that engines know for a request.
const lowestRank = 9

// Check returns what can't work, can never match or contradicts itself in a compiled version, in the order of its parts.
func (v *Version) Check() []Finding {
	c := &checker{v: v}
	if v.Number == 0 {
		c.add(Error, "version_zero", Place{Field: FieldNumber}, 0, "1 or more, above the version in force")
	}
	if len(v.Routes) == 0 {
		c.add(Warning, "no_routes", Place{Part: PartRoute, Index: -1}, "none", "at least one route; without one every request gets 404")
	}
	for i := range v.Routes {
		c.match(i)
		c.times(i)
		c.repeats(i)
		c.targets(i)
	}
	c.hosts()
	c.services()
	c.workspaces()
	c.limits()
	return c.found
}

type checker struct {
	v     *Version
	found []Finding
}

func (c *checker) add(severity Severity, code string, place Place, value any, allowed string) {
	c.found = append(c.found, Finding{code, severity, place, fmt.Sprint(value), allowed})
}

func (c *checker) route(i int, f Field) Place {
	return Place{PartRoute, i, c.v.Routes[i].Name, f}
}

// match reports a route that no request can match. It asks Match itself: the shortest path that begins with the prefix is the
// prefix, which no longer prefix matches, so that another result means that an equal prefix comes first.
func (c *checker) match(i int) {
	r := &c.v.Routes[i]
	if r.Name == "" {
		c.add(Warning, "empty_name", c.route(i, FieldName), strconv.Quote(""), "a name, for logs and metrics")
	}
	for j := range i {
		if r.Name != "" && c.v.Routes[j].Name == r.Name {
			c.add(Warning, "duplicate_name", c.route(i, FieldName), r.Name, fmt.Sprintf("a name that no other route has; route %d has it, so that logs and metrics mix them", j))
			break
		}
	}
	switch {
	case r.Host == "":
		c.add(Error, "never_matches", c.route(i, FieldHost), strconv.Quote(r.Host), "the host name of the requests; requests without one are refused")
		return
	case canonicalHost(r.Host) != r.Host || strings.ContainsAny(r.Host, "*/?#@ \t"):
		c.add(Error, "never_matches", c.route(i, FieldHost), r.Host, "a host name without scheme, port, path and wildcard; requests are compared with exactly this name")
		return
	}
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || strings.ContainsAny(r.Prefix, "?# \t"):
		c.add(Error, "never_matches", c.route(i, FieldPrefix), strconv.Quote(r.Prefix), "the begin of a path, with a slash at both ends and without query, fragment and spaces")
		return
	case !strings.HasSuffix(r.Prefix, "/"):
		c.add(Error, "prefix_without_slash", c.route(i, FieldPrefix), strconv.Quote(r.Prefix), "a slash at both ends; without the last one longer names match as well")
	}
	if first, ok := c.v.Match(r.Host, r.Prefix); ok && first != r {
		c.add(Error, "never_matches", c.route(i, FieldPrefix), r.Host+r.Prefix, fmt.Sprintf("a host and prefix that no earlier route has; route %q has it and gets all requests", first.Name))
	}
}

func (c *checker) times(i int) {
	r := &c.v.Routes[i]
	if r.LatencyTarget == 0 {
		c.add(Warning, "no_target", c.route(i, FieldLatencyTarget), 0, "above 0; with 0 every response counts as late")
	}
	if r.Timeout == 0 {
		c.add(Note, "no_timeout", c.route(i, FieldTimeout), 0, "0 means that only the caller's deadline ends a request")
	}
	if r.Timeout > 0 && r.Timeout < r.LatencyTarget {
		c.add(Warning, "timeout_below_target", c.route(i, FieldTimeout), r.Timeout, fmt.Sprintf("at least the target of %s; requests end before they are late", r.LatencyTarget))
	}
	if r.GapTarget > 0 && r.Kind != Streaming {
		c.add(Warning, "no_effect", c.route(i, FieldGapTarget), r.GapTarget, "absent, or a streaming route; other responses have no events")
	} else if r.Timeout > 0 && r.GapTarget > r.Timeout {
		c.add(Warning, "gap_above_timeout", c.route(i, FieldGapTarget), r.GapTarget, fmt.Sprintf("at most the timeout of %s; no pause can be that long", r.Timeout))
	}
	c.priority(c.route(i, FieldPriority), r.Priority)
}

func (c *checker) priority(place Place, priority int) {
	if priority < 0 || priority > lowestRank {
		c.add(Warning, "priority_range", place, priority, fmt.Sprintf("0 (first) to %d; replicas know no other and get the nearest of these", lowestRank))
	}
}

func (c *checker) repeats(i int) {
	r := &c.v.Routes[i]
	if r.Resumable && r.Kind != Streaming {
		c.add(Warning, "no_effect", c.route(i, FieldResumable), r.Resumable, "absent, or a streaming route; other responses can't be resumed")
	}
	if r.MaxAttempts <= 1 {
		return
	}
	if !r.Repeatable() {
		c.add(Note, "repeats_unsent_only", c.route(i, FieldMaxAttempts), r.MaxAttempts, "further attempts follow only on refusals and failed connections: requests of this route must not run twice")
	}
	// Compared by division, because the product may overflow.
	if r.Timeout > 0 && r.Timeout >= r.LatencyTarget && r.LatencyTarget >= divide(r.Timeout, r.MaxAttempts-1) {
		c.add(Warning, "attempts_exceed_timeout", c.route(i, FieldMaxAttempts), r.MaxAttempts,
			fmt.Sprintf("at most %d; if each attempt takes the target of %s, the last one would begin after the timeout of %s",
				1+int((r.Timeout-1)/r.LatencyTarget), r.LatencyTarget, r.Timeout))
	}
}

// divide rounds up.
func divide(d time.Duration, n int) time.Duration {
	return (d + time.Duration(n) - 1) / time.Duration(n)
}

func (c *checker) targets(i int) {
	r := &c.v.Routes[i]
	if len(r.Targets) == 0 {
		c.add(Error, "no_service", c.route(i, FieldTargets), "none", "a service, or several with weights")
		return
	}
	total := 0
	seen := map[string]bool{}
	for _, t := range r.Targets {
		total += t.Weight
		if _, ok := c.v.Services[t.Service]; !ok {
			c.add(Error, "unknown_service", c.route(i, FieldTargets), strconv.Quote(t.Service), "one of "+c.serviceNames())
		}
		if seen[t.Service] {
			c.add(Warning, "duplicate_service", c.route(i, FieldTargets), t.Service, "each service once; its weights are added")
		}
		seen[t.Service] = true
		switch {
		case t.Weight < 0:
			c.add(Error, "negative_weight", c.route(i, FieldTargets), t.Service, "a weight above 0")
		case t.Weight == 0:
			c.add(Warning, "no_traffic", c.route(i, FieldTargets), t.Service, "a weight of at least a thousandth; this service gets no request of the route")
		}
	}
	if total <= 0 {
		c.add(Error, "no_weight", c.route(i, FieldTargets), "0", "weights with a sum above 0; all requests go to the last service instead")
	}
}

func (c *checker) serviceNames() string {
	names := slices.Sorted(maps.Keys(c.v.Services))
	const maxShown = 10
	if len(names) > maxShown {
		return strings.Join(names[:maxShown], ", ") + ", ..."
	}
	return strings.Join(names, ", ")
}

// hosts reports hosts to which no key gives access.
func (c *checker) hosts() {
	if c.v.Keys == nil || len(c.v.Keys) > 0 {
		return
	}
	for i := range c.v.Routes {
		if c.v.NeedsKey(&c.v.Routes[i]) {
			c.add(Error, "no_keys", c.route(i, FieldAnonymous), false, "true, or a workspace with a key: there is none, so that every request gets 401")
		}
	}
}

// CheckReplicas returns a finding for each service that gets requests but has no replica. Services that are not in the map, which has
// the number of replicas of each, are unknown and not reported.
func (v *Version) CheckReplicas(replicas map[string]int) []Finding {
	c := &checker{v: v}
	for _, name := range slices.Sorted(maps.Keys(v.routed())) {
		if n, known := replicas[name]; known && n == 0 {
			c.add(Warning, "no_replicas", Place{PartService, -1, name, FieldNone}, 0, "a replica that accepts requests; the edge knows none now")
		}
	}
	return c.found
}

// routed returns the services that get requests of a route.
func (v *Version) routed() map[string]bool {
	names := map[string]bool{}
	for i := range v.Routes {
		for _, t := range v.Routes[i].Targets {
			if t.Weight > 0 {
				names[t.Service] = true
			}
		}
	}
	return names
}

func (c *checker) services() {
	routed := c.v.routed()
	for _, name := range slices.Sorted(maps.Keys(c.v.Services)) {
		s := c.v.Services[name]
		place := func(f Field) Place { return Place{PartService, -1, name, f} }
		if name == "" {
			c.add(Error, "empty_name", place(FieldName), strconv.Quote(""), "a name")
		}
		if !routed[name] {
			c.add(Warning, "never_used", place(FieldNone), name, "a route that sends requests to the service")
		}
		if s.HealthPath != "" && !strings.HasPrefix(s.HealthPath, "/") {
			c.add(Error, "health_path", place(FieldHealthPath), strconv.Quote(s.HealthPath), "a path that begins with a slash")
		}
		if s.Engine != nil {
			if s.Engine.Slots <= 0 {
				c.add(Error, "no_slots", place(FieldSlots), s.Engine.Slots, "1 or more")
			}
			if s.Engine.CacheTokens <= 0 {
				c.add(Error, "no_cache", place(FieldCacheTokens), s.Engine.CacheTokens, "1 or more tokens")
			}
			if s.MaxConnections > 0 && s.MaxConnections < s.Engine.Slots {
				c.add(Warning, "connections_below_slots", place(FieldMaxConnections), s.MaxConnections,
					fmt.Sprintf("at least the %d slots of a replica; one connection carries one request, so that the other slots stay empty", s.Engine.Slots))
			}
		}
		if s.Scaling != nil {
			c.scaling(place, *s.Scaling, routed[name])
		}
	}
}

func (c *checker) scaling(place func(Field) Place, s Scaling, routed bool) {
	switch {
	case s.Min > s.Max:
		c.add(Error, "scaling_range", place(FieldScaling), fmt.Sprintf("min %d, max %d", s.Min, s.Max), "min of at most max")
	case s.Max == 0 && routed:
		c.add(Error, "no_replicas", place(FieldScalingMax), s.Max, "1 or more; a route sends requests to the service")
	}
}

func (c *checker) workspaces() {
	keys := make([]int, len(c.v.Workspaces))
	for _, i := range c.v.Keys {
		keys[i]++
	}
	names := map[string]bool{}
	for i, w := range c.v.Workspaces {
		place := func(f Field) Place { return Place{PartWorkspace, i, w.Name, f} }
		switch {
		case w.Name == "":
			c.add(Error, "empty_name", place(FieldName), strconv.Quote(""), "a name; replicas get it with each request")
		case names[w.Name]:
			c.add(Error, "duplicate_name", place(FieldName), w.Name, "each name once")
		}
		names[w.Name] = true
		if keys[i] == 0 {
			c.add(Warning, "never_used", place(FieldKeys), "none", "a key that no later one has; without one no request belongs to it")
		}
		if w.HasPriority {
			c.priority(place(FieldPriority), w.Priority)
		}
	}
}

func (c *checker) limits() {
	l := &c.v.Limits
	for _, limit := range []struct {
		field Field
		zero  bool
	}{
		{FieldHeaderBytes, l.HeaderBytes == 0}, {FieldBodyBytes, l.BodyBytes == 0},
		{FieldHeaderTimeout, l.HeaderTimeout == 0}, {FieldIdleTimeout, l.IdleTimeout == 0},
	} {
		if limit.zero {
			c.add(Note, "no_limit", Place{Part: PartLimits, Field: limit.field}, 0, "0 means no limit of the configuration; the edge's own bounds apply")
		}
	}
}
