package routes

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Difference is one change of meaning between two versions.
type Difference struct {
	Code  string
	Place Place
	// Before and After are empty if the part did not exist.
	Before, After string
	// Effect says what the change does to requests, including those under way.
	Effect string
}

// Effects of differences. A request keeps the route, service, deadline and workspace with which it was accepted.
const (
	effectKept      = "requests under way keep the former value until they end; later ones get the new value"
	effectAdded     = "requests under way are not affected; later ones may match it instead of a shorter prefix"
	effectRemoved   = "requests under way complete, until their timeout; later ones match a shorter prefix or get 404"
	effectMoved     = "requests under way, and their further attempts, stay with the former services; later ones go to the new ones"
	effectShorter   = "requests under way keep the former, longer timeout; later ones end earlier"
	effectWithdrawn = "requests under way complete; later ones with the key get 401"
	effectKeyAdded  = "later requests with the key are accepted"
	effectKeyMoved  = "requests under way count for the former workspace; later ones for the new one"
	effectService   = "applies to replicas at once; requests under way stay where they are"
	effectLowered   = "requests that have been read complete; later ones above the limit are refused or closed"
	effectRaised    = "later requests may be larger or slower"
	effectIgnored   = "an edge keeps the version in force and ignores this one"
)

// CheckSuccessor returns a finding if an edge with the version before in force would ignore v.
func (v *Version) CheckSuccessor(before *Version) []Finding {
	if v.Number > before.Number {
		return nil
	}
	return []Finding{{Code: "version_not_above", Severity: Error, Place: Place{Field: FieldNumber}, Value: fmt.Sprint(v.Number),
		Allowed: fmt.Sprintf("above %d, the version in force; %s", before.Number, effectIgnored)}}
}

// Compare returns what v changes, by meaning: the order of parts does not count unless it decides which route matches. Routes,
// services and workspaces are the same if their names are. The differences contain the keys.
func (v *Version) Compare(before *Version) []Difference {
	c := &comparison{}
	c.routes(before, v)
	c.services(before, v)
	c.workspaces(before, v)
	c.keys(before, v)
	c.limits(&before.Limits, &v.Limits)
	return c.found
}

type comparison struct{ found []Difference }

func (c *comparison) add(code string, place Place, before, after any, effect string) {
	c.found = append(c.found, Difference{code, place, fmt.Sprint(before), fmt.Sprint(after), effect})
}

// changed adds a difference if the values differ.
func changed[T comparable](c *comparison, code string, place Place, before, after T, effect string) {
	if before != after {
		c.add(code, place, before, after, effect)
	}
}

func (c *comparison) routes(before, after *Version) {
	old := map[string]*Route{}
	for i := range before.Routes {
		old[before.Routes[i].Name] = &before.Routes[i]
	}
	for i := range after.Routes {
		r := &after.Routes[i]
		place := func(f Field) Place { return Place{PartRoute, i, r.Name, f} }
		if o := old[r.Name]; o != nil {
			c.route(o, r, place)
		} else {
			c.add("route_added", place(FieldNone), "", r.Host+r.Prefix+" to "+r.services(), effectAdded)
		}
		delete(old, r.Name)
	}
	for i := range before.Routes {
		if r := &before.Routes[i]; old[r.Name] == r {
			c.add("route_removed", Place{PartRoute, -1, r.Name, FieldNone}, r.Host+r.Prefix+" to "+r.services(), "", effectRemoved)
		}
	}
}

func (c *comparison) route(old, r *Route, place func(Field) Place) {
	changed(c, "route_matches", place(FieldPrefix), old.Host+old.Prefix, r.Host+r.Prefix, effectRemoved)
	if old.services() != r.services() {
		code := "route_moved"
		if slices.Equal(old.serviceNames(), r.serviceNames()) {
			code = "split_changed"
		}
		c.add(code, place(FieldTargets), old.services(), r.services(), effectMoved)
	}
	effect := effectKept
	// 0 means no timeout.
	if r.Timeout > 0 && (old.Timeout == 0 || r.Timeout < old.Timeout) {
		effect = effectShorter
	}
	changed(c, "timeout_changed", place(FieldTimeout), old.Timeout, r.Timeout, effect)
	changed(c, "kind_changed", place(FieldKind), old.Kind, r.Kind, effectKept)
	changed(c, "target_changed", place(FieldLatencyTarget), old.LatencyTarget, r.LatencyTarget, effectKept)
	changed(c, "target_changed", place(FieldGapTarget), old.GapTarget, r.GapTarget, effectKept)
	changed(c, "priority_changed", place(FieldPriority), old.Priority, r.Priority, effectKept)
	changed(c, "attempts_changed", place(FieldMaxAttempts), old.MaxAttempts, r.MaxAttempts, effectKept)
	changed(c, "anonymous_changed", place(FieldAnonymous), old.Anonymous, r.Anonymous, effectKept)
	changed(c, "resumable_changed", place(FieldResumable), old.Resumable, r.Resumable, effectKept)
}

// shares returns the services that get traffic, with the sum of their weights, sorted by name.
func (r *Route) shares() []Target {
	sums := map[string]int{}
	for _, t := range r.Targets {
		if t.Weight > 0 {
			sums[t.Service] += t.Weight
		}
	}
	list := make([]Target, 0, len(sums))
	for name, weight := range sums {
		list = append(list, Target{name, weight})
	}
	slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

func (r *Route) serviceNames() []string {
	var names []string
	for _, t := range r.shares() {
		names = append(names, t.Service)
	}
	return names
}

// services returns the services and their shares as text, which is equal for equal splits.
func (r *Route) services() string {
	shares := r.shares()
	if len(shares) == 1 {
		return shares[0].Service
	}
	total := 0
	for _, t := range shares {
		total += t.Weight
	}
	texts := make([]string, len(shares))
	for i, t := range shares {
		texts[i] = fmt.Sprintf("%s %.4g%%", t.Service, 100*float64(t.Weight)/float64(total))
	}
	return strings.Join(texts, ", ")
}

func (c *comparison) services(before, after *Version) {
	names := maps.Clone(before.Services)
	if names == nil {
		names = map[string]Service{}
	}
	maps.Copy(names, after.Services)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		old, hadOld := before.Services[name]
		s, hasNew := after.Services[name]
		place := func(f Field) Place { return Place{PartService, -1, name, f} }
		switch {
		case !hadOld:
			c.add("service_added", place(FieldNone), "", name, effectService)
		case !hasNew:
			c.add("service_removed", place(FieldNone), name, "", effectService)
		default:
			changed(c, "health_path_changed", place(FieldHealthPath), old.HealthPath, s.HealthPath, effectService)
			changed(c, "connections_changed", place(FieldMaxConnections), old.MaxConnections, s.MaxConnections, effectService)
			changed(c, "engine_changed", place(FieldEngine), old.Engine.text(), s.Engine.text(), effectService)
			changed(c, "scaling_changed", place(FieldScaling), old.Scaling.text(), s.Scaling.text(), effectService)
		}
	}
}

func (e *Engine) text() string {
	if e == nil {
		return "none"
	}
	return fmt.Sprintf("%d slots, %d tokens", e.Slots, e.CacheTokens)
}

func (s *Scaling) text() string {
	if s == nil {
		return "none"
	}
	return fmt.Sprintf("min %d, max %d, boot %s", s.Min, s.Max, s.Boot)
}

func (c *comparison) workspaces(before, after *Version) {
	old := map[string]Workspace{}
	for _, w := range before.Workspaces {
		old[w.Name] = w
	}
	for i, w := range after.Workspaces {
		place := func(f Field) Place { return Place{PartWorkspace, i, w.Name, f} }
		if o, ok := old[w.Name]; ok {
			changed(c, "priority_changed", place(FieldPriority), o.priority(), w.priority(), effectKept)
		} else {
			c.add("workspace_added", place(FieldNone), "", w.Name, effectKeyAdded)
		}
		delete(old, w.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(old)) {
		c.add("workspace_removed", Place{PartWorkspace, -1, name, FieldNone}, name, "", effectWithdrawn)
	}
}

func (w Workspace) priority() string {
	if !w.HasPriority {
		return "the route's"
	}
	return fmt.Sprint(w.Priority)
}

func (c *comparison) keys(before, after *Version) {
	if (before.Keys == nil) != (after.Keys == nil) {
		required := func(v *Version) string {
			if v.Keys == nil {
				return "not required"
			}
			return "required"
		}
		c.add("keys_required", Place{Part: PartWorkspace, Index: -1}, required(before), required(after), effectKept)
	}
	all := map[string]bool{}
	for key := range before.Keys {
		all[key] = true
	}
	for key := range after.Keys {
		all[key] = true
	}
	for _, key := range slices.Sorted(maps.Keys(all)) {
		old, hadOld := before.Workspace(key)
		w, hasNew := after.Workspace(key)
		place := Place{PartWorkspace, -1, w.Name, FieldKeys}
		switch {
		case !hadOld:
			place.Index = after.Keys[key]
			c.add("key_added", place, "", key, effectKeyAdded)
		case !hasNew:
			place.Name = old.Name
			c.add("key_withdrawn", place, key, "", effectWithdrawn)
		case old.Name != w.Name:
			place.Index = after.Keys[key]
			c.add("key_moved", place, old.Name+" "+key, w.Name+" "+key, effectKeyMoved)
		}
	}
}

func (c *comparison) limits(old, l *Limits) {
	limit(c, FieldHeaderBytes, old.HeaderBytes, l.HeaderBytes)
	limit(c, FieldBodyBytes, old.BodyBytes, l.BodyBytes)
	limit(c, FieldHeaderTimeout, old.HeaderTimeout, l.HeaderTimeout)
	limit(c, FieldIdleTimeout, old.IdleTimeout, l.IdleTimeout)
}

// limit adds a changed limit, of which 0 means none.
func limit[T int | int64 | time.Duration](c *comparison, field Field, old, now T) {
	code, effect := "limit_raised", effectRaised
	if now > 0 && (old == 0 || now < old) {
		code, effect = "limit_lowered", effectLowered
	}
	changed(c, code, Place{Part: PartLimits, Field: field}, old, now, effect)
}
