// Package transfer reads bodies that take as long as their size and the link require: a transfer ends for want of progress, not
// after a fixed time.
package transfer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// maxTime bounds the time in which a body arrives, however slow its progress is. The largest object of the store takes a second on a
// free link of 10 Mbit/s.
const maxTime = 15 * time.Second

var (
	// ErrNoProgress reports a call whose response did not begin, or did not go on, in time.
	ErrNoProgress = errors.New("no response in time")
	// ErrTooLong reports a body above its limit.
	ErrTooLong = errors.New("response exceeds the expected size")
)

// Guard ends a call that makes no progress. Create it with New, and call Stop at the end of the call.
type Guard struct {
	timer   *time.Timer
	timeout time.Duration
	cancel  context.CancelCauseFunc
}

// New returns a context that ends with ErrNoProgress unless the body of the response is read within the time for its head. After
// that, the timeout begins again with each part of the body.
func New(ctx context.Context, head, timeout time.Duration) (context.Context, *Guard) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &Guard{timer: time.AfterFunc(head, func() { cancel(ErrNoProgress) }), timeout: timeout, cancel: cancel}
}

// Stop ends the context.
func (g *Guard) Stop() {
	g.timer.Stop()
	g.cancel(nil)
}

// Read returns the body. length is its size if that is known, else -1. A body above the limit fails with ErrTooLong, as early as
// possible.
func (g *Guard) Read(body io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLong, length, limit)
	}
	var read bytes.Buffer
	read.Grow(int(max(0, length)) + bytes.MinRead)
	_, err := read.ReadFrom(io.LimitReader(&guardedReader{g, body, time.Now().Add(maxTime)}, limit+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("after %d of %d bytes: %w", read.Len(), length, err)
	case int64(read.Len()) > limit:
		return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLong, limit)
	}
	return read.Bytes(), nil
}

// guardedReader begins the timeout again whenever bytes arrive, until the end.
type guardedReader struct {
	guard *Guard
	body  io.Reader
	end   time.Time
}

// Read implements io.Reader.
func (r *guardedReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if n > 0 && err == nil && !r.guard.timer.Reset(min(r.guard.timeout, time.Until(r.end))) {
		return n, ErrNoProgress
	}
	return n, err
}
