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

// BodyEnd is what showed, at the end of a body that ends with its connection, whether the replica had ended it.
type BodyEnd uint8

// Ends of bodies. The first two are regular ones.
const (
	// BodyEndAlive means that another connection to the process outlived the body.
	BodyEndAlive BodyEnd = iota
	// BodyEndStopping means that the process had ended its idle connections, accepted no others and went on to send the body.
	BodyEndStopping
	// BodyEndGone means that the other connections to the process ended together with that of the body.
	BodyEndGone
	// BodyEndUnknown means that there was no other connection.
	BodyEndUnknown
	bodyEnds
)

// String returns the end as it appears in metrics.
func (e BodyEnd) String() string {
	return [bodyEnds]string{"alive", "stopping", "gone", "unknown"}[e]
}

// counts counts connections by reason, and bodies by their end. It is safe for concurrent use.
type counts struct {
	opened [openReasons]atomic.Int64
	closed [closeReasons]atomic.Int64
	bodies [bodyEnds]atomic.Int64
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

// BodiesBy calls f with each end and the number of bodies that ended with their connections that way.
func (p *Pool) BodiesBy(f func(end string, n int64)) {
	for e := range bodyEnds {
		f(e.String(), p.counts.bodies[e].Load())
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
