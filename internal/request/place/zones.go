package place

import (
	"time"
)

// ZoneLoad is the load of a service's replicas in an availability zone, from all entries.
type ZoneLoad struct {
	Zone string
	// Replicas is the number of replicas that get new requests.
	Replicas int
	Running  int
	// Slots is the number of requests that a replica runs at once; 0 means unknown.
	Slots int
	// Backlog is the time that one replica would need to prefill all prompts that were sent to the zone's replicas or wait for them.
	Backlog time.Duration
}

// ZoneLoads returns the load of a service by availability zone, in the order in which the zones appear in its list of replicas.
func (p *Placer) ZoneLoads(service string, now time.Time) []ZoneLoad {
	l := (*p.layout.Load())[service]
	if l == nil {
		return nil
	}
	index := map[string]int{}
	var zones []ZoneLoad
	for _, m := range l.all {
		i, ok := index[m.Zone]
		if !ok {
			i = len(zones)
			index[m.Zone] = i
			zones = append(zones, ZoneLoad{Zone: m.Zone})
		}
		load := p.Loads.Total(m.key, now)
		zones[i].Replicas++
		zones[i].Slots = max(zones[i].Slots, m.Slots)
		zones[i].Running += load.Running
		zones[i].Backlog += p.prefillDuration(m.key, load.Prefill+load.Waiting, now)
	}
	return zones
}
