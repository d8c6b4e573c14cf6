package peer

import "errors"

// ErrUnreachable reports that no session to the instance exists or that it broke during the call.
var ErrUnreachable = errors.New("peer unreachable")

// RemoteError is an error that the other side's handler returned.
type RemoteError struct {
	// Message is the remote error's text.
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string { return "remote: " + e.Message }
