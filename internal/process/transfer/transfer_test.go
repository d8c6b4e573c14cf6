package transfer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/transfer"
)

// slowBody returns a part after each delay, and an error once its context has ended.
type slowBody struct {
	ctx   context.Context
	part  []byte
	parts int
	delay time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.parts == 0 {
		return 0, io.EOF
	}
	b.parts--
	select {
	case <-time.After(b.delay):
		return copy(p, b.part), nil
	case <-b.ctx.Done():
		return 0, context.Cause(b.ctx)
	}
}

// Guards against transfers that end after a fixed time although they go on, and against those that never end.
func TestTransferEndsForWantOfProgress(t *testing.T) {
	for _, c := range []struct {
		name  string
		parts int
		delay time.Duration
		limit int64
		want  error
	}{
		{"slow", 100, 100 * time.Millisecond, 1 << 20, nil},
		{"stalled", 1, time.Minute, 1 << 20, transfer.ErrNoProgress},
		{"endless", 1 << 20, 100 * time.Millisecond, 1 << 40, transfer.ErrNoProgress},
		{"too long", 1 << 20, time.Millisecond, 1 << 16, transfer.ErrTooLong},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				ctx, guard := transfer.New(t.Context(), time.Second, time.Second)
				defer guard.Stop()
				body, err := guard.Read(&slowBody{ctx, make([]byte, bytes.MinRead), c.parts, c.delay}, -1, c.limit)
				if !errors.Is(err, c.want) || c.want == nil && !bytes.Equal(body, make([]byte, bytes.MinRead*c.parts)) {
					t.Errorf("%d bytes, error %v, want %v", len(body), err, c.want)
				}
				if took := time.Since(began); took > 20*time.Second {
					t.Errorf("ended after %s", took)
				}
			})
		})
	}
}
