package peer

import (
	"errors"
	"fmt"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
)

// ErrUnreachable reports that no session to the instance exists or that the session failed during the call.
var ErrUnreachable = errors.New("peer unreachable")

// RemoteError is an error returned by the handler at the peer.
type RemoteError struct {
	// Message is the text of the handler's error.
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string { return "remote: " + e.Message }

// IdentityError reports that a certificate or Hello names another process than expected.
type IdentityError struct {
	Want, Got Identity
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("peer is %s.%s, want %s.%s", e.Got.Role, e.Got.Instance, e.Want.Role, e.Want.Instance)
}

// VersionError reports a peer that uses another protocol version.
type VersionError struct {
	// Remote is the peer's protocol version.
	Remote uint16
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("peer speaks protocol version %d, want %d", e.Remote, wire.ProtocolVersion)
}
