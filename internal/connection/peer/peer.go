// Package peer implements the sessions between the processes of the router: QUIC with mutual TLS,
// one session per pair of processes, one control stream per session and one stream per request or call.
package peer

import (
	"context"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
)

// Identity is the role and instance name of a process, as stated by its certificate.
type Identity struct {
	Role     wire.Role
	Instance string
}

// CallHandler handles one Call. The payload and the result are CBOR. The context is cancelled when the session ends.
type CallHandler func(ctx context.Context, from Identity, payload []byte) ([]byte, error)

// Client calls methods of other processes by instance name.
// Node implements it. Packages such as claim use this interface, so that their tests need no sessions.
type Client interface {
	// Call sends a Call and waits for its Reply. A transport failure matches ErrUnreachable; an error of the remote
	// handler is a *RemoteError.
	Call(ctx context.Context, instance, method string, payload []byte) ([]byte, error)
}
