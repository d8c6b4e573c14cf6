// Package peer carries the sessions between the system's own processes: QUIC with mutual TLS,
// one session per pair of processes, one control stream per session and one stream per request or call.
package peer

import (
	"context"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
)

// Identity is who the other side of a session is, as its certificate proves it.
type Identity struct {
	Role     wire.Role
	Instance string
}

// CallHandler answers one Call. The payload and the result are CBOR. The context ends with the session.
type CallHandler func(ctx context.Context, from Identity, payload []byte) ([]byte, error)

// Caller makes calls to other processes by instance name.
// It is the interface that packages such as limit, claim and usage use to reach another entry.
type Caller interface {
	// Call sends a Call and waits for its Reply. The error tells a transport failure (errors.Is ErrUnreachable)
	// from an error that the handler returned (*RemoteError).
	Call(ctx context.Context, instance, method string, payload []byte) ([]byte, error)
}
