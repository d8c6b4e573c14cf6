package duty

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/tally"
)

// Holder identifies who makes a call.
type Holder struct {
	// Name of the edge.
	Name string
	// Fence is the fencing number of its lease. It increases with each new holder.
	Fence uint64
	// Until is the time on the lease's clock from which on nothing of the call may be sent any more.
	Until time.Time
}

// Platform makes the calls of the duties. An error wraps ErrNotSent, ErrThrottled or ErrRefused if the platform certainly did not
// act on the call; with any other error it may have done so, or still do. No call outlives its context.
type Platform interface {
	// ReportUsage reports the requests of each workspace that began to run in a window.
	ReportUsage(ctx context.Context, h Holder, window uint64, counts map[string]uint64) error
	// OrderReplicas orders the number of replicas of a service in an availability zone.
	OrderReplicas(ctx context.Context, h Holder, service, zone string, replicas int) error
}

// Errors of a Platform.
var (
	// ErrNotSent reports that the call did not reach the platform.
	ErrNotSent = errors.New("call not sent to the platform")
	// ErrThrottled reports that the platform has responded that it accepts no call now, because of its rate or a failure.
	ErrThrottled = errors.New("platform accepts no call now")
	// ErrRefused reports that the platform has refused the call itself.
	ErrRefused = errors.New("platform refuses the call")
)

// Counts are the requests that began to run at all edges; tally.Counter implements it.
type Counts interface {
	// Segments returns the counts of a window by edge and run.
	Segments(window uint64) []tally.Segment
	// Final reports whether the edges with these addresses have sent their final counts of a window.
	Final(window uint64, edges []string) bool
	// Window returns the number of the window at a time, by true time.
	Window(now time.Time) uint64
	// Ends returns the time until the end of a window; it is negative after the end.
	Ends(window uint64) time.Duration
}

// Order is a number of replicas of a service in an availability zone.
type Order struct {
	Service, Zone string
	Replicas      int
}

// Orders decides which numbers of replicas to order. Its methods are called by one goroutine.
type Orders interface {
	// Begin is called when this edge becomes the holder, before the first call of Next: orders of earlier holders are unknown.
	Begin()
	// Next returns the next order to send. It is called several times a second.
	Next(now time.Time) (o Order, ok bool)
	// Sent records the result of an order. With an error the order may or may not be in force.
	Sent(o Order, err error, now time.Time)
}

// Announcement is what the holder tells the other edges about its lease.
type Announcement struct {
	_ struct{} `cbor:",toarray"`
	// Version is the version of the lease that the holder has written last, in the Era of the store, and Fence its fencing number.
	Version, Fence, Era uint64
	// Released is set when the holder has given the lease up.
	Released bool
}

// sendOutcome is what is known of a call to the platform.
type sendOutcome uint8

const (
	accepted sendOutcome = iota + 1
	notSent
	throttled
	refused
	unknown
)

func outcomeOf(err error) sendOutcome {
	switch {
	case err == nil:
		return accepted
	case errors.Is(err, ErrNotSent):
		return notSent
	case errors.Is(err, ErrThrottled):
		return throttled
	case errors.Is(err, ErrRefused):
		return refused
	default:
		return unknown
	}
}
