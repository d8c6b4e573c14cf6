package settings

import (
	"net/netip"
	"time"
)

// Node describes the machine of a process and the platform's limits. An adapter reads it from the platform's own format.
type Node struct {
	// Name of the machine, and Role of the process on it.
	Name, Role string
	// Zone is the availability zone.
	Zone string
	// Address is the machine's IPv4 address.
	Address netip.Addr
	// CallerListen is the address for requests of callers, ReadyListen that for the load balancer's readiness checks.
	CallerListen, ReadyListen netip.AddrPort
	// ControlListen is the address that stands for this process in the platform's lists of seeds; no listener is opened on it.
	// The zero value means that there is none.
	ControlListen netip.AddrPort
	// PeerPort is the UDP port for messages between entries, the same on all machines.
	PeerPort uint16
	// Seeds are addresses of other entries; some of them may be down or no longer exist.
	Seeds []netip.Addr
	// StoreAddress is the IP:PORT of the object store.
	StoreAddress netip.AddrPort
	// MemoryBytes is the memory limit above which the platform kills the process.
	MemoryBytes int64
	// Descriptors is the number of descriptors that the process may have open; 0 means that the platform names none.
	Descriptors int
	// StopGrace is the time between the stop signal and the kill.
	StopGrace time.Duration
	// ApplyBound is the time within which an accepted configuration must be in force.
	ApplyBound time.Duration
	// DrainBound is the time after which a replica that leaves must get no new requests.
	DrainBound time.Duration
	// RetryRatio, RetryWindow and RetryReserve define the retry budget of each service, which all entries share: within a
	// window, the ratio times the service's requests, plus the reserve.
	RetryRatio   float64
	RetryWindow  time.Duration
	RetryReserve float64
	// Duties are those at the platform that one of the entries performs for all.
	Duties Duties
}

// Duties describes the calls to the platform that are the duty of one entry at a time. The zero value names none.
type Duties struct {
	// Address is the IP:PORT of the platform's API.
	Address netip.AddrPort
	// ReportUsage and OrderReplicas are set for the duties that the platform asks for.
	ReportUsage, OrderReplicas bool
	// CallsPerSecond is the rate of such calls that the platform accepts from all entries together.
	CallsPerSecond float64
	// Lease is the time within which a holder must not act again after another one has acted.
	Lease time.Duration
	// Window is the length of the windows of true time, counted from the start of 1970, whose usage is reported.
	Window time.Duration
	// ReportBound is the time after the end of a window within which its report is due.
	ReportBound time.Duration
}

// Any reports whether there is a duty to perform.
func (d *Duties) Any() bool { return d.ReportUsage || d.OrderReplicas }
