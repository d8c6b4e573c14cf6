package eventlog

import (
	"io"
	"sync/atomic"
)

// maxBufferedLines is the capacity of the buffer for a slow reader; further lines are dropped.
const maxBufferedLines = 4096

// Buffered writes lines from its own goroutine, so that a stalled reader never blocks the caller.
type Buffered struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewBuffered returns a Buffered that writes to w until Close.
func NewBuffered(w io.Writer) *Buffered {
	b := &Buffered{lines: make(chan []byte, maxBufferedLines), done: make(chan struct{})}
	go func() {
		defer close(b.done)
		for line := range b.lines {
			if _, err := w.Write(line); err != nil {
				b.dropped.Add(1) // the log itself cannot report its own error
			}
		}
	}()
	return b
}

// Write implements io.Writer. It never blocks: when the buffer is full, the line is dropped and counted.
func (b *Buffered) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped or could not be written.
func (b *Buffered) Dropped() int64 { return b.dropped.Load() }

// Close writes the buffered lines and waits for that. Write must not be called afterwards.
func (b *Buffered) Close() {
	close(b.lines)
	<-b.done
}
