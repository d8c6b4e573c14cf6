package direct

import "sync/atomic"

// OpenReason is why a connection was opened instead of one in use again.
type OpenReason uint8

// Reasons to open a connection.
const (
	// OpenFirst is the first connection to an address since the pool last forgot it.
	OpenFirst OpenReason = iota
	// OpenInUse means that all connections to the address carry requests.
	OpenInUse
	// OpenUnproven, OpenExpired, OpenDropped, OpenCut, OpenCanceled, OpenExcess and OpenNotReusable mean that there was none left, by the way in
	// which the last one was closed.
	OpenUnproven
	OpenExpired
	OpenDropped
	OpenCut
	OpenCanceled
	OpenExcess
	OpenNotReusable
	openReasons
)

// String returns the reason as it appears in metrics.
func (r OpenReason) String() string {
	return [openReasons]string{"first", "in_use", "unproven", "expired", "dropped", "cut", "canceled", "excess", "not_reusable"}[r]
}

// CloseReason is why a connection was closed.
type CloseReason uint8

// Reasons to close a connection.
const (
	// CloseExpired means that it had been idle for as long as the replica allows.
	CloseExpired CloseReason = iota
	// CloseDropped means that the replica had closed it, or sent bytes on it, while it was idle.
	CloseDropped
	// CloseUnproven means that nothing showed in time that the replica still had it, for a request that must not run twice.
	CloseUnproven
	// CloseCut means that a request on it got no valid response, or one that was not read to its end.
	CloseCut
	// CloseCanceled means that the caller left or the deadline of its request passed.
	CloseCanceled
	// CloseAsked means that the replica asked for it in its response.
	CloseAsked
	// CloseExtraBytes means that bytes followed a response.
	CloseExtraBytes
	// CloseUnwritten means that the replica responded before it had read the request.
	CloseUnwritten
	// CloseExcess means that there were enough idle ones.
	CloseExcess
	// CloseStopped means that the pool was closed.
	CloseStopped
	closeReasons
)

// String returns the reason as it appears in metrics.
func (r CloseReason) String() string {
	return [closeReasons]string{"expired", "dropped", "unproven", "cut", "canceled", "asked", "extra_bytes", "unwritten", "excess", "stopped"}[r]
}

// nextOpen is why a connection has to be opened after the last one was closed for a reason.
var nextOpen = [closeReasons]OpenReason{
	CloseExpired: OpenExpired, CloseDropped: OpenDropped, CloseUnproven: OpenUnproven, CloseCut: OpenCut, CloseCanceled: OpenCanceled, CloseExcess: OpenExcess,
	CloseAsked: OpenNotReusable, CloseExtraBytes: OpenNotReusable, CloseUnwritten: OpenNotReusable, CloseStopped: OpenNotReusable,
}

// counts counts connections by reason. It is safe for concurrent use.
type counts struct {
	opened [openReasons]atomic.Int64
	closed [closeReasons]atomic.Int64
}

// OpenedBy calls f with each reason and the number of connections that were opened for it.
func (p *Pool) OpenedBy(f func(reason string, n int64)) {
	for r := range openReasons {
		f(r.String(), p.counts.opened[r].Load())
	}
}

// ClosedBy calls f with each reason and the number of connections that were closed for it.
func (p *Pool) ClosedBy(f func(reason string, n int64)) {
	for r := range closeReasons {
		f(r.String(), p.counts.closed[r].Load())
	}
}

// Opened returns the number of connections opened since the creation of the pool.
func (p *Pool) Opened() int64 {
	n := int64(0)
	for r := range openReasons {
		n += p.counts.opened[r].Load()
	}
	return n
}
