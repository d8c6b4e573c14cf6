// Package direct sends requests to upstream replicas over pooled HTTP/1.1 connections, without a sidecar. It never retries a
// request, and its errors distinguish requests that were certainly not sent.
package direct

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts for a peer that has stopped responding. Links add a few ms, so each timeout is far above a normal round trip.
const (
	// connectTimeout is below the 1 s after which a dropped SYN is retransmitted: another replica is tried first.
	connectTimeout = 400 * time.Millisecond
	// keepAliveIdle and keepAliveInterval have the smallest values that the socket options allow.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// unackedTimeout closes a connection whose data the peer doesn't acknowledge. It allows for several retransmissions.
	unackedTimeout = 2 * time.Second
)

// Dialer returns a dialer whose connections fail within seconds when the peer stops responding without a reset.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		ControlContext: func(_ context.Context, _, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
}
