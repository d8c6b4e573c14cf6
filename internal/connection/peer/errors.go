package peer

import (
	"errors"
	"fmt"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
)

// ErrUnreachable reports that no session to the instance exists or that it broke during the call.
var ErrUnreachable = errors.New("peer unreachable")

// RemoteError is an error that the other side's handler returned.
type RemoteError struct {
	// Message is the remote error's text.
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string { return "remote: " + e.Message }

// IdentityError reports a certificate or Hello of another process than the expected one.
type IdentityError struct {
	Want, Got Identity
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("peer is %s.%s, want %s.%s", e.Got.Role, e.Got.Instance, e.Want.Role, e.Want.Instance)
}

// VersionError reports a peer of another protocol version.
type VersionError struct {
	// Remote is the peer's version.
	Remote uint16
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("peer speaks protocol version %d, want %d", e.Remote, wire.ProtocolVersion)
}
