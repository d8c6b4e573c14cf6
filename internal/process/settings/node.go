package settings

import (
	"net/netip"
	"time"
)

// Node is what the platform tells a process about its machine. An adapter reads it from the platform's own format.
type Node struct {
	// Name of the machine, and Role of the process on it.
	Name, Role string
	// Zone is the availability zone.
	Zone string
	// Address is the machine's IPv4 address.
	Address netip.Addr
	// CallerListen serves callers, ReadyListen the balancer's question whether the process takes callers.
	CallerListen, ReadyListen netip.AddrPort
	// ControlListen is the address by which the platform names this process in the seeds; nothing listens there. The zero value
	// stands for none.
	ControlListen netip.AddrPort
	// PeerPort is the port of datagrams between entries, the same on all machines.
	PeerPort uint16
	// Seeds are addresses of other entries, which may be down or gone.
	Seeds []netip.Addr
	// StoreAddress is the IP:PORT of the object store.
	StoreAddress netip.AddrPort
	// MemoryBytes is the memory above which the process is killed.
	MemoryBytes int64
	// StopGrace is the time between the order to stop and the kill.
	StopGrace time.Duration
	// ApplyBound is the time within which an accepted configuration is in force.
	ApplyBound time.Duration
	// DrainBound is the time within which a replica that leaves gets no more work.
	DrainBound time.Duration
	// RetryRatio, RetryWindow and RetryReserve are the budget of repeated sends that all entries share, for each service:
	// within a window, the ratio of its requests and the reserve.
	RetryRatio   float64
	RetryWindow  time.Duration
	RetryReserve float64
}
