package observer

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// flushInterval is how often buffered lines are written: often enough to lose
// little of a process that is killed.
const flushInterval = 100 * time.Millisecond

// BoundedWriter is a writer that never blocks its callers: it buffers lines up to a
// limit, drops what is beyond and tells how many lines that were.
type BoundedWriter struct {
	out   io.Writer
	limit int

	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped int
}

// NewBoundedWriter returns a writer to out that buffers up to limit bytes. Run writes
// them.
func NewBoundedWriter(out io.Writer, limit int) *BoundedWriter {
	return &BoundedWriter{out: out, limit: limit}
}

// Write buffers a line.
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

// Run writes the buffered lines out until ctx ends, and closes done at its end.
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

// Flush writes the buffered lines out.
func (b *BoundedWriter) Flush() {
	b.mu.Lock()
	full, dropped := b.buffer, b.dropped
	b.buffer, b.spare, b.dropped = b.spare[:0], nil, 0
	b.mu.Unlock()
	if dropped > 0 {
		full = fmt.Appendf(full, "{\"level\":\"warn\",\"part\":\"observer\",\"outcome\":\"lines dropped\",\"count\":%d}\n", dropped)
	}
	if len(full) > 0 {
		_, _ = b.out.Write(full) // there is nowhere else to report to
	}
	b.mu.Lock()
	b.spare = full
	b.mu.Unlock()
}
