package observer

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// flushInterval is how often buffered lines are written. It is short, so that
// few lines are lost when the process is killed.
const flushInterval = 100 * time.Millisecond

// BoundedWriter buffers log lines up to a size limit and writes them in the
// background, so that logging never blocks on the output. It drops lines that
// don't fit and logs how many were dropped. Write is safe for concurrent use.
type BoundedWriter struct {
	out   io.Writer
	limit int // bytes

	mu     sync.Mutex
	buffer []byte
	// spare is the buffer of the last flush, reused by the next one.
	spare []byte
	// dropped counts the lines dropped since the last flush.
	dropped int
}

// NewBoundedWriter returns a writer that buffers up to limit bytes for out. Run
// writes them out.
func NewBoundedWriter(out io.Writer, limit int) *BoundedWriter {
	return &BoundedWriter{out: out, limit: limit}
}

// Write buffers a line, or drops it if the buffer is full. It always returns
// the line's length and no error.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.buffer)+len(line) > b.limit {
		b.dropped++
		return len(line), nil
	}
	b.buffer = append(b.buffer, line...)
	return len(line), nil
}

// Run flushes the buffer at every flushInterval until ctx ends, then flushes
// once more and closes done.
func (b *BoundedWriter) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for {
		select {
		case <-ctx.Done():
			b.Flush()
			return
		case <-time.After(flushInterval):
			b.Flush()
		}
	}
}

// Flush writes the buffered lines out, followed by a line with the number of
// dropped lines, if any. Write errors are ignored.
func (b *BoundedWriter) Flush() {
	b.mu.Lock()
	pending, dropped := b.buffer, b.dropped
	b.buffer, b.spare, b.dropped = b.spare[:0], nil, 0
	b.mu.Unlock()
	if dropped > 0 {
		pending = fmt.Appendf(pending, "{\"level\":\"warn\",\"part\":\"observer\",\"outcome\":\"lines dropped\",\"count\":%d}\n", dropped)
	}
	if len(pending) > 0 {
		_, _ = b.out.Write(pending) // the log is the only place to report an error
	}
	b.mu.Lock()
	b.spare = pending
	b.mu.Unlock()
}
