package intake

import (
	"net/http"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/version/routes"
)

// Limits bound what one connection may send before its request is served. They are above what the configuration allows, because a
// caller inside its limits must not be refused.
type Limits struct {
	// HeadBytes bounds a head, in bytes read from the connection.
	HeadBytes int
	// HeadTime bounds the time from the first byte of a head to its end, IdleTime the time without a byte, before a
	// head or in a body.
	HeadTime, IdleTime time.Duration
}

// Limits without a configuration, and where it names none. They are above the values in the published deployment specifications.
const (
	defaultHeadBytes = 64 << 10
	defaultHeadTime  = 30 * time.Second
	defaultIdleTime  = 3 * time.Minute
)

// Room above the limits of the configuration.
const (
	// headRoomBytes is for what is read together with a head: net/http reads 4096 bytes at a time, so that the first bytes of a body,
	// or empty lines before the head, count as well.
	headRoomBytes = 8 << 10
	// headTimeFactor and timeRoom are for a machine that is late: what has arrived waits until it is read.
	headTimeFactor = 2
	timeRoom       = 2 * time.Second
)

// maxHeadBytes bounds a head whatever the configuration allows: the default bound of net/http, which parses the head, and what is read
// together with it.
const maxHeadBytes = http.DefaultMaxHeaderBytes + headRoomBytes

// LimitsOf returns the limits of connections under a configuration, or without one if v is nil.
func LimitsOf(v *routes.Version) Limits {
	limits := Limits{HeadBytes: defaultHeadBytes, HeadTime: defaultHeadTime, IdleTime: defaultIdleTime}
	if v == nil {
		return limits
	}
	if n := v.Limits.HeaderBytes; n > 0 {
		limits.HeadBytes = min(n+n/4+headRoomBytes, maxHeadBytes)
	}
	if d := v.Limits.HeaderTimeout; d > 0 {
		limits.HeadTime = headTimeFactor*d + timeRoom
	}
	if d := v.Limits.IdleTimeout; d > 0 {
		limits.IdleTime = d + d/4 + timeRoom
	}
	return limits
}

const (
	// socketShare is the share of the sockets of a process that accepted connections may take. A request in service takes another
	// one to its replica, for which direct.Pool has as many; the rest is for the store, for other edges and for listeners.
	socketShare = 0.45
	// reservedDescriptors are those of the platform's limit that are not for sockets.
	reservedDescriptors = 200
)

// MaxConns returns how many connections a process with the limit of descriptors may accept, which is also how many it may open to
// replicas. 0 means no limit.
func MaxConns(descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	return max(1, int(socketShare*float64(descriptors-reservedDescriptors)))
}
