// Package direct carries requests to upstream replicas over HTTP/1.1 connections without a sidecar on the path. It never
// repeats a request by itself, and tells apart what was certainly not sent.
package direct

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds on a peer that has fallen silent. Links add a few ms, so each of them is far above a healthy round trip.
const (
	// connectTimeout is below the 1 s after which a dropped SYN is sent again: another replica is tried first.
	connectTimeout = 400 * time.Millisecond
	// keepAliveIdle and keepAliveInterval are the smallest values that the socket options take.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// unackedTimeout ends a connection whose bytes the peer doesn't acknowledge. It spans several retransmissions.
	unackedTimeout = 2 * time.Second
)

// Dialer returns a dialer whose connections fail within seconds when the peer falls silent without a reset.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		ControlContext: func(_ context.Context, _, _ string, raw syscall.RawConn) error {
			var option error
			err := raw.Control(func(fd uintptr) {
				option = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return option
		},
	}
}
