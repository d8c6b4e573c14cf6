package routes_test

import (
	"slices"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/version/routes"
)

// soundVersion returns a version without findings.
func soundVersion() *routes.Version {
	return &routes.Version{
		Number: 7,
		Routes: []routes.Route{
			{Name: "chat", Host: "a.example", Prefix: "/chat/", Kind: routes.Streaming, Timeout: 10 * time.Second, LatencyTarget: time.Second,
				GapTarget: 500 * time.Millisecond, Targets: []routes.Target{{Service: "llm", Weight: 9}, {Service: "small", Weight: 1}}, MaxAttempts: 2, Resumable: true},
			{Name: "chat-fast", Host: "a.example", Prefix: "/chat/fast/", Kind: routes.NonIdempotent, Timeout: 2 * time.Second, LatencyTarget: time.Second,
				Targets: []routes.Target{{Service: "llm", Weight: 1}}, MaxAttempts: 1},
		},
		Services: map[string]routes.Service{
			"llm":   {Name: "llm", HealthPath: "/healthz", MaxConnections: 100, Engine: &routes.Engine{Slots: 64, CacheTokens: 1000}, Scaling: &routes.Scaling{Min: 1, Max: 4}},
			"small": {Name: "small", MaxConnections: 10},
		},
		Workspaces: []routes.Workspace{{Name: "w", Priority: 1, HasPriority: true}, {Name: "x"}},
		Keys:       map[string]int{"k1": 0, "k2": 1},
		Limits:     routes.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// Guards against findings about a sound configuration, in which one prefix continues another.
func TestCheckSound(t *testing.T) {
	if found := soundVersion().Compile().Check(); len(found) != 0 {
		t.Errorf("findings %+v", found)
	}
}

// Guards against contradictions and entries that can never match that are not found, and against findings at another place.
func TestCheck(t *testing.T) {
	type v = routes.Version
	route := func(i int, f routes.Field) routes.Place {
		return routes.Place{Part: routes.PartRoute, Index: i, Name: []string{"chat", "chat-fast"}[i], Field: f}
	}
	service := func(f routes.Field) routes.Place {
		return routes.Place{Part: routes.PartService, Index: -1, Name: "llm", Field: f}
	}
	llm := func(change func(*routes.Service)) func(*v) {
		return func(x *v) {
			s := x.Services["llm"]
			change(&s)
			x.Services["llm"] = s
		}
	}
	for name, test := range map[string]struct {
		change   func(*v)
		code     string
		severity routes.Severity
		place    routes.Place
	}{
		"version 0":              {func(x *v) { x.Number = 0 }, "version_zero", routes.Error, routes.Place{Field: routes.FieldNumber}},
		"equal prefix":           {func(x *v) { x.Routes[1].Prefix = "/chat/" }, "never_matches", routes.Error, route(1, routes.FieldPrefix)},
		"empty host":             {func(x *v) { x.Routes[1].Host = "" }, "never_matches", routes.Error, route(1, routes.FieldHost)},
		"host with port":         {func(x *v) { x.Routes[1].Host = "a.example:80" }, "never_matches", routes.Error, route(1, routes.FieldHost)},
		"wildcard":               {func(x *v) { x.Routes[1].Host = "*.example" }, "never_matches", routes.Error, route(1, routes.FieldHost)},
		"no first slash":         {func(x *v) { x.Routes[1].Prefix = "x/" }, "never_matches", routes.Error, route(1, routes.FieldPrefix)},
		"query in prefix":        {func(x *v) { x.Routes[1].Prefix = "/x?y/" }, "never_matches", routes.Error, route(1, routes.FieldPrefix)},
		"no last slash":          {func(x *v) { x.Routes[1].Prefix = "/x" }, "prefix_without_slash", routes.Error, route(1, routes.FieldPrefix)},
		"timeout below target":   {func(x *v) { x.Routes[0].Timeout = time.Second / 2 }, "timeout_below_target", routes.Warning, route(0, routes.FieldTimeout)},
		"gap above timeout":      {func(x *v) { x.Routes[0].GapTarget = time.Minute }, "gap_above_timeout", routes.Warning, route(0, routes.FieldGapTarget)},
		"gap without stream":     {func(x *v) { x.Routes[1].GapTarget = 1 }, "no_effect", routes.Warning, route(1, routes.FieldGapTarget)},
		"resumable, no stream":   {func(x *v) { x.Routes[1].Resumable = true }, "no_effect", routes.Warning, route(1, routes.FieldResumable)},
		"no target":              {func(x *v) { x.Routes[1].LatencyTarget = 0 }, "no_target", routes.Warning, route(1, routes.FieldLatencyTarget)},
		"no timeout":             {func(x *v) { x.Routes[1].Timeout = 0 }, "no_timeout", routes.Note, route(1, routes.FieldTimeout)},
		"attempts above timeout": {func(x *v) { x.Routes[0].MaxAttempts = 11 }, "attempts_exceed_timeout", routes.Warning, route(0, routes.FieldMaxAttempts)},
		"attempts, run once":     {func(x *v) { x.Routes[1].MaxAttempts = 2 }, "repeats_unsent_only", routes.Note, route(1, routes.FieldMaxAttempts)},
		"priority 10":            {func(x *v) { x.Routes[1].Priority = 10 }, "priority_range", routes.Warning, route(1, routes.FieldPriority)},
		"workspace priority": {func(x *v) { x.Workspaces[0].Priority = -1 }, "priority_range", routes.Warning,
			routes.Place{Part: routes.PartWorkspace, Name: "w", Field: routes.FieldPriority}},
		"no service":       {func(x *v) { x.Routes[1].Targets = nil }, "no_service", routes.Error, route(1, routes.FieldTargets)},
		"unlisted service": {func(x *v) { x.Routes[1].Targets[0].Service = "lost" }, "unknown_service", routes.Error, route(1, routes.FieldTargets)},
		"weight 0":         {func(x *v) { x.Routes[0].Targets[1].Weight = 0 }, "no_traffic", routes.Warning, route(0, routes.FieldTargets)},
		"negative weight":  {func(x *v) { x.Routes[0].Targets[1].Weight = -1 }, "negative_weight", routes.Error, route(0, routes.FieldTargets)},
		"all weights 0":    {func(x *v) { x.Routes[1].Targets[0].Weight = 0 }, "no_weight", routes.Error, route(1, routes.FieldTargets)},
		"service twice":    {func(x *v) { x.Routes[0].Targets[1].Service = "llm" }, "duplicate_service", routes.Warning, route(0, routes.FieldTargets)},
		"duplicate route":  {func(x *v) { x.Routes[1].Name = "chat" }, "duplicate_name", routes.Warning, routes.Place{Part: routes.PartRoute, Index: 1, Name: "chat", Field: routes.FieldName}},
		"no keys":          {func(x *v) { x.Keys = map[string]int{} }, "no_keys", routes.Error, route(0, routes.FieldAnonymous)},
		"workspace without keys": {func(x *v) { delete(x.Keys, "k2") }, "never_used", routes.Warning,
			routes.Place{Part: routes.PartWorkspace, Index: 1, Name: "x", Field: routes.FieldKeys}},
		"duplicate workspace": {func(x *v) { x.Workspaces[1].Name = "w" }, "duplicate_name", routes.Error,
			routes.Place{Part: routes.PartWorkspace, Index: 1, Name: "w", Field: routes.FieldName}},
		"service without route": {func(x *v) { x.Services["spare"] = routes.Service{Name: "spare"} }, "never_used", routes.Warning,
			routes.Place{Part: routes.PartService, Index: -1, Name: "spare"}},
		"connections below slots": {llm(func(s *routes.Service) { s.MaxConnections = 63 }), "connections_below_slots", routes.Warning, service(routes.FieldMaxConnections)},
		"no slots":                {llm(func(s *routes.Service) { s.Engine = &routes.Engine{CacheTokens: 1} }), "no_slots", routes.Error, service(routes.FieldSlots)},
		"no cache":                {llm(func(s *routes.Service) { s.Engine = &routes.Engine{Slots: 1} }), "no_cache", routes.Error, service(routes.FieldCacheTokens)},
		"min above max":           {llm(func(s *routes.Service) { s.Scaling = &routes.Scaling{Min: 2, Max: 1} }), "scaling_range", routes.Error, service(routes.FieldScaling)},
		"max 0":                   {llm(func(s *routes.Service) { s.Scaling = &routes.Scaling{} }), "no_replicas", routes.Error, service(routes.FieldScalingMax)},
		"health path":             {llm(func(s *routes.Service) { s.HealthPath = "healthz" }), "health_path", routes.Error, service(routes.FieldHealthPath)},
		"no limit":                {func(x *v) { x.Limits.BodyBytes = 0 }, "no_limit", routes.Note, routes.Place{Part: routes.PartLimits, Field: routes.FieldBodyBytes}},
	} {
		t.Run(name, func(t *testing.T) {
			x := soundVersion()
			test.change(x)
			found := x.Compile().Check()
			if !slices.ContainsFunc(found, func(f routes.Finding) bool {
				return f.Code == test.code && f.Severity == test.severity && f.Place == test.place && f.Allowed != ""
			}) {
				t.Errorf("findings %+v, want %s %s at %+v", found, test.severity, test.code, test.place)
			}
		})
	}
}

// Guards against a bound on attempts that is off by one: the last attempt of 10 begins at 9 s, before the timeout of 10 s.
func TestCheckAttemptsThatFit(t *testing.T) {
	x := soundVersion()
	x.Routes[0].MaxAttempts = 10
	if found := x.Compile().Check(); len(found) != 0 {
		t.Errorf("findings %+v", found)
	}
}

// Guards against services without replicas that are not reported, and against a report about services that are unknown or unused.
func TestCheckReplicas(t *testing.T) {
	x := soundVersion()
	x.Services["spare"] = routes.Service{Name: "spare"}
	found := x.Compile().CheckReplicas(map[string]int{"llm": 0, "spare": 0})
	if len(found) != 1 || found[0].Place.Name != "llm" || found[0].Code != "no_replicas" {
		t.Errorf("findings %+v", found)
	}
}

// Guards against differences between configurations that mean the same: other order, shares written in another way.
func TestCompareEqual(t *testing.T) {
	x := soundVersion()
	slices.Reverse(x.Routes)
	x.Routes[1].Targets = []routes.Target{{Service: "small", Weight: 100}, {Service: "llm", Weight: 900}, {Service: "spare", Weight: 0}}
	x.Workspaces, x.Keys = []routes.Workspace{x.Workspaces[1], x.Workspaces[0]}, map[string]int{"k1": 1, "k2": 0}
	if found := x.Compile().Compare(soundVersion().Compile()); len(found) != 0 {
		t.Errorf("differences %+v", found)
	}
}

// Guards against changes that are not reported, and against reports of changes that were not made.
func TestCompare(t *testing.T) {
	type v = routes.Version
	for name, test := range map[string]struct {
		change func(*v)
		codes  []string
	}{
		"route added": {func(x *v) {
			x.Routes = append(x.Routes, routes.Route{Name: "n", Host: "b", Prefix: "/", Targets: x.Routes[1].Targets})
		}, []string{"route_added"}},
		"route removed":     {func(x *v) { x.Routes = x.Routes[:1] }, []string{"route_removed"}},
		"route renamed":     {func(x *v) { x.Routes[1].Name = "n" }, []string{"route_added", "route_removed"}},
		"prefix":            {func(x *v) { x.Routes[1].Prefix = "/slow/" }, []string{"route_matches"}},
		"moved":             {func(x *v) { x.Routes[1].Targets = []routes.Target{{Service: "small", Weight: 1}} }, []string{"route_moved"}},
		"split":             {func(x *v) { x.Routes[0].Targets[1].Weight = 3 }, []string{"split_changed"}},
		"timeout, priority": {func(x *v) { x.Routes[0].Timeout, x.Routes[0].Priority = time.Minute, 2 }, []string{"timeout_changed", "priority_changed"}},
		"targets":           {func(x *v) { x.Routes[0].LatencyTarget, x.Routes[0].GapTarget = 1, 1 }, []string{"target_changed", "target_changed"}},
		"key withdrawn":     {func(x *v) { delete(x.Keys, "k1") }, []string{"key_withdrawn"}},
		"key moved":         {func(x *v) { x.Keys["k1"] = 1 }, []string{"key_moved"}},
		"key replaced": {func(x *v) {
			delete(x.Keys, "k1")
			x.Keys["k0"] = 0
		}, []string{"key_added", "key_withdrawn"}},
		"workspace removed":  {func(x *v) { x.Workspaces, x.Keys = x.Workspaces[:1], map[string]int{"k1": 0} }, []string{"workspace_removed", "key_withdrawn"}},
		"keys not required":  {func(x *v) { x.Workspaces, x.Keys = nil, nil }, []string{"workspace_removed", "workspace_removed", "keys_required", "key_withdrawn", "key_withdrawn"}},
		"workspace priority": {func(x *v) { x.Workspaces[0].HasPriority = false }, []string{"priority_changed"}},
		"limit lowered":      {func(x *v) { x.Limits.HeaderBytes = 1024 }, []string{"limit_lowered"}},
		"limit raised":       {func(x *v) { x.Limits.BodyBytes = 0 }, []string{"limit_raised"}},
		"service": {func(x *v) {
			delete(x.Services, "small")
			x.Services["llm"] = routes.Service{Name: "llm", HealthPath: "/healthz", MaxConnections: 100}
		},
			[]string{"engine_changed", "scaling_changed", "service_removed"}},
	} {
		t.Run(name, func(t *testing.T) {
			x := soundVersion()
			test.change(x)
			var codes []string
			for _, d := range x.Compile().Compare(soundVersion().Compile()) {
				if codes = append(codes, d.Code); d.Effect == "" || d.Before == d.After {
					t.Errorf("difference %+v", d)
				}
			}
			if !slices.Equal(codes, test.codes) {
				t.Errorf("differences %v, want %v", codes, test.codes)
			}
		})
	}
}

// Guards against a version that edges would ignore without a finding: the number must increase.
func TestCheckSuccessor(t *testing.T) {
	for number, findings := range map[uint64]int{6: 1, 7: 1, 8: 0} {
		x := soundVersion()
		x.Number = number
		if found := x.CheckSuccessor(soundVersion()); len(found) != findings {
			t.Errorf("number %d: findings %+v", number, found)
		}
		var h routes.Holder
		h.Offer(soundVersion())
		if h.Offer(x) != (findings == 0) {
			t.Errorf("number %d: an edge decides otherwise", number)
		}
	}
}
