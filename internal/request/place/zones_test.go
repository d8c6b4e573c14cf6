package place

import (
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/replicas"
	"github.com/dragonflypin/dragonflypin/internal/process/settings"
)

// Guards against load of one zone or of one entry that is missing from what orders of replicas are based on.
func TestZoneLoadsAddUpAllEntries(t *testing.T) {
	registry := replicas.NewRegistry()
	now := time.Unix(1000, 0)
	registry.Replace([]replicas.Change{
		{ID: "r1", Revision: 1, Replica: &replicas.Replica{ID: "r1", Service: "lm", Address: "127.0.0.1:1", Zone: "a", Slots: 64}},
		{ID: "r2", Revision: 2, Replica: &replicas.Replica{ID: "r2", Service: "lm", Address: "127.0.0.1:2", Zone: "b", Slots: 64}},
		{ID: "r3", Revision: 3, Replica: &replicas.Replica{ID: "r3", Service: "lm", Address: "127.0.0.1:3", Zone: "b", Slots: 64}},
	}, now)
	var set settings.Placement
	settings.ApplyDefaults(&set)
	p := New("a", set, 1)
	p.Update(registry.View(), []string{"lm"})
	p.Loads.Add(KeyOf("r2"), Load{Running: 2, Prefill: 1000})
	p.ApplyReport("other", ReportOf{Loads: map[Key]Load{KeyOf("r3"): {Running: 3, Waiting: 2000}}}, now)
	got := map[string]ZoneLoad{}
	for _, z := range p.ZoneLoads("lm", now) {
		got[z.Zone] = z
	}
	if a := got["a"]; a.Replicas != 1 || a.Running != 0 || a.Backlog != 0 {
		t.Errorf("zone a: %+v", a)
	}
	if b := got["b"]; b.Replicas != 2 || b.Slots != 64 || b.Running != 5 || b.Backlog < p.prefillDuration(KeyOf("r2"), 2990, now) || b.Backlog > p.prefillDuration(KeyOf("r2"), 3010, now) {
		t.Errorf("zone b: %+v", b)
	}
	if p.ZoneLoads("none", now) != nil {
		t.Error("an unknown service has load")
	}
}
