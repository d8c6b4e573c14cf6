package eventlog

import (
	"io"
	"sync/atomic"
)

// bufferedLines is the number of lines that wait for a slow reader; later ones are dropped.
const bufferedLines = 4096

// Buffered writes lines from a goroutine of its own, so that a reader that stalls never blocks the caller.
type Buffered struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewBuffered returns a Buffered that writes to w until Close.
func NewBuffered(w io.Writer) *Buffered {
	b := &Buffered{lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go func() {
		defer close(b.done)
		for line := range b.lines {
			if _, err := w.Write(line); err != nil {
				b.dropped.Add(1) // there is no other place to tell
			}
		}
	}()
	return b
}

// Write implements io.Writer. It never blocks; a line that finds the buffer full is dropped and counted.
func (b *Buffered) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped so far.
func (b *Buffered) Dropped() int64 { return b.dropped.Load() }

// Close writes what is buffered. No line may be written afterwards.
func (b *Buffered) Close() {
	close(b.lines)
	<-b.done
}
