package edge

import (
	"net/http"
	"net/netip"
	"slices"

	"github.com/dragonflypin/dragonflypin/internal/process/boottime"
)

// edgeStatus is the state of an edge as operators see it.
type edgeStatus struct {
	Edge          string `json:"edge"`
	Address       string `json:"address"`
	Zone          string `json:"zone"`
	Ready         bool   `json:"ready"`
	Draining      bool   `json:"draining"`
	InFlight      int64  `json:"in_flight"`
	Configuration uint64 `json:"configuration"`
	// Replicas is the number of those that accept new requests.
	Replicas int `json:"replicas"`
	// StoreFailing is set while the latest call of this edge to the store failed.
	StoreFailing bool `json:"store_failing"`
	// LiveEdges are the addresses of the other live edges.
	LiveEdges []string `json:"live_edges"`
	// Duties is absent where the platform asks for none.
	Duties *dutyStatus `json:"duties,omitempty"`
}

// dutyStatus is what an edge knows of the duties at the platform.
type dutyStatus struct {
	Names []string `json:"names"`
	// Holder is the address of the edge that holds all duties; it is empty if this edge does not know of one.
	Holder string `json:"holder"`
	// Window is the running window, ClockErrorMs the difference between the machine's time of day and the estimate of the true time.
	// Both are absent where no usage is reported.
	Window       *uint64 `json:"window,omitempty"`
	ClockErrorMs *int64  `json:"clock_error_ms,omitempty"`
}

func (e *Edge) showStatus(w http.ResponseWriter, _ *http.Request) {
	s := edgeStatus{
		Edge: e.node.Name, Address: e.node.Address.String(), Zone: e.node.Zone, Ready: e.Ready(), Draining: e.draining.Load(),
		InFlight: e.inFlight.Load(), Configuration: e.version(), StoreFailing: e.storeFailing.Load(), Replicas: e.registry.View().Len(), LiveEdges: []string{},
	}
	live := e.gossip.LivePeers()
	slices.SortFunc(live, netip.Addr.Compare)
	for _, peer := range live {
		s.LiveEdges = append(s.LiveEdges, peer.String())
	}
	s.Duties = e.dutyStatus()
	writeJSON(w, http.StatusOK, s)
}

func (e *Edge) dutyStatus() *dutyStatus {
	d := &e.node.Duties
	if !d.Any() {
		return nil
	}
	s := &dutyStatus{}
	if d.ReportUsage {
		s.Names = append(s.Names, "report usage")
	}
	if d.OrderReplicas {
		s.Names = append(s.Names, "order replicas")
	}
	if e.duties != nil {
		s.Holder = e.duties.Holder()
	}
	if e.tally != nil {
		window, clockError := e.tally.counter.Window(boottime.Now()), e.tally.clock.Error().Milliseconds()
		s.Window, s.ClockErrorMs = &window, &clockError
	}
	return s
}
